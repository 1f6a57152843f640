package org.banyanstair.testsupport.endpoint;

import java.net.BindException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import org.banyanstair.model.NetworkAddress;

/**
 * HTTP server of the engine and plain service stand-ins; can close its connections and refuse new ones for a time.
 *
 * <p>Handlers run on an event loop and must not block.
 */
public final class EndpointStandInServer {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_REQUEST_BYTES = 4 << 20;
    private static final int BIND_ATTEMPTS = 20;
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 1_000;

    private final Consumer<Routes> routes;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    // Not a daemon thread: keeps a stand-in process alive, because all threads of the server are daemons.
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private volatile int port;

    /** The listening channel, null until the first request has arrived. */
    private volatile Channel listeningChannel;

    private NettyServer server;
    private boolean stopped;

    /**
     * Creates a server that is not started.
     *
     * @param port TCP port, 0 for a free one
     */
    public EndpointStandInServer(int port, Consumer<Routes> routes) {
        this.port = port;
        this.routes = routes;
    }

    /** Registers the routes of a stand-in. */
    public static final class Routes {
        private final Jooby application;
        private final Consumer<Channel> onRequestChannel;

        private Routes(Jooby application, Consumer<Channel> onRequestChannel) {
            this.application = application;
            this.onRequestChannel = onRequestChannel;
        }

        /**
         * Registers a route.
         *
         * @param path Jooby path pattern
         * @param action sends the response, at once or later; an {@link IllegalArgumentException} becomes status 400
         */
        public void on(String method, String path, Consumer<Exchange> action) {
            Route.Handler handler = context -> {
                Exchange exchange = new Exchange(context);
                onRequestChannel.accept(exchange.channel());
                try {
                    action.accept(exchange);
                } catch (IllegalArgumentException exception) {
                    exchange.respondError(400, "invalid_field", String.valueOf(exception.getMessage()));
                }
                return context;
            };
            application.route(method, path, handler);
        }
    }

    /** Starts listening; returns when the server accepts connections. */
    public synchronized void start() {
        timer.execute(() -> {});
        RuntimeException lastFailure = null;
        for (int attempt = 0; attempt < BIND_ATTEMPTS && !stopped && server == null; attempt++) {
            try {
                listen();
                return;
            } catch (RuntimeException exception) {
                if (!isAddressInUse(exception)) {
                    throw exception;
                }
                // The port may have been taken since it was chosen, or may not be released yet after a close.
                lastFailure = exception;
                sleepBeforeRetry();
            }
        }
        if (lastFailure != null) {
            throw lastFailure;
        }
    }

    /** Closes all connections and stops listening. */
    public synchronized void stop() {
        stopped = true;
        timer.shutdownNow();
        close();
    }

    /**
     * Closes all connections and refuses new ones for a time; listens on the same port afterwards.
     *
     * <p>Closes the listening channel first, so that a client whose connection was closed cannot reconnect at once.
     * Must not be called on a server thread, because it waits for that channel to close.
     *
     * @param pause how long connections are refused
     * @param beforeResume runs before the server listens again
     */
    public void suspend(Duration pause, Runnable beforeResume) {
        Channel current = listeningChannel;
        if (current != null) {
            current.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLISECONDS);
        }
        channels.forEach(Channel::close);
        timer.execute(this::closeUnlessStopped);
        timer.schedule(
                () -> {
                    beforeResume.run();
                    start();
                },
                pause.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return valid once {@link #start} has returned
     */
    public NetworkAddress address() {
        return new NetworkAddress(HOST, port);
    }

    private void listen() {
        Jooby application = new Jooby();
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        application.error((context, cause, code) ->
                new Exchange(context).respondError(code.value(), "not_served", code.reason()));
        routes.accept(new Routes(application, this::trackChannel));
        ServerOptions options = new ServerOptions();
        options.setHost(HOST);
        options.setPort(port);
        options.setIoThreads(2);
        options.setWorkerThreads(1);
        options.setMaxRequestSize(MAX_REQUEST_BYTES);
        application.setServerOptions(options);
        NettyServer next = new NettyServer();
        next.setOptions(options);
        next.start(application);
        server = next;
        port = options.getPort();
    }

    private void trackChannel(Channel channel) {
        listeningChannel = channel.parent();
        if (channels.add(channel)) {
            channel.closeFuture().addListener(future -> channels.remove(channel));
        }
    }

    private synchronized void closeUnlessStopped() {
        if (!stopped) {
            close();
        }
    }

    private void close() {
        if (server != null) {
            server.stop();
            server = null;
        }
    }

    private static boolean isAddressInUse(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return true;
            }
        }
        return false;
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}

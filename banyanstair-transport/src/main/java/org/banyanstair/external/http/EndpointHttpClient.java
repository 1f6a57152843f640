package org.banyanstair.external.http;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;

/**
 * HTTP client for endpoints. It sends each call at most once and tracks whether any byte of a call was sent.
 *
 * <p>Each call has a connection of its own. Responses do not name their request, so on a connection in use again a late
 * copy of one response would be taken for the response to the next call.
 */
final class EndpointHttpClient {
    /** Each running call occupies a thread; this is well above the 1,000 streams that a daemon serves. */
    static final int MAX_CALLS = 8_192;

    /** Sufficient for OkHttp and a listener; the JVM default of 1 MiB would reserve 1 GiB for 1,000 streams. */
    private static final long THREAD_STACK_BYTES = 128 * 1024;

    private final OkHttpClient client;

    EndpointHttpClient(String threadName, Duration connectTimeout) {
        ThreadPoolExecutor threads =
                new ThreadPoolExecutor(0, Integer.MAX_VALUE, 10, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(null, task, threadName, THREAD_STACK_BYTES);
                    thread.setDaemon(true);
                    return thread;
                });
        Dispatcher dispatcher = new Dispatcher(threads);
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(connectTimeout)
                // newCall limits the total time of each call instead.
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                // OkHttp retries a call that was answered with 503 and "Retry-After: 0", so that the header is removed.
                .addNetworkInterceptor(chain -> chain.proceed(chain.request())
                        .newBuilder()
                        .removeHeader("Retry-After")
                        .build())
                .eventListener(new SendListener())
                .build();
    }

    /** Records whether any byte of a call may have been sent. */
    static final class SendState {
        private volatile boolean sent;

        boolean isSent() {
            return sent;
        }
    }

    private static final class SendListener extends EventListener {
        @Override
        public void requestHeadersStart(Call call) {
            SendState sendState = call.request().tag(SendState.class);
            if (sendState != null) {
                sendState.sent = true;
            }
        }
    }

    /** Creates a call that times out at the deadline, which includes reading the whole response. */
    Call newCall(Request request, SendState sendState, Instant deadline) {
        Call call = client.newCall(request.newBuilder()
                .tag(SendState.class, sendState)
                .header("Accept-Encoding", "identity")
                .header("Connection", "close")
                .build());
        long remaining = Math.max(1, millisecondsLeft(deadline));
        call.timeout().timeout(remaining, TimeUnit.MILLISECONDS);
        return call;
    }

    /**
     * Returns whether the limit of concurrent calls is reached. A further call would be queued by the dispatcher
     * without a time limit.
     */
    boolean isFull() {
        return client.dispatcher().runningCallsCount() >= MAX_CALLS;
    }

    void stop() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    static boolean hasPassed(Instant deadline) {
        return millisecondsLeft(deadline) <= 0;
    }

    /** Returns the time until the deadline, capped at one year so that a distant instant does not overflow. */
    private static long millisecondsLeft(Instant deadline) {
        Instant now = Instant.now();
        Instant latest = now.plus(Duration.ofDays(365));
        return Duration.between(now, deadline.isAfter(latest) ? latest : deadline)
                .toMillis();
    }

    /**
     * Reads a response body of at most the given size.
     *
     * @throws IOException if the body is longer, or cannot be read
     */
    static byte[] readBody(okhttp3.Response response, long limitBytes) throws IOException {
        okio.BufferedSource source = response.body().source();
        if (source.request(limitBytes + 1)) {
            throw new IOException("response body exceeds " + limitBytes + " bytes");
        }
        return source.readByteArray();
    }
}

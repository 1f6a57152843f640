package org.banyanstair.server.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.netty.channel.Channel;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.tinylog.Logger;

/**
 * One request and its response.
 *
 * <p>Exactly one response is sent, by {@link #respond}, {@link #fail} or {@link #stream}; these methods may be called
 * from any thread and do not block. Later ones have no effect. The other methods belong to the event loop on which the
 * request was handed over.
 */
public final class Exchange {
    /** Content type of JSON bodies. */
    public static final String JSON = "application/json";

    private final Context context;
    private final IncomingRequest request;
    private final int streamBufferBytes;
    private final Map<String, String> headers = new LinkedHashMap<>();
    private boolean responded;

    Exchange(Context context, IncomingRequest request, int streamBufferBytes) {
        this.context = context;
        this.request = request;
        this.streamBufferBytes = streamBufferBytes;
    }

    /**
     * Returns the method.
     *
     * @return method in upper case
     */
    public String method() {
        return request.method();
    }

    /**
     * Returns the request target.
     *
     * @return path and query as the client sent them
     */
    public String uri() {
        return request.uri();
    }

    /**
     * Returns a header of the request.
     *
     * @param name name in any case
     * @return its first value, empty if it is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.headers().get(name));
    }

    /**
     * Returns a variable of the route.
     *
     * @param name name of the variable
     * @return its decoded value
     */
    public String pathVariable(String name) {
        return context.path(name).value("");
    }

    /**
     * Returns the body.
     *
     * @return the body, empty for none; not to be changed
     */
    public byte[] body() {
        return request.body();
    }

    /**
     * Sets a header of the response; has to be called before the response begins.
     *
     * @param name name of the header
     * @param value its value
     */
    public void responseHeader(String name, String value) {
        headers.put(name, value);
    }

    /**
     * Registers what to do if the connection closes before the response has ended.
     *
     * @param listener called on the event loop, at most once
     */
    public void onDisconnect(Runnable listener) {
        request.onDisconnect(listener);
    }

    /**
     * Sends a whole response.
     *
     * @param status HTTP status
     * @param contentType content type, empty for none
     */
    public void respond(int status, Optional<String> contentType, byte[] body) {
        execute(() -> {
            if (beginResponse(status)) {
                contentType.ifPresent(type -> context.setResponseHeader("Content-Type", type));
                send(body);
            }
        });
    }

    /**
     * Sends a value as JSON.
     *
     * @param status HTTP status
     * @param value anything that {@link Mappers#JSON} can write
     */
    public void respondJson(int status, Object value) {
        try {
            respond(status, Optional.of(JSON), Mappers.JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException exception) {
            Logger.error(exception, "response could not be written as JSON");
            fail(new Failure.InternalError());
        }
    }

    /** Sends the error envelope of a failure. */
    public void fail(Failure failure) {
        respond(ErrorResponse.of(failure));
    }

    /** Sends an error response. */
    public void respond(ErrorResponse error) {
        execute(() -> {
            if (beginResponse(error.status())) {
                error.headers().forEach(context::setResponseHeader);
                context.setResponseHeader("Content-Type", JSON);
                send(error.body());
            }
        });
    }

    /** Begins a response of status 200 that consists of server-sent events. */
    public EventStream startEventStream() {
        EventStream stream = new EventStream(this, streamBufferBytes);
        enqueue(() -> {
            if (beginResponse(200)) {
                context.setResponseHeader("Content-Type", "text/event-stream; charset=utf-8");
                context.setResponseHeader("Cache-Control", "no-cache");
                stream.open(context.responseSender());
            }
        });
        return stream;
    }

    /** Closes the connection at once, which counts as a disconnect unless the response has ended. */
    public void abort() {
        channel().close();
    }

    /** Answers an exception that a handler has thrown. */
    void fail(Throwable cause) {
        if (cause instanceof FailureException exception) {
            fail(exception.failure());
        } else {
            Logger.error(cause, "unexpected exception while handling {} request", method());
            fail(new Failure.InternalError());
        }
    }

    /** Jooby leaves the flush to the end of the read when it is called on the event loop. */
    private void send(byte[] body) {
        context.send(body);
        channel().flush();
    }

    /** Runs a task on the event loop, at once if the caller is on it. */
    private void execute(Runnable task) {
        if (channel().eventLoop().inEventLoop()) {
            task.run();
        } else {
            enqueue(task);
        }
    }

    /**
     * Runs a task on the event loop after all earlier ones, also if the caller is on the event loop already. Drops it
     * after a stop, when the connection is closed.
     */
    void enqueue(Runnable task) {
        try {
            channel().eventLoop().execute(task);
        } catch (RejectedExecutionException exception) {
            Logger.debug("{} request ended by the stop of the listener", method());
        }
    }

    boolean supportsChunkedEncoding() {
        return request.supportsChunkedEncoding();
    }

    Channel channel() {
        return request.channel();
    }

    Context context() {
        return context;
    }

    private boolean beginResponse(int status) {
        if (responded || !channel().isActive()) {
            return false;
        }
        responded = true;
        context.setResponseCode(status);
        headers.forEach(context::setResponseHeader);
        return true;
    }

    static List<String> methods() {
        return List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
    }
}

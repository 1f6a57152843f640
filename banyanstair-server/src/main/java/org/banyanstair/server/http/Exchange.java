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
 * HTTP request and its response.
 *
 * <p>Exactly one response is sent, by {@link #respond}, {@link #fail} or {@link #startEventStream}; further calls have
 * no effect. These methods are thread-safe and do not block. All other methods must be called on the event loop of the
 * request.
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

    /** Returns the HTTP method, in upper case. */
    public String method() {
        return request.method();
    }

    /** Returns the request target: path and query exactly as the client sent them. */
    public String uri() {
        return request.uri();
    }

    /**
     * Returns the first value of a request header, empty if it is missing.
     *
     * @param name name of the header, case-insensitive
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.headers().get(name));
    }

    /** Returns the decoded value of a path variable of the route. */
    public String pathVariable(String name) {
        return context.path(name).value("");
    }

    /** Returns the request body, empty for none; it must not be modified. */
    public byte[] body() {
        return request.body();
    }

    /** Sets a response header. Must be called before the response starts. */
    public void responseHeader(String name, String value) {
        headers.put(name, value);
    }

    /**
     * Registers a listener for the case that the connection closes before the response has ended.
     *
     * @param listener called on the event loop, at most once
     */
    public void onDisconnect(Runnable listener) {
        request.onDisconnect(listener);
    }

    /**
     * Sends a complete response.
     *
     * @param status HTTP status
     * @param contentType content type, empty for none
     * @param body the body
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
     * @param value any value that {@link Mappers#JSON} can serialize
     */
    public void respondJson(int status, Object value) {
        try {
            respond(status, Optional.of(JSON), Mappers.JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException exception) {
            Logger.error(exception, "failed to serialize the response as JSON");
            fail(new Failure.InternalError());
        }
    }

    /** Sends the error response for a failure. */
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

    /** Starts a response with status 200 that consists of server-sent events. */
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

    /** Closes the connection immediately, which counts as a disconnect unless the response has ended. */
    public void abort() {
        channel().close();
    }

    /** Sends the error response for an exception thrown by a handler. */
    void fail(Throwable cause) {
        if (cause instanceof FailureException exception) {
            fail(exception.failure());
        } else {
            Logger.error(cause, "unexpected exception while handling {} request", method());
            fail(new Failure.InternalError());
        }
    }

    /** Sends the body and flushes it, because on the event loop Jooby defers the flush to the end of the read. */
    private void send(byte[] body) {
        context.send(body);
        channel().flush();
    }

    /** Runs a task on the event loop, immediately if the caller is on it. */
    private void execute(Runnable task) {
        if (channel().eventLoop().inEventLoop()) {
            task.run();
        } else {
            enqueue(task);
        }
    }

    /**
     * Queues a task on the event loop behind all earlier tasks, even if the caller is on the event loop. After a stop,
     * when the connection is closed, the task is dropped.
     */
    void enqueue(Runnable task) {
        try {
            channel().eventLoop().execute(task);
        } catch (RejectedExecutionException exception) {
            Logger.debug("{} request aborted: listener is stopped", method());
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

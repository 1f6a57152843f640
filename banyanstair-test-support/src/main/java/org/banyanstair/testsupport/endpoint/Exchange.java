package org.banyanstair.testsupport.endpoint;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;
import io.jooby.StatusCode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import org.banyanstair.codec.Mappers;

/**
 * One HTTP request of a stand-in with its answer and its connection.
 *
 * <p>An answer may be given from any thread, but by one thread at a time.
 */
public final class Exchange {
    private final Context context;
    private final Channel channel;
    private Sender sender;
    private ChannelFutureListener closeListener;

    Exchange(Context context) {
        this.context = context;
        this.channel = channelOf(context);
    }

    /** Jooby has no way to close a connection without an answer; a lost answer needs one, hence the reflection. */
    private static Channel channelOf(Context context) {
        try {
            Field field = context.getClass().getDeclaredField("ctx");
            field.setAccessible(true);
            return ((ChannelHandlerContext) field.get(context)).channel();
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("this version of Jooby does not expose its channel", exception);
        }
    }

    Channel channel() {
        return channel;
    }

    /**
     * Returns the Jooby context, for the path, the query and the method of the request.
     *
     * @return the context
     */
    public Context context() {
        return context;
    }

    /**
     * Returns a header of the request.
     *
     * @param name header name
     * @return its value, empty if it is missing
     */
    public Optional<String> header(String name) {
        return context.header(name).toOptional();
    }

    /**
     * Returns the body of the request.
     *
     * @return the body, empty for none
     */
    public byte[] body() {
        byte[] bytes = context.body().bytes();
        return bytes == null ? new byte[0] : bytes;
    }

    /**
     * Returns the body of the request as JSON.
     *
     * @return the JSON tree, a missing node if the body is empty
     * @throws IllegalArgumentException if the body is malformed
     */
    public JsonNode json() {
        try {
            JsonNode node = Mappers.JSON.readTree(body());
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException exception) {
            throw new IllegalArgumentException("the body is not JSON", exception);
        }
    }

    /**
     * Answers with JSON.
     *
     * @param status HTTP status
     * @param value value that Jackson can write
     */
    public void respond(int status, Object value) {
        try {
            respond(status, "application/json", Mappers.JSON.writeValueAsBytes(value));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Answers with bytes.
     *
     * @param status HTTP status
     * @param contentType content type of the body
     * @param body the body
     */
    public void respond(int status, String contentType, byte[] body) {
        context.setResponseCode(StatusCode.valueOf(status));
        context.setResponseType(MediaType.valueOf(contentType));
        context.send(body);
    }

    /**
     * Answers with the OpenAI error envelope.
     *
     * @param status HTTP status
     * @param code stable code of the error
     * @param message sentence for people
     */
    public void respondError(int status, String code, String message) {
        respond(status, Map.of("error", Map.of("message", message, "type", "endpoint_error", "code", code)));
    }

    /**
     * Starts an answer of server-sent events.
     *
     * @return false if the connection has closed; nothing was started then
     */
    public boolean startEventStream() {
        context.setResponseType(MediaType.valueOf("text/event-stream"));
        try {
            sender = context.responseSender();
            return true;
        } catch (IllegalStateException exception) {
            // Jooby finds no handler once Netty has emptied the pipeline of a closed connection.
            if (channel.isActive()) {
                throw exception;
            }
            return false;
        }
    }

    /**
     * Returns whether an answer of server-sent events was started.
     *
     * @return whether {@link #startEventStream} was called
     */
    public boolean isEventStreamStarted() {
        return sender != null;
    }

    /**
     * Sends a part of an answer of server-sent events.
     *
     * @param text whole events
     */
    public void writeEvents(String text) {
        sender.write(text.getBytes(StandardCharsets.UTF_8), (unused, failure) -> {});
    }

    /** Ends an answer of server-sent events. */
    public void endEventStream() {
        sender.close();
    }

    /** Closes the connection without an answer or in the middle of one. */
    public void closeConnection() {
        channel.close();
    }

    /**
     * Watches for the end of the connection.
     *
     * @param action runs on a thread of the server when the connection closes
     */
    public void onClose(Runnable action) {
        closeListener = future -> action.run();
        channel.closeFuture().addListener(closeListener);
    }

    /** Ends the watch, so that a kept-alive connection does not collect the listeners of earlier requests. */
    public void removeCloseListener() {
        if (closeListener != null) {
            channel.closeFuture().removeListener(closeListener);
            closeListener = null;
        }
    }
}

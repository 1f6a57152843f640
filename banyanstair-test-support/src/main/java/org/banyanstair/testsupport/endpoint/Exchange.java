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
 * An HTTP request to a stand-in, its response and its connection.
 *
 * <p>A response may be sent from any thread, but by one thread at a time.
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

    /** Gets the channel by reflection, because Jooby has no API to close a connection without a response. */
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

    /** Returns the Jooby context, which gives access to the path, the query and the method of the request. */
    public Context context() {
        return context;
    }

    /**
     * Returns a header of the request.
     *
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
     * Sends a JSON response.
     *
     * @param value serializable by Jackson
     */
    public void respond(int status, Object value) {
        try {
            respond(status, "application/json", Mappers.JSON.writeValueAsBytes(value));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Sends a response.
     *
     * @param contentType media type of the body
     */
    public void respond(int status, String contentType, byte[] body) {
        context.setResponseCode(StatusCode.valueOf(status));
        context.setResponseType(MediaType.valueOf(contentType));
        context.send(body);
    }

    /**
     * Sends an error response in the OpenAI error envelope.
     *
     * @param code stable code of the error
     * @param message human-readable description
     */
    public void respondError(int status, String code, String message) {
        respond(status, Map.of("error", Map.of("message", message, "type", "endpoint_error", "code", code)));
    }

    /**
     * Starts a response of server-sent events.
     *
     * @return false if the connection is closed and no response was started
     */
    public boolean startEventStream() {
        context.setResponseType(MediaType.valueOf("text/event-stream"));
        try {
            sender = context.responseSender();
            return true;
        } catch (IllegalStateException exception) {
            // Netty removes the handlers of a closed connection, so Jooby does not find its own.
            if (channel.isActive()) {
                throw exception;
            }
            return false;
        }
    }

    /** Returns whether {@link #startEventStream} has started a response. */
    public boolean isEventStreamStarted() {
        return sender != null;
    }

    /**
     * Writes server-sent events to the response.
     *
     * @param text complete events
     */
    public void writeEvents(String text) {
        sender.write(text.getBytes(StandardCharsets.UTF_8), (unused, failure) -> {});
    }

    /** Ends a response of server-sent events. */
    public void endEventStream() {
        sender.close();
    }

    /** Closes the connection, before or during the response. */
    public void closeConnection() {
        channel.close();
    }

    /**
     * Registers an action for the close of the connection.
     *
     * @param action runs on an event loop thread
     */
    public void onClose(Runnable action) {
        closeListener = future -> action.run();
        channel.closeFuture().addListener(closeListener);
    }

    /** Removes the action of {@link #onClose}, so that a keep-alive connection does not accumulate listeners. */
    public void removeCloseListener() {
        if (closeListener != null) {
            channel.closeFuture().removeListener(closeListener);
            closeListener = null;
        }
    }
}

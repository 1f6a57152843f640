package org.banyanstair.testsupport.fault;

import java.lang.reflect.Field;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/** Closes the connection of a request without an answer. */
public final class ConnectionCloser {
    private ConnectionCloser() {}

    /**
     * Closes the connection that a request came in on.
     *
     * @param context the request, possibly partly answered
     */
    public static void close(Context context) {
        channel(context).close();
    }

    /**
     * Resets the connection that a request came in on, as the operating system does when a process is killed.
     *
     * @param context the request, possibly partly answered
     */
    public static void reset(Context context) {
        Channel channel = channel(context);
        // A linger time of 0 makes the operating system send RST instead of FIN.
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Jooby has no public way to close a connection without an answer, so its field is read by reflection. */
    static Channel channel(Context context) {
        Object inner = context;
        while (inner instanceof Context) {
            inner = wrappedContext(inner);
        }
        return ((ChannelHandlerContext) inner).channel();
    }

    /** Wrapping contexts and the context of the Netty server both name the field {@code ctx}. */
    private static Object wrappedContext(Object context) {
        for (Class<?> type = context.getClass(); type != null; type = type.getSuperclass()) {
            try {
                Field field = type.getDeclaredField("ctx");
                field.setAccessible(true);
                return field.get(context);
            } catch (NoSuchFieldException exception) {
                continue;
            } catch (IllegalAccessException exception) {
                throw new IllegalStateException(exception);
            }
        }
        throw new IllegalStateException("this version of Jooby keeps its channel elsewhere");
    }
}

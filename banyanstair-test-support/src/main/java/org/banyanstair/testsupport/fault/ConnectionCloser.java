package org.banyanstair.testsupport.fault;

import java.lang.reflect.Field;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/** Closes or resets the connection of a request. */
public final class ConnectionCloser {
    private ConnectionCloser() {}

    /** Closes the connection of a request, whose response may have begun. */
    public static void close(Context context) {
        channel(context).close();
    }

    /** Resets the connection of a request, as the operating system does when a process is killed. */
    public static void reset(Context context) {
        Channel channel = channel(context);
        // With a linger time of 0 the operating system sends RST instead of FIN.
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Gets the channel by reflection, because Jooby has no API to close a connection without a response. */
    static Channel channel(Context context) {
        Object inner = context;
        while (inner instanceof Context) {
            inner = wrappedContext(inner);
        }
        return ((ChannelHandlerContext) inner).channel();
    }

    /** Reads the field {@code ctx}, which wrapping contexts and the context of the Netty server both have. */
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
        throw new IllegalStateException("this version of Jooby has no field ctx to get the channel from");
    }
}

package org.banyanstair.testsupport.fault;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.jooby.Context;
import io.jooby.Route;
import io.netty.channel.Channel;

/**
 * Tracks the connections of requests in order to close them.
 *
 * <p>Jooby's Netty server closes its connections asynchronously, so a client could still use one after the server was
 * stopped. {@link #closeAll} waits until they are closed.
 */
final class OpenConnections {
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    Route.Filter filter() {
        return next -> context -> {
            track(context);
            return next.apply(context);
        };
    }

    private void track(Context context) {
        Channel channel = ConnectionCloser.channel(context);
        if (channels.add(channel)) {
            channel.closeFuture().addListener(closed -> channels.remove(channel));
        }
    }

    void closeAll() {
        List<Channel> open = List.copyOf(channels);
        open.forEach(Channel::close);
        open.forEach(
                channel -> channel.closeFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
}

package org.banyanstair.server.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.external.HostListSource;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.reducer.Event;

/** Polls the host list. If it is unavailable, the last listing stays in use. Thread-safe. */
final class HostListPoller {
    /** Interval until the list shows this host, which is not ready before. */
    private static final Duration UNLISTED_INTERVAL = Duration.ofMillis(200);

    private final HostId self;
    private final HostListSource source;
    private final Duration interval;
    private final ScheduledExecutorService timer;
    private final Consumer<Function<Instant, Event>> events;
    private final AtomicReference<HostListing> lastListing = new AtomicReference<>(HostListing.EMPTY);

    HostListPoller(
            HostId self,
            HostListSource source,
            Duration interval,
            ScheduledExecutorService timer,
            Consumer<Function<Instant, Event>> events) {
        this.self = self;
        this.source = source;
        this.interval = interval;
        this.timer = timer;
        this.events = events;
    }

    void start() {
        poll();
    }

    Optional<NetworkAddress> peerAddress(HostId host) {
        return lastListing.get().host(host).map(EntryHost::peerAddress);
    }

    private void poll() {
        source.read().whenComplete((listing, failure) -> {
            if (failure == null) {
                lastListing.set(listing);
                events.accept(at -> new Event.HostListRead(at, listing));
            }
            if (!timer.isShutdown()) {
                timer.schedule(this::poll, intervalToNextPoll().toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    private Duration intervalToNextPoll() {
        boolean listed = lastListing.get().host(self).isPresent();
        return listed || interval.compareTo(UNLISTED_INTERVAL) < 0 ? interval : UNLISTED_INTERVAL;
    }
}

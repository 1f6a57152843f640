package org.banyanstair.server.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.external.LogService;
import org.banyanstair.external.LogStreams;
import org.banyanstair.external.ReadResult;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.StreamEntry;

/** Tails log streams by long polling and submits the records as events. Thread-safe. */
final class LogTailer {
    private static final int MAXIMUM_RECORDS_PER_READ = 500;

    /**
     * Long-poll wait. A stalled connection is noticed only when a read ends; this wait plus the call timeout keeps the
     * propagation of a configuration change within its limit of 9 s.
     */
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(5);

    /**
     * Shorter wait for call streams, because non-idempotent calls wait for the log and only two hosts tail each
     * partition.
     */
    private static final Duration CALL_LONG_POLL_WAIT = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final LogService log;
    private final InstantSource clock;
    private final ScheduledExecutorService timer;
    private final Consumer<Function<Instant, Event>> events;
    private final Map<String, Object> followedStreams = new ConcurrentHashMap<>();

    LogTailer(
            LogService log,
            InstantSource clock,
            ScheduledExecutorService timer,
            Consumer<Function<Instant, Event>> events) {
        this.log = log;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
    }

    /** Starts to tail a stream; an earlier tail of the same stream ends. */
    void follow(String stream, long fromOffset) {
        Object subscription = new Object();
        followedStreams.put(stream, subscription);
        read(stream, subscription, fromOffset, false);
    }

    void unfollow(String stream) {
        followedStreams.remove(stream);
    }

    void stop() {
        followedStreams.clear();
    }

    /**
     * Reads the next records. Long polling starts only at the end of the stream, so that catching up is not delayed.
     */
    private void read(String stream, Object subscription, long offset, boolean atEnd) {
        if (followedStreams.get(stream) != subscription) {
            return;
        }
        Instant now = clock.instant();
        Instant waitUntil =
                atEnd ? now.plus(LogStreams.isCallStream(stream) ? CALL_LONG_POLL_WAIT : LONG_POLL_WAIT) : now;
        log.read(stream, offset, MAXIMUM_RECORDS_PER_READ, waitUntil)
                .thenAccept(result -> handleResult(stream, subscription, offset, result));
    }

    private void handleResult(String stream, Object subscription, long offset, ReadResult result) {
        if (followedStreams.get(stream) != subscription) {
            return;
        }
        if (result instanceof ReadResult.Records records) {
            List<StreamEntry> entries = records.records().stream()
                    .map(record -> LogEntryCodec.decode(stream, record))
                    .toList();
            events.accept(at -> new Event.StreamRead(at, stream, records.next(), records.end(), entries));
            read(stream, subscription, records.next(), records.next() >= records.end());
        } else if (result instanceof ReadResult.Expired expired) {
            events.accept(at -> new Event.StreamExpired(at, stream, expired.earliest()));
            read(stream, subscription, expired.earliest(), false);
        } else {
            events.accept(at -> new Event.StreamUnavailable(at, stream));
            timer.schedule(
                    () -> read(stream, subscription, offset, false), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}

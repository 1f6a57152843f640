package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Observes the ticks of a host, which show how late it reads what has arrived. A host that has not been given enough
 * processor time reads requests and answers long after they arrived.
 *
 * <p>Not thread-safe.
 */
final class TickMonitor {
    /** Longest time between a tick and the next but one of a host that keeps up; two idle ticks and a margin. */
    private static final Duration MAXIMUM_DELAY = Duration.ofMillis(300);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private Instant last = Instant.MAX;
    private Instant previous = Instant.MAX;
    private Duration longestDelay = Duration.ZERO;
    private Duration reportedDelay = Duration.ZERO;
    private Instant nextReportAt = Instant.MIN;

    /** Records a tick; a tick follows the reads of everything that had arrived before the last one. */
    void recordTick(Instant now) {
        Duration delay = delay(now);
        longestDelay = delay.compareTo(longestDelay) > 0 ? delay : longestDelay;
        previous = last;
        last = now;
    }

    /** Returns the earliest instant at which something that is read now may have arrived; now if the host keeps up. */
    Instant earliestArrival(Instant now) {
        return now.minus(delay(now));
    }

    /** Returns whether the last tick was late, so that the next one may still belong to the same delay. */
    boolean isBehind() {
        return !roundTime().isZero();
    }

    /** Returns when the answer to what is sent now is read at the earliest: after another round of the event loop. */
    Instant nextRead(Instant now) {
        return now.plus(roundTime());
    }

    /** Returns the time that the last round of the event loop took; zero if the host keeps up. */
    private Duration roundTime() {
        return delay(last);
    }

    /** Returns the time for which something that is read now may have waited; zero if the host keeps up. */
    private Duration delay(Instant now) {
        if (!previous.isBefore(now)) {
            return Duration.ZERO;
        }
        Duration delay = Duration.between(previous, now);
        return delay.compareTo(MAXIMUM_DELAY) > 0 ? delay : Duration.ZERO;
    }

    /** Returns a log record if the host has not kept up since the last call that was due. */
    Optional<DecisionRecord> report(Instant now) {
        if (now.isBefore(nextReportAt)) {
            return Optional.empty();
        }
        nextReportAt = now.plus(REPORT_INTERVAL);
        reportedDelay = longestDelay;
        longestDelay = Duration.ZERO;
        return Optional.of(reportedDelay)
                .filter(delay -> !delay.isZero())
                .map(delay -> DecisionRecord.important("host-lag", "read-delay-ms", delay.toMillis()));
    }

    /** Returns the longest time for which something may have waited to be read, as last reported. */
    Duration reportedDelay() {
        return reportedDelay;
    }
}

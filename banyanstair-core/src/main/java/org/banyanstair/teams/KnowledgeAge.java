package org.banyanstair.teams;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The latest instant at which the configuration that this host knows was certainly the newest one.
 *
 * <p>Instants are those of the host's monotonic clock. Not thread-safe.
 */
public final class KnowledgeAge {
    private Optional<Instant> confirmedAt = Optional.empty();
    private Optional<KnowledgeSource> source = Optional.empty();
    private Instant invalidatedAt = Instant.MIN;

    /**
     * Applies a completed read of the log, whose records this host knows.
     *
     * @param startedAt when the read was sent: the read returns all changes that were acknowledged before
     */
    public void confirmByLog(Instant startedAt) {
        confirm(startedAt, startedAt, KnowledgeSource.LOG);
    }

    /**
     * Applies the response of a peer, whose records this host knows.
     *
     * @param askedAt when this host sent the query; the peer stated its age later, so that the result is too old rather
     *     than too young
     * @param peerAge age of the peer's knowledge when it responded; a negative one is ignored
     */
    public void confirmByPeer(Instant askedAt, Duration peerAge) {
        if (!peerAge.isNegative()) {
            confirm(askedAt, askedAt.minus(peerAge), KnowledgeSource.PEER);
        }
    }

    private void confirm(Instant askedAt, Instant upTo, KnowledgeSource by) {
        boolean newer = confirmedAt.isEmpty() || upTo.isAfter(confirmedAt.get());
        if (newer && !askedAt.isBefore(invalidatedAt)) {
            confirmedAt = Optional.of(upTo);
            source = Optional.of(by);
        }
    }

    /**
     * Discards the knowledge after a suspension of the process, whose length the clock may not show. Reads and queries
     * that were sent before confirm nothing any more.
     */
    public void invalidate(Instant now) {
        invalidatedAt = now;
        confirmedAt = Optional.empty();
        source = Optional.empty();
    }

    /** Returns the age; empty if nothing has confirmed the knowledge. */
    public Optional<Duration> age(Instant now) {
        return confirmedAt.map(at -> Duration.between(at, now));
    }

    /** Returns whether the knowledge is confirmed and younger than a limit. */
    public boolean isYoungerThan(Duration limit, Instant now) {
        return confirmedAt.isPresent() && now.isBefore(confirmedAt.get().plus(limit));
    }

    /** Returns what confirmed the knowledge; empty if nothing has. */
    public Optional<KnowledgeSource> source() {
        return source;
    }
}

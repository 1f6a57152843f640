package org.banyanstair.history;

import java.time.Instant;
import java.util.OptionalLong;

/**
 * The eras of the external log that a host knows of: a new one begins each time that the log is restored from a copy.
 *
 * <p>Not thread-safe.
 */
public final class LogEras {
    private OptionalLong newest = OptionalLong.empty();
    private Instant newestKnownSince = Instant.MAX;
    private long changes;
    private boolean fallReported;

    /** What an observed era means. */
    public enum Observation {
        /** The first era that the host learns of. */
        FIRST,
        /** The era that the host knows. */
        KNOWN,
        /** The log has been restored since. */
        NEWER,
        /** The era has ended; reported for the first one only. */
        FIRST_ENDED,
        /** The era has ended. */
        ENDED
    }

    /**
     * Records the era of a response of the log, or one that a peer knows.
     *
     * @param now when the host noticed it, on its steady clock
     */
    public Observation observe(long era, Instant now) {
        if (newest.isPresent() && era < newest.getAsLong()) {
            boolean first = !fallReported;
            fallReported = true;
            return first ? Observation.FIRST_ENDED : Observation.ENDED;
        }
        if (newest.isPresent() && era == newest.getAsLong()) {
            return Observation.KNOWN;
        }
        boolean restored = newest.isPresent();
        newest = OptionalLong.of(era);
        newestKnownSince = now;
        changes += restored ? 1 : 0;
        return restored ? Observation.NEWER : Observation.FIRST;
    }

    /** Returns the newest known era; 0 if none is known, as of a log that names none. */
    public long newest() {
        return newest.orElse(0);
    }

    /** Returns when the newest era became known, on the host's steady clock; {@link Instant#MAX} if none is known. */
    public Instant newestKnownSince() {
        return newestKnownSince;
    }

    /** Returns how often the log was restored since the start of this host, as far as the host has noticed. */
    public long changes() {
        return changes;
    }
}

package org.banyanstair.testsupport.log;

import java.util.Optional;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults of the log service.
 *
 * @param shared faults that every stand-in has
 * @param retentionSeconds retention in force instead of the configured one
 */
public record LogFaults(Faults shared, Optional<Integer> retentionSeconds) {
    /** No faults. */
    public static final LogFaults NONE = new LogFaults(Faults.NONE, Optional.empty());

    /** Replaces absent values by their defaults and checks the retention. */
    public LogFaults {
        shared = shared == null ? Faults.NONE : shared;
        retentionSeconds = retentionSeconds == null ? Optional.empty() : retentionSeconds;
        if (retentionSeconds.filter(seconds -> seconds < 1).isPresent()) {
            throw new IllegalArgumentException("retentionSeconds must be at least 1");
        }
    }
}

package org.banyanstair.testsupport.log;

import java.util.Optional;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults that can be injected into the log service.
 *
 * @param shared faults common to all platform stand-ins
 * @param retentionSeconds overrides the configured retention
 */
public record LogFaults(Faults shared, Optional<Integer> retentionSeconds) {
    /** No faults. */
    public static final LogFaults NONE = new LogFaults(Faults.NONE, Optional.empty());

    /** Replaces null by defaults and checks the retention. */
    public LogFaults {
        shared = shared == null ? Faults.NONE : shared;
        retentionSeconds = retentionSeconds == null ? Optional.empty() : retentionSeconds;
        if (retentionSeconds.filter(seconds -> seconds < 1).isPresent()) {
            throw new IllegalArgumentException("retentionSeconds must be at least 1");
        }
    }
}

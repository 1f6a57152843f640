package org.banyanstair.testsupport.hosts;

import java.util.Optional;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults that can be injected into the host list.
 *
 * @param shared faults common to all platform stand-ins
 * @param lagMillis overrides the configured lag
 */
public record HostListFaults(Faults shared, Optional<Long> lagMillis) {
    /** No faults. */
    public static final HostListFaults NONE = new HostListFaults(Faults.NONE, Optional.empty());

    /** Replaces null by defaults and checks the lag. */
    public HostListFaults {
        shared = shared == null ? Faults.NONE : shared;
        lagMillis = lagMillis == null ? Optional.empty() : lagMillis;
        if (lagMillis.filter(lag -> lag < 0).isPresent()) {
            throw new IllegalArgumentException("lagMillis must not be negative");
        }
    }
}

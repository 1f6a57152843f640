package org.banyanstair.testsupport.hosts;

import java.util.Optional;

import org.banyanstair.testsupport.fault.Faults;

/**
 * Faults of the host list.
 *
 * @param shared faults that every stand-in has
 * @param lagMillis lag in force instead of the configured one
 */
public record HostListFaults(Faults shared, Optional<Long> lagMillis) {
    /** No faults. */
    public static final HostListFaults NONE = new HostListFaults(Faults.NONE, Optional.empty());

    /** Replaces absent values by their defaults and checks the lag. */
    public HostListFaults {
        shared = shared == null ? Faults.NONE : shared;
        lagMillis = lagMillis == null ? Optional.empty() : lagMillis;
        if (lagMillis.filter(lag -> lag < 0).isPresent()) {
            throw new IllegalArgumentException("lagMillis must not be negative");
        }
    }
}

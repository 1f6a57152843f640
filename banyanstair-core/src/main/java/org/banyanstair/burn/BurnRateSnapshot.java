package org.banyanstair.burn;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.HostId;

/**
 * Burn rate samples of one host at one time.
 *
 * @param samples one for each service and time window
 */
public record BurnRateSnapshot(HostId host, Instant takenAt, List<BurnRateSample> samples) {
    /** Copies the list. */
    public BurnRateSnapshot {
        samples = List.copyOf(samples);
    }
}

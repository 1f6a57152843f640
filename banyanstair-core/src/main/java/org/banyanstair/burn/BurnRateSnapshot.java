package org.banyanstair.burn;

import java.time.Instant;
import java.util.List;

import org.banyanstair.model.HostId;

/**
 * The burn samples of one host.
 *
 * @param samples one for each service and window
 */
public record BurnRateSnapshot(HostId host, Instant takenAt, List<BurnRateSample> samples) {
    /** Copies the list. */
    public BurnRateSnapshot {
        samples = List.copyOf(samples);
    }
}

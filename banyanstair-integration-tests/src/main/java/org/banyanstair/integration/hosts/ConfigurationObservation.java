package org.banyanstair.integration.hosts;

import java.time.Instant;

import org.banyanstair.model.HostId;
import org.banyanstair.model.PresetId;

/**
 * The configuration version and preset that a host reported to one poll.
 *
 * @param askedAt when the request was sent
 * @param answeredAt when the answer was complete
 */
public record ConfigurationObservation(
        HostId host, Instant askedAt, Instant answeredAt, long version, PresetId preset) {}

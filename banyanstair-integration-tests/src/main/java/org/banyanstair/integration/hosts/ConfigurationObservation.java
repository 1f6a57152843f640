package org.banyanstair.integration.hosts;

import java.time.Instant;

import org.banyanstair.model.HostId;
import org.banyanstair.model.PresetId;

/**
 * What a host answered when it was asked for its configuration.
 *
 * @param host the host
 * @param askedAt when the request was sent
 * @param answeredAt when the answer was complete
 * @param version version in force
 * @param preset preset in force
 */
public record ConfigurationObservation(
        HostId host, Instant askedAt, Instant answeredAt, long version, PresetId preset) {}

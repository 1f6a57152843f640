package org.banyanstair.integration.hosts;

import java.time.Instant;

import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.load.CallerResult;

/**
 * A request without a complete and correct answer.
 *
 * @param entry caller address of the host that it was sent to
 * @param sentAt when it was sent
 * @param endedAt when it ended
 */
public record FailedRequest(NetworkAddress entry, Instant sentAt, Instant endedAt, CallerResult result) {}

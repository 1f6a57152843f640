package org.banyanstair.integration.hosts;

import java.time.Instant;

import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.load.CallerResult;

/**
 * A request that was not answered whole.
 *
 * @param entry caller address of the host that it was sent to
 * @param sentAt when it was sent
 * @param endedAt when it ended
 * @param result what the caller saw
 */
public record FailedRequest(NetworkAddress entry, Instant sentAt, Instant endedAt, CallerResult result) {}

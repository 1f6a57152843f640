package org.banyanstair.testsupport.history;

import java.time.Instant;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;

/**
 * What all events of a history have in common.
 *
 * @param request number of the request in the history, which tells requests with the same key apart
 * @param key idempotency key or body mark, under which endpoints record the request too; unique in a run, except that a
 *     caller sends the same request again under the same key
 * @param caller the caller
 * @param host entry host that the caller used
 * @param start when the request was sent
 * @param end when the event happened
 */
public record EventContext(long request, String key, CallerId caller, HostId host, Instant start, Instant end) {}

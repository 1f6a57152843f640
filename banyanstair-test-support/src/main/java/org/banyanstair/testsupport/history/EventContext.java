package org.banyanstair.testsupport.history;

import java.time.Instant;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;

/**
 * Fields common to all events of a history.
 *
 * @param request number of the request in the history; distinguishes requests with the same key
 * @param key idempotency key or marker in the body, which endpoints record too; unique to a request and its
 *     repetitions
 * @param host entry host that the caller used
 * @param start when the request was sent
 * @param end when the event happened
 */
public record EventContext(long request, String key, CallerId caller, HostId host, Instant start, Instant end) {}

package org.banyanstair.server.http.caller;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.server.http.Exchange;

/** Parses the request headers that control the handling of a request. */
final class RequestHeaders {
    static final String DEADLINE = "X-Request-Deadline";
    static final String PRIORITY = "X-Priority";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private RequestHeaders() {}

    static Instant deadline(Exchange exchange, DeadlinePolicy policy) {
        return exchange.header(DEADLINE).map(text -> policy.check(parse(text))).orElseGet(policy::defaultDeadline);
    }

    private static Instant parse(String text) {
        try {
            return OffsetDateTime.parse(text.trim()).toInstant();
        } catch (DateTimeParseException exception) {
            throw new FailureException(
                    new Failure.InvalidField(DEADLINE, "an RFC 3339 instant such as 2026-12-04T10:00:00Z"));
        }
    }

    static PriorityClass priority(Exchange exchange) {
        return switch (exchange.header(PRIORITY).orElse("standard")) {
            case "standard" -> PriorityClass.STANDARD;
            case "premium" -> PriorityClass.PREMIUM;
            default -> throw new FailureException(new Failure.InvalidField(PRIORITY, "premium or standard"));
        };
    }
}

package org.banyanstair.server.http.caller;

import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.server.http.Exchange;

/** Reads the headers that callers control a request with. */
final class RequestHeaders {
    static final String DEADLINE = "X-Request-Deadline";
    static final String PRIORITY = "X-Priority";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The retention of the log streams is chosen for this limit. */
    private static final Duration LONGEST_WAIT = Duration.ofMinutes(10);

    private RequestHeaders() {}

    static Instant deadline(Exchange exchange, Instant now, Duration defaultWait) {
        Optional<String> header = exchange.header(DEADLINE);
        if (header.isEmpty()) {
            return now.plus(defaultWait);
        }
        Instant deadline = parse(header.get());
        if (!deadline.isAfter(now)) {
            throw new FailureException(new Failure.DeadlinePassed(deadline));
        }
        Instant latest = now.plus(LONGEST_WAIT);
        if (deadline.isAfter(latest)) {
            throw new FailureException(new Failure.DeadlineTooFar(deadline, latest));
        }
        return deadline;
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

package org.banyanstair.server.http;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.errors.FailureText;

/**
 * A failure as an HTTP response with the error envelope of the OpenAI protocol.
 *
 * @param status HTTP status
 * @param headers headers besides content type and length
 * @param body the envelope as JSON; not to be changed
 */
public record ErrorResponse(int status, Map<String, String> headers, byte[] body) {
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final String MAINTENANCE_RETRY_AFTER_SECONDS = "30";

    /** Returns the response to a failure, as its type determines it. */
    public static ErrorResponse of(Failure failure) {
        return of(failure, FailureStatus.of(failure), failure.outcome());
    }

    /**
     * Returns the response to a failure.
     *
     * @param status HTTP status
     * @param outcome what is known about the request
     */
    public static ErrorResponse of(Failure failure, int status, FailureOutcome outcome) {
        return create(failure, status, outcome, envelope(failure, status));
    }

    /** Returns a response whose envelope also has the failure as a record in the field {@code details}. */
    public static ErrorResponse withDetails(Failure failure) {
        int status = FailureStatus.of(failure);
        ObjectNode envelope = envelope(failure, status);
        ((ObjectNode) envelope.get("error")).set("details", Mappers.JSON.valueToTree(failure));
        return create(failure, status, failure.outcome(), envelope);
    }

    /** Returns the envelope of a failure that came after the response had begun. */
    public static byte[] envelopeBytes(Failure failure) {
        return bytes(envelope(failure, FailureStatus.of(failure)));
    }

    private static ErrorResponse create(Failure failure, int status, FailureOutcome outcome, ObjectNode envelope) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Outcome", outcome == FailureOutcome.NOT_RUN ? "not-run" : "unknown");
        if (status == 503 || status == 429) {
            boolean maintenance = failure instanceof Failure.InMaintenance;
            headers.put("Retry-After", maintenance ? MAINTENANCE_RETRY_AFTER_SECONDS : RETRY_AFTER_SECONDS);
        }
        if (status == 401) {
            headers.put("WWW-Authenticate", "Bearer");
        }
        return new ErrorResponse(status, headers, bytes(envelope));
    }

    private static ObjectNode envelope(Failure failure, int status) {
        ObjectNode envelope = Mappers.JSON.createObjectNode();
        envelope.putObject("error")
                .put("message", FailureText.of(failure))
                .put("type", type(status))
                .put("code", failure.code())
                .put("param", param(failure));
        return envelope;
    }

    private static String type(int status) {
        if (status >= 500) {
            return "server_error";
        }
        return switch (status) {
            case 401 -> "authentication_error";
            case 403 -> "permission_error";
            case 429 -> "rate_limit_error";
            default -> "invalid_request_error";
        };
    }

    private static String param(Failure failure) {
        if (failure instanceof Failure.InvalidField invalid) {
            return invalid.field();
        }
        if (failure instanceof Failure.InvalidChange invalid) {
            return invalid.field();
        }
        return failure instanceof Failure.UnknownModel ? "model" : null;
    }

    private static byte[] bytes(ObjectNode node) {
        try {
            return Mappers.JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }
}

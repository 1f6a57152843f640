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
 * HTTP response for a failure, with the error envelope of the OpenAI protocol.
 *
 * @param status HTTP status
 * @param headers headers besides content type and length
 * @param body the envelope as JSON; must not be modified
 */
public record ErrorResponse(int status, Map<String, String> headers, byte[] body) {
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final String MAINTENANCE_RETRY_AFTER_SECONDS = "30";

    /** Returns the response for a failure, with the status and outcome of its type. */
    public static ErrorResponse of(Failure failure) {
        return of(failure, FailureStatus.of(failure), failure.outcome());
    }

    /**
     * Returns the response for a failure with an explicit status and outcome.
     *
     * @param status HTTP status
     * @param outcome whether the request is known not to have run
     */
    public static ErrorResponse of(Failure failure, int status, FailureOutcome outcome) {
        return create(failure, status, outcome, envelope(failure, status));
    }

    /** Returns a response whose envelope includes the failure as a JSON object in the field {@code details}. */
    public static ErrorResponse withDetails(Failure failure) {
        int status = FailureStatus.of(failure);
        ObjectNode envelope = envelope(failure, status);
        ((ObjectNode) envelope.get("error")).set("details", Mappers.JSON.valueToTree(failure));
        return create(failure, status, failure.outcome(), envelope);
    }

    /** Returns the JSON error envelope of a failure that occurred after the response had started. */
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

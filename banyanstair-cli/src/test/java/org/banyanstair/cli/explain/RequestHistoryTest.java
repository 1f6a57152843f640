package org.banyanstair.cli.explain;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a history that mixes in other requests or names a wrong cause for the end of a request. */
class RequestHistoryTest {
    private static String line(int second, String host, String kind, String fields) {
        return "{\"at\":\"2026-01-01T00:00:" + String.format("%02d", second) + "Z\",\"host\":\"" + host
                + "\",\"kind\":\"" + kind + "\"" + (fields.isEmpty() ? "" : "," + fields) + "}";
    }

    private static String fieldsOf(String request, String otherFields) {
        return "\"request\":\"" + request + "\"" + (otherFields.isEmpty() ? "" : "," + otherFields);
    }

    private static RequestHistory history(String request, String... lines) {
        return RequestHistory.of(
                request,
                Stream.of(lines).map(LogLine::parse).flatMap(Optional::stream).toList());
    }

    @Test
    void omitsLinesOfOtherRequestsAndEndpoints() {
        RequestHistory history = history(
                "a",
                "  12.5 host-1 " + line(3, "host-1", "answered", fieldsOf("a", "\"status\":200")),
                line(2, "host-1", "sent", fieldsOf("b", "\"endpoint\":\"i-2\"")),
                line(2, "host-1", "endpoint-removed", "\"endpoint\":\"i-2\""),
                "not a decision {",
                line(1, "host-1", "sent", fieldsOf("a", "\"endpoint\":\"i-1\"")));
        assertEquals(
                List.of("sent", "answered"),
                history.lines().stream().map(LogLine::kind).toList());
        assertEquals(RequestCause.ANSWERED, history.cause());
    }

    @Test
    void endpointRestartSoonAfterFailureIsReportedAsCause() {
        String sent = line(1, "host-1", "sent", fieldsOf("a", "\"endpoint\":\"i-1\""));
        String failed = line(2, "host-1", "failed", fieldsOf("a", "\"reason\":\"ENDPOINT_FAILED\""));
        assertEquals(RequestCause.ENDPOINT_FAILED, history("a", sent, failed).cause());
        String restarted = line(4, "host-1", "endpoint-restarted", "\"endpoint\":\"i-1\"");
        assertEquals(
                RequestCause.ENDPOINT_LOST,
                history("a", restarted, sent, failed).cause());
        String later = line(40, "host-1", "endpoint-restarted", "\"endpoint\":\"i-1\"");
        assertEquals(
                RequestCause.ENDPOINT_FAILED, history("a", later, sent, failed).cause());
    }

    @Test
    void refusalAndTimeoutAreReported() {
        assertEquals(
                RequestCause.REFUSED,
                history("a", line(1, "host-1", "refused", fieldsOf("a", "\"reason\":\"OVERLOADED\"")))
                        .cause());
        assertEquals(
                RequestCause.TIMED_OUT,
                history("a", line(1, "host-1", "failed", fieldsOf("a", "\"reason\":\"TIMED_OUT\"")))
                        .cause());
    }

    @Test
    void hostRestartIsReportedAsCauseOfMissingEnd() {
        String sent = line(1, "host-1", "sent", fieldsOf("a", ""));
        assertEquals(RequestCause.NO_END, history("a", sent).cause());
        assertEquals(
                RequestCause.HOST_LOST,
                history("a", sent, line(3, "host-1", "started", "")).cause());
        assertEquals(
                RequestCause.NO_END,
                history("a", sent, line(3, "host-2", "started", "")).cause());
    }

    @Test
    void unknownRequestHasNoLines() {
        assertTrue(history("a", line(1, "host-1", "sent", fieldsOf("b", "")))
                .lines()
                .isEmpty());
    }
}

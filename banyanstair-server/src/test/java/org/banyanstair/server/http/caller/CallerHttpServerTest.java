package org.banyanstair.server.http.caller;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.server.service.PlainCall;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallerHttpServerTest extends CallerServerFixture {
    private static final String CHAT = "/v1/chat/completions";
    private static final String BODY = "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private void assertRefused(HttpResponse<String> response, int status, String code) {
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
        assertEquals("not-run", header(response, "X-Outcome"));
        assertTrue(service.generations.isEmpty() && service.calls.isEmpty());
    }

    /** Guards against requests that run without a valid key or for a caller that may not use the service. */
    @Test
    void keysAndCallersAreChecked() throws Exception {
        String body = BODY.formatted("assistant/tender");
        for (String key : List.of("", "Bearer ", "Bearer clerk-keY", "Bearer clerk-key2", "Basic clerk-key")) {
            assertRefused(send("POST", CHAT, body, "Authorization", key), 401, "unauthenticated");
        }
        assertRefused(send("POST", CHAT, BODY.formatted("internal/proof")), 403, "caller_not_allowed");
        String member = "Bearer member-key";
        assertRefused(send("POST", CHAT, body, "Authorization", member), 403, "caller_not_allowed");
        assertRefused(send("GET", "/services/desk/stock", "", "Authorization", member), 403, "caller_not_allowed");
        assertRefused(send("POST", CHAT, BODY.formatted("nobody/x")), 404, "unknown_service");
        assertRefused(send("POST", CHAT, BODY.formatted("assistant/tender@v9")), 404, "unknown_model");
        assertRefused(send("GET", "/services/assistant/stock", ""), 404, "unknown_service");
    }

    /** Guards against unreadable or oversized bodies that reach an engine. */
    @Test
    void malformedBodyIsLocated() throws Exception {
        HttpResponse<String> response = send("POST", CHAT, "{\"model\":\"assistant/tender\",\n  \"messages\": [}");
        assertRefused(response, 400, "malformed_input");
        assertTrue(response.body().contains("line 2, column 16"), response.body());
        assertRefused(send("POST", CHAT, ""), 400, "invalid_field");
        assertRefused(send("POST", CHAT, "[]"), 400, "invalid_field");
        assertRefused(send("POST", CHAT, BODY.formatted("assistant/tender") + "x"), 400, "malformed_input");
        assertRefused(send("POST", CHAT, "[".repeat(100_000)), 400, "malformed_input");
        assertRefused(send("POST", CHAT, " ".repeat(1024 * 1024 + 1)), 413, "body_too_large");
    }

    /**
     * Guards against deadlines beyond the retention of call records, and against invalid headers treated as missing.
     */
    @Test
    void headersAreChecked() throws Exception {
        String body = BODY.formatted("assistant/tender");
        String deadline = "X-Request-Deadline";
        assertRefused(send("POST", CHAT, body, deadline, "2026-12-04T10:00:00Z"), 400, "deadline_passed");
        assertRefused(send("POST", CHAT, body, deadline, "2026-12-04T10:10:01Z"), 400, "deadline_too_far");
        assertRefused(send("POST", CHAT, body, deadline, "tomorrow"), 400, "invalid_field");
        assertRefused(send("POST", CHAT, body, "X-Priority", "urgent"), 400, "invalid_field");
    }

    /** Guards against requests that are served before the host has a configuration. */
    @Test
    void unreadyHostServesNothing() throws Exception {
        assertEquals(200, send("GET", "/ready", "").statusCode());
        service.notReadyReason = Optional.of(new Failure.NotReady(new HostId("entry-1")));
        assertEquals(200, send("GET", "/health", "").statusCode());
        assertRefused(send("GET", "/ready", ""), 503, "not_ready");
        assertRefused(send("POST", CHAT, BODY.formatted("assistant/tender")), 503, "not_ready");
    }

    /** Guards against model lists with models of services that the caller may not use. */
    @Test
    void modelsAndEntryAreListed() throws Exception {
        String models = send("GET", "/v1/models", "").body();
        for (String id : List.of("assistant/tender", "assistant/tender@v1", "assistant/tender@v2")) {
            assertTrue(models.contains("\"id\":\"" + id + "\""), models);
        }
        assertTrue(!models.contains("internal"), models);
        String entry = send("GET", "/v1/entry", "").body();
        assertTrue(entry.contains("\"keep_until\":\"2026-12-04T10:00:30Z\""), entry);
        assertTrue(entry.contains("\"address\":\"127.0.0.1:8080\""), entry);
    }

    /**
     * Guards against calls that are modified in transit, or that lose the idempotency key that keeps them from running
     * twice.
     */
    @Test
    void plainCallsPassThrough() throws Exception {
        HttpResponse<String> response = send(
                "POST", "/services/desk/orders/7?x=%20y", "a=1&b", "Content-Type", "text/x", "Idempotency-Key", "k1");
        assertEquals("a=1&b", response.body());
        assertEquals("text/x", header(response, "Content-Type"));
        PlainCall call = service.calls.remove();
        assertEquals("/orders/7?x=%20y", call.call().path());
        assertEquals("POST", call.call().method());
        assertEquals("k1", call.key().orElseThrow().key());
        send("GET", "/services/desk/stock/1", "", "Idempotency-Key", "k2");
        assertTrue(service.calls.remove().key().isEmpty());
        assertRefused(send("POST", "/services/desk/orders", ""), 400, "missing_idempotency_key");
        assertRefused(send("POST", "/services/desk/orders", "", "Idempotency-Key", "a b"), 400, "invalid_field");
        for (String path :
                List.of("/stock/../orders", "/stock/%2e%2E/orders", "/stock%2f..%2forders", "/stock/..;/o")) {
            assertRefused(send("GET", "/services/desk" + path, ""), 400, "invalid_field");
        }
        service.callHandler = answered ->
                new CallAnswer.Answered(new ServiceAnswer(409, Optional.of("text/plain"), "sold out".getBytes()), true);
        HttpResponse<String> repeated = send("DELETE", "/services/desk/orders", "", "Idempotency-Key", "k3");
        assertEquals(409, repeated.statusCode());
        assertEquals("true", header(repeated, "Idempotent-Replayed"));
        assertEquals("", header(repeated, "X-Outcome"));
        assertEquals(
                409,
                send("HEAD", "/services/desk/stock", "", "Idempotency-Key", "k4")
                        .statusCode());
    }

    /** Guards against calls reported as not run that may have run, and the reverse. */
    @Test
    void outcomesOfCallsAreKeptApart() throws Exception {
        Failure failure = new Failure.EndpointFailed(new EndpointId("desk-1"));
        service.callHandler = call -> new CallAnswer.NotRun(failure);
        HttpResponse<String> notRun = send("GET", "/services/desk/stock", "");
        assertEquals(503, notRun.statusCode());
        assertEquals("not-run", header(notRun, "X-Outcome"));
        assertEquals("1", header(notRun, "Retry-After"));
        service.callHandler = call -> new CallAnswer.Unknown(new Failure.LogUnavailable("calls-0"));
        HttpResponse<String> unknown = send("GET", "/services/desk/stock", "");
        assertEquals(504, unknown.statusCode());
        assertEquals("unknown", header(unknown, "X-Outcome"));
        service.callHandler = call -> new CallAnswer.NotRun(new Failure.IdempotencyKeyReused("k"));
        assertEquals(
                409,
                send("POST", "/services/desk/o", "", "Idempotency-Key", "k").statusCode());
        assertEquals(
                1,
                registry.counter("banyanstair_requests|service=desk|code=log_unavailable")
                        .getCount());
    }
}

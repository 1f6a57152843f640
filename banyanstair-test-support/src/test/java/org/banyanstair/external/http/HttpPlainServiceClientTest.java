package org.banyanstair.external.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.RequestId;
import org.banyanstair.testsupport.endpoint.EndpointStandInServer;
import org.banyanstair.testsupport.service.PlainServiceFault;
import org.banyanstair.testsupport.service.PlainServiceSettings;
import org.banyanstair.testsupport.service.PlainServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.banyanstair.testsupport.engine.EngineTestClient.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a call that is sent twice, or reported as not sent although it ran. */
class HttpPlainServiceClientTest {
    private final HttpPlainServiceClient client = new HttpPlainServiceClient(Duration.ofSeconds(1), 1 << 16);
    private final PlainServiceStandIn service = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);

    @BeforeEach
    void start() {
        service.start();
    }

    @AfterEach
    void stop() {
        client.stop();
        service.stop();
    }

    private ServiceCallResult call(Endpoint endpoint, String method, String path, String body, Duration limit)
            throws Exception {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Optional<String> type = body.isEmpty() ? Optional.empty() : Optional.of("application/json");
        ServiceCall call = new ServiceCall(
                new RequestId("r"), method, path, type, bytes, Instant.now().plus(limit));
        return client.call(endpoint, call).get(5, TimeUnit.SECONDS);
    }

    private ServiceCallResult call(String method, String path, String body) throws Exception {
        return call(TestEndpoints.at(service.address()), method, path, body, Duration.ofSeconds(4));
    }

    @Test
    void answerIsPassedOnWithItsStatus() throws Exception {
        ServiceCallResult.Answered order = (ServiceCallResult.Answered) call("POST", "/orders", "{\"item\":1}");
        assertEquals(201, order.answer().status());
        assertEquals(
                Optional.of("application/json;charset=UTF-8"), order.answer().contentType());
        assertEquals("{\"order\":\"order-1\"}", new String(order.answer().body(), StandardCharsets.UTF_8));
        assertEquals("r", service.record().get(0).requestId());
        assertEquals("{\"item\":1}", service.record().get(0).body());
        ServiceCallResult.Answered stock = (ServiceCallResult.Answered) call("GET", "/stock/a?unit=box", "");
        assertEquals(200, stock.answer().status());
        assertEquals("/stock/a?unit=box", service.record().get(1).path());
        ServiceCallResult.Answered empty = (ServiceCallResult.Answered) call("POST", "/orders", "");
        assertEquals(201, empty.answer().status());
        service.setFault(PlainServiceFault.OUTAGE, 1);
        assertEquals(
                503,
                ((ServiceCallResult.Answered) call("POST", "/orders", "{}"))
                        .answer()
                        .status());
    }

    @Test
    void lostAnswerIsUnknownAndNotRepeated() throws Exception {
        service.setFault(PlainServiceFault.LOSE_ANSWERS, 1);
        assertEquals(
                new ServiceCallResult.OutcomeUnknown(new Failure.EndpointFailed(TestEndpoints.ID)),
                call("POST", "/orders", "{}"));
        service.setFault(PlainServiceFault.LOSE_ANSWERS, 1);
        assertTrue(call("GET", "/stock/a", "") instanceof ServiceCallResult.OutcomeUnknown);
        assertEquals(2, service.record().size());
    }

    @Test
    void passedDeadlineIsUnknownOnceSentAndNotSentBefore() throws Exception {
        service.setFault(PlainServiceFault.DELAY_MILLISECONDS, 1_000);
        Endpoint endpoint = TestEndpoints.at(service.address());
        assertEquals(
                new ServiceCallResult.OutcomeUnknown(new Failure.OutcomeUnknown()),
                call(endpoint, "POST", "/orders", "{}", Duration.ofMillis(200)));
        assertTrue(call(endpoint, "POST", "/orders", "{}", Duration.ofMillis(-1)) instanceof ServiceCallResult.NotSent);
        // The deadline may pass before a busy machine has let the service read the request.
        await("the run of the request that was sent", () -> !service.record().isEmpty());
        assertEquals(1, service.record().size());
    }

    @Test
    void refusedConnectionIsNotSent() throws Exception {
        assertEquals(
                new ServiceCallResult.NotSent(new Failure.EndpointUnreachable(TestEndpoints.ID)),
                call(TestEndpoints.closed(), "POST", "/orders", "{}", Duration.ofSeconds(2)));
    }

    @Test
    void callThatHttpCannotCarryIsNotSent() throws Exception {
        assertTrue(call("GET", "@127.0.0.2/", "") instanceof ServiceCallResult.NotSent);
        assertTrue(call("GET", "/stock/a", "{}") instanceof ServiceCallResult.NotSent);
        assertTrue(call("PO ST", "/orders", "{}") instanceof ServiceCallResult.NotSent);
        assertTrue(service.record().isEmpty());
    }

    @Test
    void tooLongAnswerIsUnknown() throws Exception {
        assertTrue(call("POST", "/echo", "x".repeat(1 << 17)) instanceof ServiceCallResult.OutcomeUnknown);
    }

    @Test
    void redirectAndRetryAfterAreNotFollowed() throws Exception {
        EndpointStandInServer server = new EndpointStandInServer(
                0,
                routes -> routes.on("GET", "/*", exchange -> {
                    int status = exchange.context().getRequestPath().equals("/moved") ? 302 : 503;
                    exchange.context().setResponseHeader("Retry-After", "0");
                    exchange.context().setResponseHeader("Location", "/orders");
                    exchange.respondError(status, "test", "text");
                }));
        server.start();
        try {
            for (String path : new String[] {"/moved", "/down"}) {
                ServiceCallResult result =
                        call(TestEndpoints.at(server.address()), "GET", path, "", Duration.ofSeconds(2));
                assertEquals(
                        path.equals("/moved") ? 302 : 503,
                        ((ServiceCallResult.Answered) result).answer().status());
            }
        } finally {
            server.stop();
        }
    }
}

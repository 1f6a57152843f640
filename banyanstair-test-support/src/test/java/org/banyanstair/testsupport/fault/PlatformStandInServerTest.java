package org.banyanstair.testsupport.fault;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against injected faults that behave differently from what other tests assume. */
class PlatformStandInServerTest {
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private PlatformStandInServer server;

    @BeforeEach
    void start() {
        server = new PlatformStandInServer(0);
        server.operation("POST", "/things/{name}", request -> {
            server.counters().add("things", 1);
            return CompletableFuture.completedFuture(Reply.json(200, request.path("name") + request.body().length));
        });
        server.faultControls(Faults.class, faults -> faults, server.injector()::get, server::setFaults);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void operationsAndCountersAreServed() throws Exception {
        assertEquals("\"a3\"", post("/things/a", "xyz").body());
        assertEquals(
                "{\"lostAnswers\":0,\"things\":1,\"unavailable\":0}",
                get("/counters").body());
    }

    @Test
    void unavailableOperationsHaveNoEffectButControlsRespond() throws Exception {
        assertEquals(200, put("/faults", "{\"outage\":\"UNAVAILABLE\"}").statusCode());
        assertEquals(503, post("/things/a", "").statusCode());
        assertEquals(0, server.counters().get("things"));
        assertTrue(get("/faults").body().contains("UNAVAILABLE"));
        assertEquals(200, put("/faults", "{}").statusCode());
        assertEquals(200, post("/things/a", "").statusCode());
    }

    @Test
    void operationsWithLostResponsesTakeEffect() throws Exception {
        put("/faults", "{\"lostAnswers\":1}");
        assertThrows(IOException.class, () -> post("/things/a", ""));
        assertEquals(1, server.counters().get("things"));
        assertEquals(200, post("/things/a", "").statusCode());
        put("/faults", "{\"lostAnswerProbability\":1.0,\"seed\":7}");
        assertThrows(IOException.class, () -> post("/things/a", ""));
    }

    @Test
    void delaysApplyBeforeEffectAndBeforeResponse() throws Exception {
        server.setFaults(Faults.NONE.withDelays(100, 100));
        Instant start = Instant.now();
        assertEquals(200, post("/things/a", "").statusCode());
        assertTrue(Duration.between(start, Instant.now()).toMillis() >= 200);
    }

    @Test
    void listensOnSamePortAfterRefusingConnections() throws Exception {
        for (int i = 0; i < 3; i++) {
            server.setFaults(Faults.NONE.withOutage(Outage.REFUSED));
            server.awaitApplied();
            assertThrows(ConnectException.class, () -> post("/things/a", ""));
            server.setFaults(Faults.NONE);
            server.awaitApplied();
            assertEquals(200, post("/things/a", "").statusCode());
        }
        String until = Instant.now().plusMillis(300).toString();
        assertEquals(
                200,
                put("/faults", "{\"outage\":\"REFUSED\",\"outageUntil\":\"" + until + "\"}")
                        .statusCode());
        server.awaitApplied();
        assertThrows(ConnectException.class, () -> post("/things/a", ""));
        Thread.sleep(500);
        server.awaitApplied();
        assertEquals(200, post("/things/a", "").statusCode());
    }

    @Test
    void malformedFaultsAreRejected() throws Exception {
        assertEquals(400, put("/faults", "{\"lostAnswerProbability\":2}").statusCode());
        assertEquals(400, put("/faults", "{\"outage\":\"REFUSED\"}").statusCode());
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> put(String path, String body) throws Exception {
        return send(request(path).PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send(request(path).GET());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
                .timeout(Duration.ofSeconds(5));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}

package org.banyanstair.testsupport.service;

import java.io.IOException;
import java.net.ConnectException;

import org.banyanstair.testsupport.engine.EngineTestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a stand-in that hides repeated orders or does not apply its injected faults. */
class PlainServiceStandInTest {
    private final PlainServiceStandIn service = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);
    private EngineTestClient client;

    @BeforeEach
    void start() {
        service.start();
        client = new EngineTestClient(service.address());
    }

    @AfterEach
    void stop() {
        service.stop();
    }

    @Test
    void repeatedOrdersRunAgain() throws Exception {
        EngineTestClient.Answer first = client.send("POST", "/orders", "{\"item\":\"blanket\"}", "X-Request-Id", "r1");
        EngineTestClient.Answer second = client.send("POST", "/orders", "{\"item\":\"blanket\"}", "X-Request-Id", "r1");
        assertEquals(201, first.status());
        assertEquals("order-1", first.json().path("order").asText());
        assertEquals("order-2", second.json().path("order").asText());
        assertEquals(2, client.send("GET", "/record", "").json().path("runs").size());
        assertEquals("r1", service.record().get(0).requestId());
        assertEquals("{\"item\":\"blanket\"}", service.record().get(1).body());
    }

    @Test
    void stockLookupAndOtherPathsRespond() throws Exception {
        assertEquals(
                40,
                client.send("GET", "/stock/blanket", "").json().path("quantity").asInt());
        EngineTestClient.Answer echo = client.send("PUT", "/quotes/7?currency=lei", "text");
        assertEquals(200, echo.status());
        assertEquals("/quotes/7?currency=lei", echo.json().path("path").asText());
        assertEquals("text", echo.json().path("body").asText());
    }

    @Test
    void callWithLostResponseRuns() throws Exception {
        client.send("PUT", "/faults", "{\"lose_answers\":1}");
        assertThrows(IOException.class, () -> client.send("POST", "/orders", "{}"));
        assertEquals(201, client.send("POST", "/orders", "{}").status());
        assertFalse(service.record().get(0).answered());
        assertEquals(2, service.record().size());
    }

    @Test
    void callsDuringOutageDoNotRun() throws Exception {
        service.setFault(PlainServiceFault.OUTAGE, 1);
        assertEquals(503, client.send("POST", "/orders", "{}").status());
        assertTrue(service.record().isEmpty());
    }

    @Test
    void delayFaultDelaysOnlyTheResponse() throws Exception {
        service.setFault(PlainServiceFault.DELAY_MILLISECONDS, 200);
        long start = System.nanoTime();
        client.send("GET", "/stock/blanket", "");
        assertTrue(System.nanoTime() - start >= 200_000_000L);
        ServiceRun run = service.record().get(0);
        assertEquals(run.started().plusMillis(200), run.ended());
    }

    @Test
    void connectionsAreRefusedForTheGivenTime() throws Exception {
        service.setFault(PlainServiceFault.REFUSE_CONNECTIONS_MILLISECONDS, 400);
        EngineTestClient.await("refused", () -> {
            try {
                client.send("GET", "/record", "");
                return false;
            } catch (ConnectException exception) {
                return true;
            } catch (IOException exception) {
                return false;
            }
        });
        EngineTestClient.await("accepted again", () -> {
            try {
                return client.send("GET", "/record", "").status() == 200;
            } catch (IOException exception) {
                return false;
            }
        });
    }
}

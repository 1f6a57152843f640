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

/** Guards against a stand-in that hides repeated orders or does not fail as a test asks for. */
class PlainServiceStandInTest {
    private final PlainServiceStandIn service = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);
    private EngineTestClient probe;

    @BeforeEach
    void start() {
        service.start();
        probe = new EngineTestClient(service.address());
    }

    @AfterEach
    void stop() {
        service.stop();
    }

    @Test
    void everyOrderRunsEvenARepeatedOne() throws Exception {
        EngineTestClient.Answer first = probe.send("POST", "/orders", "{\"item\":\"blanket\"}", "X-Request-Id", "r1");
        EngineTestClient.Answer second = probe.send("POST", "/orders", "{\"item\":\"blanket\"}", "X-Request-Id", "r1");
        assertEquals(201, first.status());
        assertEquals("order-1", first.json().path("order").asText());
        assertEquals("order-2", second.json().path("order").asText());
        assertEquals(2, probe.send("GET", "/record", "").json().path("runs").size());
        assertEquals("r1", service.record().get(0).requestId());
        assertEquals("{\"item\":\"blanket\"}", service.record().get(1).body());
    }

    @Test
    void stockAndOtherPathsAnswer() throws Exception {
        assertEquals(
                40,
                probe.send("GET", "/stock/blanket", "").json().path("quantity").asInt());
        EngineTestClient.Answer echo = probe.send("PUT", "/quotes/7?currency=lei", "text");
        assertEquals(200, echo.status());
        assertEquals("/quotes/7?currency=lei", echo.json().path("path").asText());
        assertEquals("text", echo.json().path("body").asText());
    }

    @Test
    void lostAnswerIsOfACallThatRan() throws Exception {
        probe.send("PUT", "/faults", "{\"lose_answers\":1}");
        assertThrows(IOException.class, () -> probe.send("POST", "/orders", "{}"));
        assertEquals(201, probe.send("POST", "/orders", "{}").status());
        assertFalse(service.record().get(0).answered());
        assertEquals(2, service.record().size());
    }

    @Test
    void outageRunsNothing() throws Exception {
        service.setFault(PlainServiceFault.OUTAGE, 1);
        assertEquals(503, probe.send("POST", "/orders", "{}").status());
        assertTrue(service.record().isEmpty());
    }

    @Test
    void delayIsOfTheAnswerOnly() throws Exception {
        service.setFault(PlainServiceFault.DELAY_MILLISECONDS, 200);
        long start = System.nanoTime();
        probe.send("GET", "/stock/blanket", "");
        assertTrue(System.nanoTime() - start >= 200_000_000L);
        ServiceRun run = service.record().get(0);
        assertEquals(run.started().plusMillis(200), run.ended());
    }

    @Test
    void connectionsAreRefusedForAWhile() throws Exception {
        service.setFault(PlainServiceFault.REFUSE_CONNECTIONS_MILLISECONDS, 400);
        EngineTestClient.await("refused", () -> {
            try {
                probe.send("GET", "/record", "");
                return false;
            } catch (ConnectException exception) {
                return true;
            } catch (IOException exception) {
                return false;
            }
        });
        EngineTestClient.await("accepted again", () -> {
            try {
                return probe.send("GET", "/record", "").status() == 200;
            } catch (IOException exception) {
                return false;
            }
        });
    }
}

package org.banyanstair.testsupport.engine;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.banyanstair.testsupport.engine.EngineTestClient.ADAPTER;
import static org.banyanstair.testsupport.engine.EngineTestClient.await;
import static org.banyanstair.testsupport.engine.EngineTestClient.body;
import static org.banyanstair.testsupport.engine.EngineTestClient.events;
import static org.banyanstair.testsupport.engine.EngineTestClient.expected;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against injected faults without effect, with which tests would pass without exercising the fault. */
class EngineFaultTest {
    private EngineStandIn engine;
    private EngineTestClient client;

    @BeforeEach
    void start() throws Exception {
        ObjectNode settings = Mappers.JSON.valueToTree(EngineSettings.DEFAULT);
        settings.put("loadMilliseconds", 1).put("restartMilliseconds", 200).put("crashMarker", "boom");
        engine = new EngineStandIn(Mappers.JSON.treeToValue(settings, EngineSettings.class));
        engine.start();
        client = new EngineTestClient(engine.address());
        assertEquals(200, client.load(ADAPTER, 1).status());
    }

    @AfterEach
    void stop() {
        engine.stop();
    }

    private boolean answersStatus() {
        try {
            return client.status().has("incarnation");
        } catch (IOException exception) {
            return false;
        }
    }

    @Test
    void faultsAreSetOverHttp() throws Exception {
        assertEquals(200, client.send("PUT", "/faults", "{\"fail_loads\":1}").status());
        assertEquals("load_failed", client.load("a/b@v1", 1).code());
        assertEquals(200, client.load("a/b@v1", 1).status());
        assertEquals(400, client.send("PUT", "/faults", "{\"unheard_of\":1}").status());
        assertEquals(
                400, client.send("PUT", "/faults", "{\"fail_loads\":\"x\"}").status());
        assertEquals(1, engine.counters().failedLoads());
    }

    @Test
    void commandsWithLostResponsesTakeEffect() throws Exception {
        engine.setFault(EngineFault.LOSE_LOAD_ANSWERS, 1);
        assertThrows(IOException.class, () -> client.load("a/b@v1", 1));
        assertTrue(client.status().path("loaded").has("a/b@v1"));
        engine.setFault(EngineFault.LOSE_UNLOAD_ANSWERS, 1);
        assertThrows(IOException.class, () -> client.unload("a/b@v1", 1));
        assertEquals(1, client.status().path("loaded").size());
        engine.setFault(EngineFault.LOSE_GENERATION_ANSWERS, 1);
        assertThrows(IOException.class, () -> client.complete("r", body("p", 3)));
        await("r completes", () -> engine.record().runs().get(0).outcome() == RunOutcome.COMPLETED);
        assertEquals(expected("p", 3, 0), events(client.complete("q", body("p", 3))));
    }

    @Test
    void requestWithCrashMarkerCrashesEngine() throws Exception {
        long before = client.status().path("incarnation").asLong();
        var other = client.completeAsync("other", body("p", 4_000));
        await("other runs", () -> engine.record().runs().size() == 1);
        assertThrows(IOException.class, () -> client.complete("r", body("a boom b", 3)));
        assertThrows(ConnectException.class, () -> client.status());
        assertThrows(Exception.class, other::join);
        await("new incarnation", this::answersStatus);
        assertNotEquals(before, client.status().path("incarnation").asLong());
        assertEquals(0, client.status().path("loaded").size());
        assertEquals(0, client.status().path("fence").asLong());
        assertEquals("adapter_not_loaded", client.complete("q", body("p", 1)).code());
        assertTrue(engine.record().runs().stream().allMatch(run -> run.outcome() == RunOutcome.CRASHED));
        assertEquals(1, engine.counters().crashes());
    }

    @Test
    void restartedEngineHasNoAdapters() throws Exception {
        client.send("PUT", "/faults", "{\"restart\":1}");
        await("restart", () -> answersStatus() && client.status().path("loaded").isEmpty());
        assertEquals(200, client.load(ADAPTER, 1).status());
        assertEquals(expected("p", 2, 0), events(client.complete("r", body("p", 2))));
    }

    @Test
    void ignoreFencingFaultAcceptsStaleNumbers() throws Exception {
        client.load("a/b@v1", 5);
        engine.setFault(EngineFault.IGNORE_FENCING, 1);
        assertEquals(200, client.unload("a/b@v1", 4).status());
        engine.setFault(EngineFault.IGNORE_FENCING, 0);
        assertEquals("fenced", client.unload(ADAPTER, 4).code());
    }

    @Test
    void refusingConnectionsKeepsEngineState() throws Exception {
        engine.setFault(EngineFault.REFUSE_CONNECTIONS_MILLISECONDS, 300);
        await("refused", () -> !answersStatus());
        assertThrows(ConnectException.class, () -> client.status());
        await("accepted again", this::answersStatus);
        assertTrue(client.status().path("loaded").has(ADAPTER));
    }

    @Test
    void slowStepFaultDelaysSteps() throws Exception {
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 50);
        long start = System.nanoTime();
        client.complete("r", body("p", 5));
        assertTrue(System.nanoTime() - start >= 200_000_000L);
    }

    @Test
    void processPrintsItsAddressAndStopsOnSignal() throws Exception {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Process process = new ProcessBuilder(
                        java.toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        EngineStandIn.class.getName(),
                        "--set",
                        "slots=3")
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            String line = output.readLine();
            assertTrue(line.startsWith("ready "), line);
            EngineTestClient other = new EngineTestClient(NetworkAddress.parse(line.substring("ready ".length())));
            assertEquals(3, other.status().path("slots").asInt());
        } finally {
            process.destroy();
            process.waitFor();
        }
    }
}

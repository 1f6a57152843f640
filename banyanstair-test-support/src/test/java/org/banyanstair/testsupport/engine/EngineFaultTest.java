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

/** Guards against faults that do not do what a test relies on, so that the test would pass without the fault. */
class EngineFaultTest {
    private EngineStandIn engine;
    private EngineTestClient probe;

    @BeforeEach
    void start() throws Exception {
        ObjectNode settings = Mappers.JSON.valueToTree(EngineSettings.DEFAULT);
        settings.put("loadMilliseconds", 1).put("restartMilliseconds", 200).put("crashMarker", "boom");
        engine = new EngineStandIn(Mappers.JSON.treeToValue(settings, EngineSettings.class));
        engine.start();
        probe = new EngineTestClient(engine.address());
        assertEquals(200, probe.load(ADAPTER, 1).status());
    }

    @AfterEach
    void stop() {
        engine.stop();
    }

    private boolean answersStatus() {
        try {
            return probe.status().has("incarnation");
        } catch (IOException exception) {
            return false;
        }
    }

    @Test
    void faultsAreSetOverHttp() throws Exception {
        assertEquals(200, probe.send("PUT", "/faults", "{\"fail_loads\":1}").status());
        assertEquals("load_failed", probe.load("a/b@v1", 1).code());
        assertEquals(200, probe.load("a/b@v1", 1).status());
        assertEquals(400, probe.send("PUT", "/faults", "{\"unheard_of\":1}").status());
        assertEquals(400, probe.send("PUT", "/faults", "{\"fail_loads\":\"x\"}").status());
        assertEquals(1, engine.counters().failedLoads());
    }

    @Test
    void lostAnswersTakeEffect() throws Exception {
        engine.setFault(EngineFault.LOSE_LOAD_ANSWERS, 1);
        assertThrows(IOException.class, () -> probe.load("a/b@v1", 1));
        assertTrue(probe.status().path("loaded").has("a/b@v1"));
        engine.setFault(EngineFault.LOSE_UNLOAD_ANSWERS, 1);
        assertThrows(IOException.class, () -> probe.unload("a/b@v1", 1));
        assertEquals(1, probe.status().path("loaded").size());
        engine.setFault(EngineFault.LOSE_GENERATION_ANSWERS, 1);
        assertThrows(IOException.class, () -> probe.complete("r", body("p", 3)));
        await("r completes", () -> engine.record().runs().get(0).outcome() == RunOutcome.COMPLETED);
        assertEquals(expected("p", 3, 0), events(probe.complete("q", body("p", 3))));
    }

    @Test
    void markedRequestCrashesTheEngine() throws Exception {
        long before = probe.status().path("incarnation").asLong();
        var other = probe.completeAsync("other", body("p", 4_000));
        await("other runs", () -> engine.record().runs().size() == 1);
        assertThrows(IOException.class, () -> probe.complete("r", body("a boom b", 3)));
        assertThrows(ConnectException.class, () -> probe.status());
        assertThrows(Exception.class, other::join);
        await("new incarnation", this::answersStatus);
        assertNotEquals(before, probe.status().path("incarnation").asLong());
        assertEquals(0, probe.status().path("loaded").size());
        assertEquals(0, probe.status().path("fence").asLong());
        assertEquals("adapter_not_loaded", probe.complete("q", body("p", 1)).code());
        assertTrue(engine.record().runs().stream().allMatch(run -> run.outcome() == RunOutcome.CRASHED));
        assertEquals(1, engine.counters().crashes());
    }

    @Test
    void restartComesBackEmpty() throws Exception {
        probe.send("PUT", "/faults", "{\"restart\":1}");
        await("restart", () -> answersStatus() && probe.status().path("loaded").isEmpty());
        assertEquals(200, probe.load(ADAPTER, 1).status());
        assertEquals(expected("p", 2, 0), events(probe.complete("r", body("p", 2))));
    }

    @Test
    void fencingNumbersCanBeIgnored() throws Exception {
        probe.load("a/b@v1", 5);
        engine.setFault(EngineFault.IGNORE_FENCING, 1);
        assertEquals(200, probe.unload("a/b@v1", 4).status());
        engine.setFault(EngineFault.IGNORE_FENCING, 0);
        assertEquals("fenced", probe.unload(ADAPTER, 4).code());
    }

    @Test
    void refusedConnectionsKeepTheStateOfTheEngine() throws Exception {
        engine.setFault(EngineFault.REFUSE_CONNECTIONS_MILLISECONDS, 300);
        await("refused", () -> !answersStatus());
        assertThrows(ConnectException.class, () -> probe.status());
        await("accepted again", this::answersStatus);
        assertTrue(probe.status().path("loaded").has(ADAPTER));
    }

    @Test
    void stepsCanBeSlowed() throws Exception {
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 50);
        long start = System.nanoTime();
        probe.complete("r", body("p", 5));
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

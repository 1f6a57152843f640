package org.banyanstair.testsupport.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.banyanstair.external.AppendResult;
import org.banyanstair.external.ReadResult;
import org.banyanstair.external.http.HttpHostListSource;
import org.banyanstair.external.http.HttpLogService;
import org.banyanstair.testsupport.hosts.HostListStandInMain;
import org.banyanstair.testsupport.log.LogServiceStandInMain;
import org.banyanstair.testsupport.weights.WeightStoreStandInMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against child processes that outlive a test, are used before they are ready or do not pause. */
class ProcessLauncherTest {
    @TempDir
    Path directory;

    private ProcessLauncher launcher;

    @BeforeEach
    void create() {
        launcher = new ProcessLauncher(directory);
    }

    @AfterEach
    void stop() {
        launcher.stop();
    }

    @Test
    void standInsRunAsProcesses() throws Exception {
        ManagedProcess log = launcher.startJava(
                "log", JavaCommand.of(LogServiceStandInMain.class, 64, "--retention-seconds", "60"), in(10));
        ManagedProcess hosts = launcher.startJava("hosts", JavaCommand.of(HostListStandInMain.class, 64), in(10));
        ManagedProcess weights =
                launcher.startJava("weights", JavaCommand.of(WeightStoreStandInMain.class, 64), in(10));
        HttpLogService client = new HttpLogService(log.address(), Duration.ofSeconds(2));
        assertEquals(
                new AppendResult.Appended(0),
                client.append("s", List.of(new byte[1])).get(3, TimeUnit.SECONDS));
        client.stop();
        HttpHostListSource source = new HttpHostListSource(hosts.address(), Duration.ofSeconds(2));
        assertEquals(0, source.read().get(3, TimeUnit.SECONDS).version());
        source.stop();
        assertEquals("ready " + weights.address() + "\n", Files.readString(weights.output()));
        weights.terminate();
        assertTrue(weights.waitFor(in(5)).isPresent());
        launcher.stop();
        assertFalse(log.isAlive());
        assertFalse(hosts.isAlive());
    }

    @Test
    void pausedProcessRespondsOnlyAfterItIsResumed() throws Exception {
        ManagedProcess log = launcher.startJava("log", JavaCommand.of(LogServiceStandInMain.class, 64), in(10));
        // The first response of a new process can take longer than the short timeout that detects the pause.
        HttpLogService client = new HttpLogService(log.address(), Duration.ofSeconds(5));
        HttpLogService shortTimeoutClient = new HttpLogService(log.address(), Duration.ofMillis(500));
        assertInstanceOf(
                ReadResult.Records.class, client.read("s", 0, 1, Instant.EPOCH).get(6, TimeUnit.SECONDS));
        log.pause();
        assertInstanceOf(
                ReadResult.Unavailable.class,
                shortTimeoutClient.read("s", 0, 1, Instant.EPOCH).get(3, TimeUnit.SECONDS));
        assertTrue(log.isAlive());
        log.resume();
        assertInstanceOf(
                ReadResult.Records.class, client.read("s", 0, 1, Instant.EPOCH).get(6, TimeUnit.SECONDS));
        shortTimeoutClient.stop();
        client.stop();
        log.pause();
        log.kill();
        assertTrue(log.waitFor(in(5)).isPresent());
        log.resume();
    }

    @Test
    void startFailsIfProcessEndsOrHangsBeforeReady() throws Exception {
        ProcessStartException ended = assertThrows(
                ProcessStartException.class,
                () -> launcher.startScript("end", script("echo broken; exit 3"), List.of(), in(5)));
        assertTrue(ended.getMessage().contains("status 3") && ended.getMessage().contains("broken"));
        assertThrows(
                ProcessStartException.class,
                () -> launcher.startScript("hang", script("echo ready; exec sleep 60"), List.of(), in(1)));
    }

    @Test
    void ignoresReadyLineOfEarlierProcessOfSameName() throws Exception {
        ManagedProcess first =
                launcher.startScript("p", script("echo ready $1; exec sleep 60"), List.of("127.0.0.1:1"), in(5));
        first.kill();
        assertTrue(first.waitFor(in(5)).isPresent());
        ManagedProcess second = launcher.startScript(
                "p", script("sleep 0.2; echo ready $1; exec sleep 60"), List.of("127.0.0.1:2"), in(5));
        assertEquals(2, second.address().port());
    }

    private Path script(String commands) throws Exception {
        Path script = Files.createTempFile(directory, "script", ".sh");
        Files.writeString(script, "#!/bin/sh\n" + commands + "\n");
        assertTrue(script.toFile().setExecutable(true));
        return script;
    }

    private static Instant in(int seconds) {
        return Instant.now().plusSeconds(seconds);
    }
}

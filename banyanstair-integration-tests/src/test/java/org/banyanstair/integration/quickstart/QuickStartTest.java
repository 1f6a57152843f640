package org.banyanstair.integration.quickstart;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a quick start that fails on a fresh checkout, and against a promise that breaks when a host is killed. */
class QuickStartTest {
    static final Path DECLARATIONS = Path.of("..", "examples", "quickstart.toml");

    @Test
    void allPromisesHoldWhenAHostIsKilled() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int code = QuickStart.runSampleTraffic(DECLARATIONS, new PrintStream(output, true, StandardCharsets.UTF_8));
        String report = output.toString(StandardCharsets.UTF_8);
        System.out.println(report);
        assertEquals(0, code, report);
        assertTrue(report.contains("All promises held."), report);
        assertTrue(report.contains("was killed with SIGKILL while requests ran"), report);
    }
}

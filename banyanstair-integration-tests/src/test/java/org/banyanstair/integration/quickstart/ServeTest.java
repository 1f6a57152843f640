package org.banyanstair.integration.quickstart;

import java.io.File;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against {@code quickstart --serve} printing other lines than its addresses, or surviving SIGTERM. */
class ServeTest {
    private static final int HOSTS = 3;
    private static final Duration START_LIMIT = Duration.ofSeconds(40);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(15);
    private static final Pattern LINE = Pattern.compile(
            "caller=http://(127\\.0\\.0\\.1:\\d+) operator=http://127\\.0\\.0\\.1:\\d+ caller-key=(\\S+) operator-key=\\S+");

    @Test
    void servesUntilTerminatedAndStopsEverything(@TempDir Path directory) throws Exception {
        Path output = directory.resolve("output.txt");
        Process process = start(directory, output);
        try {
            List<String> lines = awaitLines(process, output);
            List<ProcessHandle> children = process.descendants().toList();
            assertEquals(HOSTS, children.size());
            assertAnswers(lines.get(0));
            process.destroy();
            assertTrue(
                    process.waitFor(STOP_LIMIT.toSeconds(), TimeUnit.SECONDS),
                    "quick start is still running after SIGTERM");
            assertEquals(0, process.exitValue());
            assertEquals(lines, Files.readAllLines(output));
            assertTrue(
                    children.stream().noneMatch(ProcessHandle::isAlive),
                    "a daemon is still running after the quick start ended");
            assertStopped(lines);
        } finally {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
    }

    private static Process start(Path directory, Path output) throws Exception {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx512m",
                        "-Djava.io.tmpdir=" + directory,
                        "-cp",
                        System.getProperty("java.class.path"),
                        QuickStart.class.getName(),
                        "--serve",
                        "--declarations",
                        QuickStartTest.DECLARATIONS.toString())
                .redirectOutput(output.toFile())
                .redirectError(new File(directory.toFile(), "errors.txt"))
                .start();
    }

    private static List<String> awaitLines(Process process, Path output) throws Exception {
        Instant limit = Instant.now().plus(START_LIMIT);
        while (Files.readAllLines(output).size() < HOSTS) {
            assertTrue(process.isAlive() && Instant.now().isBefore(limit), "the system did not become ready");
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return Files.readAllLines(output);
    }

    private static Matcher parse(String line) {
        Matcher matcher = LINE.matcher(line);
        assertTrue(matcher.matches(), line);
        return matcher;
    }

    private static void assertAnswers(String line) throws Exception {
        Matcher matcher = parse(line);
        CallerHeaders headers = new CallerHeaders(
                matcher.group(2), Optional.of(Instant.now().plusSeconds(15)), Optional.empty(), Optional.empty());
        try (HttpCaller caller = new HttpCaller(1, Duration.ofSeconds(20), Clock.systemUTC())) {
            CallerResult result = caller.chat(
                            NetworkAddress.parse(matcher.group(1)),
                            new ChatCall(headers, "assistant/tender-schools", "hello", 8, true))
                    .get(20, TimeUnit.SECONDS);
            assertTrue(result instanceof CallerResult.Generated, result.toString());
        }
    }

    private static void assertStopped(List<String> lines) {
        for (String line : lines) {
            NetworkAddress address = NetworkAddress.parse(parse(line).group(1));
            assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", address.port()).close());
        }
    }
}

package org.banyanstair.integration.scripts;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against scripts that print a stack trace for wrong arguments or in a checkout without build output. */
class ScriptsTest {
    private static final int USAGE_ERROR_STATUS = 2;

    private static final long SCRIPT_TIMEOUT_SECONDS = 60;

    @TempDir
    private Path checkout;

    private record ScriptResult(int status, String output) {}

    @BeforeEach
    void copyScriptsWithoutBuildOutput() throws IOException {
        Path copies = Files.createDirectory(checkout.resolve("bin"));
        try (Stream<Path> scripts = Files.list(Path.of("..", "bin"))) {
            scripts.forEach(script -> copy(script, copies));
        }
    }

    private static void copy(Path script, Path folder) {
        try {
            Files.copy(script, folder.resolve(script.getFileName()));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private ScriptResult run(String script, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(
                List.of("sh", checkout.resolve("bin").resolve(script).toString()));
        command.addAll(List.of(arguments));
        Path output = checkout.resolve("output.txt");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertTrue(process.waitFor(SCRIPT_TIMEOUT_SECONDS, TimeUnit.SECONDS), script + " did not end");
        } finally {
            process.destroyForcibly();
        }
        String text = Files.readString(output);
        assertFalse(text.contains("Exception") || text.contains("Could not find or load"), text);
        return new ScriptResult(process.exitValue(), text);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "banyanstairctl",
                "banyanstaird",
                "benchmark",
                "compare-policies",
                "processor-time",
                "quickstart",
                "soak"
            })
    void helpIsPrintedWithoutABuild(String script) throws Exception {
        ScriptResult result = run(script, "--help");
        assertEquals(0, result.status(), result.output());
        assertTrue(result.output().startsWith("usage: " + script), result.output());
    }

    @ParameterizedTest
    @CsvSource({"banyanstairctl,status", "banyanstaird,--settings", "benchmark,memory"})
    void checkoutWithoutBuildOutputIsReported(String script, String argument) throws Exception {
        ScriptResult result = run(script, argument);
        assertEquals(USAGE_ERROR_STATUS, result.status(), result.output());
        assertTrue(result.output().contains("mvn -q -B -DskipTests package"), result.output());
    }

    @ParameterizedTest
    @CsvSource({
        "FIRST_SEED,0 to 999999999,first 50 12",
        "FIRST_SEED,0 to 999999999,-1 50 12",
        "FIRST_SEED,0 to 999999999,1000000000 50 12",
        "SEEDS,1 to 100000,1 0 12",
        "SEEDS,1 to 100000,1 1.5 12",
        "SECONDS,1 to 3600,1 50 3601",
        "SECONDS,1 to 3600,1 50 12s"
    })
    void wrongArgumentOfTheSoakIsReportedWithItsRange(String name, String range, String arguments) throws Exception {
        ScriptResult result = run("soak", arguments.split(" "));
        assertEquals(USAGE_ERROR_STATUS, result.status(), result.output());
        assertTrue(result.output().startsWith(name + " must be a whole number from " + range), result.output());
    }

    @ParameterizedTest
    @CsvSource({"HOSTS,1 to 200,0", "REQUESTS_PER_SECOND,0 to 1000,9 63 many"})
    void wrongArgumentOfTheProcessorTimeIsReportedWithItsRange(String name, String range, String arguments)
            throws Exception {
        ScriptResult result = run("processor-time", arguments.split(" "));
        assertEquals(USAGE_ERROR_STATUS, result.status(), result.output());
        assertTrue(result.output().startsWith(name + " must be a whole number from " + range), result.output());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "cooperative 60 1", "other 60 1 file", "cooperative soon 1 file"})
    void wrongArgumentsOfThePolicyComparisonPrintTheUsage(String arguments) throws Exception {
        ScriptResult result = run("compare-policies", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(USAGE_ERROR_STATUS, result.status(), result.output());
        assertTrue(result.output().contains("usage: compare-policies"), result.output());
    }
}

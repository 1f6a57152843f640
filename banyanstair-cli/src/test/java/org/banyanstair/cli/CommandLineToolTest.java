package org.banyanstair.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.cli.FakeOperatorApi.Fault;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.Operation;
import org.banyanstair.configuration.Preset;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against commands that report an outcome other than the one the hosts decided. */
class CommandLineToolTest {
    private static final String SERVICE =
            "[[service]]\nid = 'assistant'\nkind = 'generation'\npool = 'p'\n" + "callers = ['clerk']\n";
    private static final String ADAPTER = "[[adapter]]\nservice = 'assistant'\nid = 'tender'\nversions = ['v1']\n";

    @TempDir
    Path directory;

    private FakeOperatorApi api;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void start() throws IOException {
        api = new FakeOperatorApi();
    }

    @AfterEach
    void stop() {
        api.close();
    }

    private ExitCode run(String... arguments) {
        return runWith(api.url(), FakeOperatorApi.KEY, arguments);
    }

    private ExitCode runWith(String operator, String key, String... arguments) {
        out.reset();
        err.reset();
        Map<String, String> variables = Map.of("BANYANSTAIR_OPERATOR", operator, "BANYANSTAIR_OPERATOR_KEY", key);
        return new CommandLineTool(
                        name -> Optional.ofNullable(variables.get(name)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        false)
                .run(arguments);
    }

    private String writeDeclarations(String text) throws IOException {
        return Files.writeString(directory.resolve("declarations.toml"), text).toString();
    }

    private static String unusedUrl() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void validateNeedsNoHostAndPrintsAllErrorsWithTheirPositions() throws IOException {
        assertEquals(ExitCode.DONE, runWith("", "", "validate", "-f", writeDeclarations(SERVICE + ADAPTER)));
        String wrong = writeDeclarations(SERVICE + "colour = 1\n" + ADAPTER.replace("assistant", "desk"));
        assertEquals(ExitCode.INVALID_INPUT, run("validate", "-f", wrong));
        assertTrue(err.toString().contains(wrong + ":6:1: service[0].colour"), err.toString());
        assertTrue(err.toString().contains(wrong + ":8:1: adapter[0].service"), err.toString());
    }

    @Test
    void errorsArePrintedAsJsonOnRequest() throws IOException {
        assertEquals(
                ExitCode.INVALID_INPUT,
                run("--output", "json", "validate", "-f", writeDeclarations("preset = 'loud'")));
        JsonNode error = Mappers.JSON.readTree(err.toString()).path("errors").path(0);
        assertEquals("invalid_setting", error.path("code").asText());
        assertEquals(1, error.path("details").path("line").asInt());
        assertEquals("InvalidSetting", error.path("details").path("failure").asText());
        run("--output", "json", "diff", "-f", writeDeclarations(SERVICE));
        JsonNode operation =
                Mappers.JSON.readTree(out.toString()).path("operations").path(0);
        assertEquals("PutService", operation.path("operation").asText());
    }

    @Test
    void diffAndApplyAgree() throws IOException {
        String file = writeDeclarations(SERVICE + ADAPTER);
        assertEquals(ExitCode.NOT_REACHED, run("diff", "-f", file));
        assertTrue(out.toString().contains("+ adapter assistant/tender"), out.toString());
        assertEquals(ExitCode.DONE, run("apply", "-f", file, "--dry-run"));
        assertEquals(0, api.submissions.get());
        assertEquals(ExitCode.DONE, run("apply", "-f", file));
        assertEquals(0, api.configuration.version());
        assertEquals(ExitCode.DONE, run("diff", "-f", file));
    }

    @ParameterizedTest
    @EnumSource(names = {"RESPONSE_LOST", "VERDICT_DELAYED"})
    void unknownOutcomeIsResolvedWithoutASecondSubmission(Fault fault) throws IOException {
        api.fault = fault;
        assertEquals(ExitCode.DONE, run("apply", "-f", writeDeclarations(SERVICE)));
        assertEquals(1, api.submissions.get());
        assertEquals(1, api.changes.size());
    }

    @Test
    void unknownOutcomeIsNeitherRetriedNorReportedAsRefused() throws IOException {
        api.fault = Fault.REQUEST_LOST;
        String both = api.url() + "," + api.url();
        assertEquals(
                ExitCode.OUTCOME_UNKNOWN,
                runWith(both, FakeOperatorApi.KEY, "apply", "-f", writeDeclarations(SERVICE), "--wait-seconds", "1"));
        assertEquals(1, api.submissions.get());
        assertTrue(err.toString().contains("change_outcome_unknown"), err.toString());
    }

    @Test
    void conflictNamesTheWinningVersion() throws IOException {
        api.fault = Fault.CONFLICT;
        assertEquals(ExitCode.CONFLICT, run("apply", "-f", writeDeclarations(SERVICE)));
        assertTrue(err.toString().contains("version 99 is in force"), err.toString());
        api.fault = Fault.NONE;
        api.configuration = api.configuration.apply(5, List.of(new Operation.UsePreset(Preset.PEAK.id())));
        assertEquals(ExitCode.CONFLICT, run("apply", "-f", writeDeclarations(SERVICE), "--base", "4"));
        assertEquals(ExitCode.DONE, run("apply", "-f", writeDeclarations(SERVICE), "--base", "5"));
    }

    @Test
    void refusalsAndUnreachableHostsHaveDistinctExitCodes() throws IOException {
        assertEquals(ExitCode.REFUSED, runWith(api.url(), "another-key", "status"));
        api.fault = Fault.LOG_UNAVAILABLE;
        assertEquals(ExitCode.REFUSED, run("preset", "use", "peak"));
        assertTrue(err.toString().contains("log_unavailable"), err.toString());
        assertEquals(ExitCode.UNREACHABLE, runWith(unusedUrl(), FakeOperatorApi.KEY, "status"));
    }

    @Test
    void nextAddressIsTriedIfOneCannotBeReached() throws IOException {
        String addresses = unusedUrl() + "," + api.url();
        assertEquals(ExitCode.DONE, runWith(addresses, FakeOperatorApi.KEY, "apply", "-f", writeDeclarations(SERVICE)));
        assertEquals(1, api.submissions.get());
    }

    @Test
    void applyReportsHostsWithoutTheVersion() throws IOException {
        api.versionLag = 1;
        assertEquals(ExitCode.NOT_REACHED, run("apply", "-f", writeDeclarations(SERVICE), "--wait-seconds", "1"));
        assertTrue(out.toString().contains("entry-1"), out.toString());
        assertEquals(ExitCode.DONE, run("preset", "use", "peak", "--no-wait"));
    }

    @Test
    void largeChangeIsSplitAndEachPartIsBasedOnTheOneBefore() throws IOException {
        List<String> tables = new ArrayList<>(List.of(SERVICE));
        IntStream.range(0, 12_000).forEach(index -> tables.add(ADAPTER.replace("tender", "tender-" + index)));
        assertEquals(ExitCode.DONE, run("apply", "-f", writeDeclarations(String.join("\n", tables))));
        assertEquals(12_000, api.configuration.adapters().size());
        assertEquals(
                List.of(-1L, 0L, 1L, 2L),
                api.changes.stream().map(change -> change.baseVersion()).toList());
        assertTrue(api.changes.stream().allMatch(change -> change.operations().size() <= 4_000));
        assertTrue(err.toString().contains("submitted as 4 changes"), err.toString());
    }

    @Test
    void presetsAreUsedAndListed() {
        assertEquals(ExitCode.DONE, run("preset", "use", "maintenance"));
        assertEquals(Preset.MAINTENANCE.id(), api.configuration.presetInForce());
        assertEquals(ExitCode.DONE, run("preset", "list"));
        assertTrue(out.toString().lines().anyMatch(line -> line.matches("\\* +maintenance .*")), out.toString());
        assertEquals(ExitCode.INVALID_INPUT, run("preset", "use", "loud"));
    }

    @Test
    void hostsAndEndpointsAreShownAndDrained() throws IOException {
        assertEquals(ExitCode.DONE, run("status"));
        assertTrue(out.toString().contains("entry-1"), out.toString());
        assertEquals(ExitCode.DONE, run("endpoints", "--output", "json"));
        assertEquals(
                "runner-1",
                Mappers.JSON.readTree(out.toString()).path(0).path("endpoint").asText());
        assertEquals(ExitCode.DONE, run("drain", "entry-1"));
        assertEquals(List.of("hosts/entry-1/drain"), api.drainPaths);
    }

    @Test
    void burnRateReportReportsMissedObjectiveAndWritesHtmlPage() throws IOException {
        Path page = directory.resolve("burn.html");
        assertEquals(ExitCode.NOT_REACHED, run("report", "burn", "--html", page.toString()));
        assertTrue(out.toString().contains("queue_full=10"), out.toString());
        String html = Files.readString(page);
        assertTrue(html.contains("data:image/png;base64,"), html);
        assertFalse(html.contains("http://"), "the page must not refer to external resources");
    }

    @Test
    void usageErrorsAreReportedBeforeAnyRequest() throws IOException {
        assertEquals(ExitCode.INVALID_INPUT, run("restart"));
        assertEquals(ExitCode.INVALID_INPUT, run("status", "--colour"));
        assertEquals(ExitCode.INVALID_INPUT, run("status", "now"));
        assertEquals(ExitCode.INVALID_INPUT, run("apply"));
        assertEquals(ExitCode.INVALID_INPUT, run("apply", "-f", writeDeclarations(SERVICE), "--base", "x"));
        assertEquals(ExitCode.INVALID_INPUT, run("--output", "xml", "status"));
        assertEquals(ExitCode.INVALID_INPUT, run("drain", "Entry 1"));
        assertEquals(ExitCode.DONE, run("apply", "--help"));
        assertEquals(0, api.submissions.get());
    }
}

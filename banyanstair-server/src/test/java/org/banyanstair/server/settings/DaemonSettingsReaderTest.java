package org.banyanstair.server.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.banyanstair.errors.Failure;
import org.banyanstair.model.CallerId;
import org.banyanstair.server.http.BearerKey;
import org.banyanstair.toml.TomlResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against a daemon that starts with settings its operator did not intend, and against keys in the log. */
class DaemonSettingsReaderTest {
    private static final String MINIMAL = String.join(
            "\n",
            "[host]",
            "id = \"entry-1\"",
            "data-centre = \"ub-east\"",
            "cluster = \"co-operative\"",
            "[listen]",
            "caller = \"127.0.0.1:8080\"",
            "operator = \"127.0.0.1:8081\"",
            "peer = \"127.0.0.1:8082\"",
            "[platform]",
            "log = \"127.0.0.1:9000\"",
            "host-list = \"127.0.0.1:9001\"",
            "");

    @TempDir
    Path directory;

    private TomlResult<DaemonSettings> read(String text) throws IOException {
        return DaemonSettingsReader.read(Files.writeString(directory.resolve("daemon.toml"), text));
    }

    private List<String> errors(String text) throws IOException {
        return read(text).failures().stream()
                .map(Failure.InvalidSetting.class::cast)
                .map(failure -> failure.line() + ":" + failure.column() + " " + failure.field())
                .toList();
    }

    @Test
    void appliesDefaultsAndHidesKeys() throws IOException {
        String keys = "[callers]\nclerk = \"caller-key-0123456\"\n";
        DaemonSettings settings = (DaemonSettings)
                assertInstanceOf(TomlResult.Valid.class, read(MINIMAL + keys)).value();
        assertEquals(new DaemonSettings.Timing(1_000, 3_000, 1_000, 1_000, 25), settings.timing());
        assertEquals(3_600, settings.platform().logRetentionSeconds());
        assertEquals(600_000, settings.limits().maximumDeadlineMilliseconds());
        assertEquals(BearerKey.ofPlain("caller-key-0123456"), settings.callers().get(new CallerId("clerk")));
        assertFalse(settings.toString().contains("caller-key"), settings.toString());
    }

    @Test
    void reportsAllErrors() throws IOException {
        String text = MINIMAL.replace("peer = \"127.0.0.1:8082\"", "peer = \"127.0.0.1:8081\"")
                + String.join(
                        "\n",
                        "call-timeout-milliseconds = 1",
                        "[operators]",
                        "night-shift = \"too-short\"",
                        "[limits]",
                        "maximum-deadline-milliseconds = 600001",
                        "[timing]",
                        "heartbeat-milliseconds = 2000",
                        "[log]",
                        "level = \"loud\"",
                        "colour = true",
                        "");
        assertEquals(
                List.of(
                        "8:1 listen.peer",
                        "12:1 platform.call-timeout-milliseconds",
                        "14:1 operators.night-shift",
                        "16:1 limits.maximum-deadline-milliseconds",
                        "17:1 timing.heartbeat-limit-milliseconds",
                        "20:1 log.level",
                        "21:1 log.colour"),
                errors(text));
    }

    @Test
    void requiresIdentityAndAddresses() throws IOException {
        assertEquals(List.of("1:1 host", "1:1 listen", "1:1 platform"), errors("[timing]\n"));
    }

    @Test
    void refusesTheSameKeyForTwoCallers() throws IOException {
        String keys = "[callers]\na = \"caller-key-0123456\"\nb = \"caller-key-0123456\"\n";
        assertEquals(List.of("14:1 callers.b"), errors(MINIMAL + keys));
    }
}

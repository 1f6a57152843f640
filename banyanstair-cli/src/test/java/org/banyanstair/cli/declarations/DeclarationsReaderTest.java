package org.banyanstair.cli.declarations;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationDifference;
import org.banyanstair.configuration.Declarations;
import org.banyanstair.errors.Failure;
import org.banyanstair.toml.TomlResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/**
 * Guards against accepting declarations that hosts would refuse, or reading them with another meaning than the file
 * states.
 */
class DeclarationsReaderTest {
    @TempDir
    Path directory;

    private List<String> errors(String text) throws IOException {
        return DeclarationsReader.read(Files.writeString(directory.resolve("d.toml"), text)).failures().stream()
                .map(Failure.InvalidSetting.class::cast)
                .map(failure -> failure.line() + ":" + failure.column() + " " + failure.field())
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"cooperative.toml", "association.toml"})
    void examplesCanBeApplied(String name) {
        TomlResult<Declarations> result = DeclarationsReader.read(Path.of("../examples", name));
        Declarations declarations =
                (Declarations) assertInstanceOf(TomlResult.Valid.class, result, () -> String.valueOf(result.failures()))
                        .value();
        Configuration configuration =
                Configuration.INITIAL.apply(1, ConfigurationDifference.between(Configuration.INITIAL, declarations));
        assertEquals(2, configuration.services().size());
        assertEquals(List.of(), ConfigurationDifference.between(configuration, declarations));
    }

    @Test
    void locatesDuplicatesAndDanglingReferences() throws IOException {
        String text = String.join(
                "\n",
                "preset = 'loud'",
                "[[service]]",
                "id = 'a'",
                "kind = 'generation'",
                "pool = 'p'",
                "callers = ['c', 'c']",
                "[[service.route]]",
                "method = 'GET'",
                "path-prefix = 'stock'",
                "repeatable = 'yes'",
                "[[service]]",
                "id = 'a'",
                "kind = 'mixed'",
                "pool = 'p'",
                "callers = []",
                "[[adapter]]",
                "service = 'b'",
                "id = 'x'",
                "versions = ['v1', 'v1']",
                "default = 'v2'",
                "[[adapter]]",
                "service = 'b'",
                "id = 'x'",
                "versions = ['v1', 'v2']",
                "[[pool]]",
                "id = 'p'",
                "loads-per-second = 0",
                "[[pool]]",
                "id = 'p'",
                "[[preset-settings]]",
                "id = 'night'",
                "fullness = 2");
        assertEquals(
                List.of(
                        "1:1 preset",
                        "6:1 service[0].callers",
                        "9:1 service[0].route[0].path-prefix",
                        "10:1 service[0].route[0].repeatable",
                        "12:1 service[1].id",
                        "13:1 service[1].kind",
                        "17:1 adapter[0].service",
                        "19:1 adapter[0].versions",
                        "20:1 adapter[0].default",
                        "21:1 adapter[1].default",
                        "22:1 adapter[1].service",
                        "23:1 adapter[1].id",
                        "27:1 pool[0].loads-per-second",
                        "29:1 pool[1].id",
                        "30:1 preset-settings[0].standard-ageing-milliseconds",
                        "30:1 preset-settings[0].copy-after-milliseconds",
                        "30:1 preset-settings[0].retry-share",
                        "30:1 preset-settings[0].admits-requests",
                        "32:1 preset-settings[0].fullness"),
                errors(text));
    }

    @Test
    void refusesAdaptersOfPlainServices() throws IOException {
        String text = "[[adapter]]\nservice = 'a'\nid = 'x'\nversions = ['v1']\n"
                + "[[service]]\nid = 'a'\nkind = 'plain'\npool = 'p'\ncallers = []\n";
        assertEquals(List.of("2:1 adapter[0].service"), errors(text));
    }
}

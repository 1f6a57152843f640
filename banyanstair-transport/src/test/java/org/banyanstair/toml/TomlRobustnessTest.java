package org.banyanstair.toml;

import java.util.List;
import java.util.stream.Collectors;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.banyanstair.errors.Failure;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against malformed files that hang the parser, make it throw, or yield errors positioned outside the text. */
class TomlRobustnessTest {
    private static final List<String> PIECES = List.of(
            "a",
            "b.c",
            "\"k\\n\"",
            "'l'",
            " = ",
            "=",
            "[",
            "]",
            "[[",
            "]]",
            "{",
            "}",
            ",",
            "\n",
            "\r\n",
            " ",
            "# c\n",
            "1",
            "1.5",
            "true",
            "1979-05-27",
            "\"x\"",
            "'y'",
            "\"\"\"",
            "'''",
            "\\",
            "\"",
            "'",
            "[a]\n",
            "a = 1\n",
            "[[t]]\n",
            "\u00e9",
            "\ud83d\ude00",
            "\u0000");

    private static final TomlType<String> NOTHING = TomlTypes.table(table -> () -> "");

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.of(PIECES).list().ofMaxSize(30).map(pieces -> pieces.stream()
                .collect(Collectors.joining()));
    }

    @Property(tries = 20_000, seed = "20261204")
    void everyTextGetsAResultWithPlacesInsideIt(@ForAll("texts") String text) {
        TomlResult<String> result = StrictToml.parse("f", text, NOTHING);
        long lines = text.chars().filter(character -> character == '\n').count() + 1;
        for (Failure failure : result.failures()) {
            if (failure instanceof Failure.InvalidSetting setting) {
                assertTrue(isKeyOrHeader(text, setting), failure::toString);
            } else {
                int line = ((Failure.MalformedInput) failure).line();
                assertTrue(line >= 1 && line <= lines, () -> failure + " in " + lines + " lines");
            }
        }
        assertFalse(
                result instanceof TomlResult.Invalid && result.failures().isEmpty(), "invalid result without errors");
    }

    /**
     * The description accepts no key, so that each error must be positioned at a key, quoted or not, or at a table
     * header.
     */
    private static boolean isKeyOrHeader(String text, Failure.InvalidSetting setting) {
        String line = text.split("\n", -1)[setting.line() - 1];
        String rest = line.substring(setting.column() - 1);
        return rest.startsWith(setting.field())
                || rest.startsWith("[")
                || rest.startsWith("\"" + setting.field().replace("\n", "\\n") + "\"")
                || rest.startsWith("'" + setting.field() + "'");
    }
}

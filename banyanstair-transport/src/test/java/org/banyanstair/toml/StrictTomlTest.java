package org.banyanstair.toml;

import java.nio.file.Path;
import java.util.List;

import org.banyanstair.errors.Failure;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against invalid settings that are accepted, and against errors with a wrong position. */
class StrictTomlTest {
    record Item(String id, int size, List<String> tags) {}

    private static final TomlType<Item> ITEM = TomlTypes.table(table -> {
        TomlField<String> id = table.required("id", TomlTypes.name(text -> text));
        TomlField<Integer> size = table.optional("size", TomlTypes.int32(1, 9), 5);
        TomlField<List<String>> tags = table.optional("tags", TomlTypes.list(TomlTypes.string(1), 0), List.of());
        table.optional("options", TomlTypes.table(options -> options.required("share", TomlTypes.decimal(0, 1))));
        return () -> new Item(id.get(), size.get(), tags.get());
    });

    private static final TomlType<List<Item>> FILE =
            TomlTypes.table(table -> table.optional("item", TomlTypes.list(ITEM, 0), List.of())::get);

    private static List<Failure> failures(String text) {
        return StrictToml.parse("f", text, FILE).failures();
    }

    private static List<String> places(String text) {
        return failures(text).stream()
                .map(Failure.InvalidSetting.class::cast)
                .map(failure -> failure.line() + ":" + failure.column() + " " + failure.field())
                .toList();
    }

    @Test
    void readsValuesAndDefaults() {
        String text = "[[item]]\nid = 'a'\n[[item]]\nid = \"b\"\nsize = 9\ntags = [\"x\", \"y\"]\n";
        TomlResult<List<Item>> expected =
                new TomlResult.Valid<>(List.of(new Item("a", 5, List.of()), new Item("b", 9, List.of("x", "y"))));
        assertEquals(expected, StrictToml.parse("f", text, FILE));
    }

    @Test
    void reportsAllErrorsAtOnceInsideArrayTables() {
        String text = String.join(
                "\n",
                "# comment with [[item]] and \"quotes\"",
                "[[item]]",
                "id = 'a'",
                "  size = 10",
                "[[item]]",
                "size = 'large'",
                "colour = \"red\"",
                "[[item]]",
                "id = 1979-05-27",
                "tags = [ 'x', # ] not the end",
                "  7 ]",
                "options = { share = 1.5, rate = 2 }");
        assertEquals(
                List.of(
                        "4:3 item[0].size",
                        "5:1 item[1].id",
                        "6:1 item[1].size",
                        "7:1 item[1].colour",
                        "9:1 item[2].id",
                        "11:3 item[2].tags[1]",
                        "12:13 item[2].options.share",
                        "12:26 item[2].options.rate"),
                places(text));
    }

    @Test
    void findsKeysAfterMultiLineStringsAndInSubTables() {
        String text = "[[item]]\r\nid = 'a'\r\ntags = ['''\nx = 1\n'[y]''', \"\"\"q\\\"\"\"\"\"\"]\n"
                + "[item.options]\nshare = 0.5\n\"r\\u0061te\" = 3\n[[item]]\nid='b'\noptions.share = 2\n";
        assertEquals(List.of("8:1 item[0].options.rate", "11:9 item[1].options.share"), places(text));
    }

    @Test
    void reportsSyntaxErrorsAndDuplicateKeysWithTheirPlace() {
        assertEquals(List.of(new Failure.MalformedInput("f", 2, 6)), failures("[[item]]\nid = = 3\n"));
        assertEquals(
                List.of(new Failure.MalformedInput("f", 3, 2)),
                failures("[[item]]\nid = 'a'\n id = 'b'\n\n[[item]]\n"));
        assertEquals(List.of(new Failure.MalformedInput("f", 3, 1)), failures("[a]\nb = 1\n[a]\nc = 2\n"));
        assertEquals(1, failures("a = [ } ]\n").size());
    }

    @Test
    void reportsAnUnreadableFile() {
        TomlResult<List<Item>> result = StrictToml.read(Path.of("missing.toml"), FILE);
        assertEquals(List.of(new Failure.InvalidField("missing.toml", "a readable file in UTF-8")), result.failures());
    }
}

package org.banyanstair.toml;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Finds the position of each key and element in a TOML text.
 *
 * <p>The parser of the TOML library reads the whole text into a tree and hands out tokens of that tree, which carry no
 * locations. This class only finds positions; the library has parsed the text before, so that it is known to be valid,
 * and all values come from the library.
 */
final class TomlPositionScanner {
    private static final char END = '\0';

    private final ObjectMapper mapper;
    private final String text;
    private int offset;
    private int line = 1;
    private int lineStart;
    private Optional<Position> duplicate = Optional.empty();

    private record Key(String name, Position position) {}

    private TomlPositionScanner(ObjectMapper mapper, String text) {
        this.mapper = mapper;
        this.text = text;
    }

    static PositionNode locate(ObjectMapper mapper, String text) throws IOException {
        return new TomlPositionScanner(mapper, text).document();
    }

    /**
     * Finds the first key that the text gives twice; the library reports such a key at the token that follows its value.
     * Unlike {@link #locate}, this accepts malformed text.
     */
    static Optional<Position> duplicateKey(ObjectMapper mapper, String text) {
        TomlPositionScanner locator = new TomlPositionScanner(mapper, text);
        try {
            locator.document();
        } catch (IOException exception) {
            return locator.duplicate;
        }
        return locator.duplicate;
    }

    private PositionNode document() throws IOException {
        PositionNode root = new PositionNode(Position.START);
        PositionNode table = root;
        skipBlank();
        while (peek() != END) {
            if (peek() == '[') {
                table = header(root);
            } else {
                keyValue(table);
            }
            skipBlank();
        }
        return root;
    }

    private PositionNode header(PositionNode root) throws IOException {
        Position start = position();
        advance();
        boolean array = peek() == '[';
        if (array) {
            advance();
        }
        List<Key> path = keys();
        PositionNode parent = parent(root, path);
        Key last = path.get(path.size() - 1);
        skipUntil("\n");
        PositionNode node = parent.open(last.name(), start);
        if (array) {
            return node.addElement(start);
        }
        define(node, start);
        return node;
    }

    private void keyValue(PositionNode table) throws IOException {
        List<Key> path = keys();
        Key last = path.get(path.size() - 1);
        PositionNode node = parent(table, path).open(last.name(), last.position());
        define(node, last.position());
        advance();
        value(node);
    }

    private void define(PositionNode node, Position position) {
        if (!node.define() && duplicate.isEmpty()) {
            duplicate = Optional.of(position);
        }
    }

    private static PositionNode parent(PositionNode table, List<Key> path) {
        PositionNode node = table;
        for (Key key : path.subList(0, path.size() - 1)) {
            node = node.enter(key.name(), key.position());
        }
        return node;
    }

    private List<Key> keys() throws IOException {
        List<Key> keys = new ArrayList<>();
        skipSpaces();
        keys.add(key());
        skipSpaces();
        while (peek() == '.') {
            advance();
            skipSpaces();
            keys.add(key());
            skipSpaces();
        }
        return keys;
    }

    private Key key() throws IOException {
        Position start = position();
        int from = offset;
        if (peek() == '"' || peek() == '\'') {
            string();
            String literal = text.substring(from, offset);
            return new Key(mapper.readTree("key=" + literal).path("key").asText(), start);
        }
        skipUntil(".=] \t");
        return new Key(text.substring(from, offset), start);
    }

    private void value(PositionNode node) throws IOException {
        skipBlank();
        switch (peek()) {
            case '"', '\'' -> string();
            case '[' -> array(node);
            case '{' -> inlineTable(node);
            default -> skipUntil(",]}#\r\n");
        }
    }

    private void array(PositionNode node) throws IOException {
        advance();
        skipSeparators();
        while (peek() != ']' && peek() != END) {
            int start = offset;
            value(node.addElement(position()));
            skipSeparators();
            if (offset == start) {
                // Only malformed text has a character here that starts no value.
                advance();
            }
        }
        advance();
    }

    private void inlineTable(PositionNode node) throws IOException {
        advance();
        skipSeparators();
        while (peek() != '}' && peek() != END) {
            keyValue(node);
            skipSeparators();
        }
        advance();
    }

    private void string() {
        char quote = peek();
        String delimiter = String.valueOf(quote).repeat(3);
        if (!text.startsWith(delimiter, offset)) {
            delimiter = String.valueOf(quote);
        }
        skip(delimiter.length());
        while (!text.startsWith(delimiter, offset) && peek() != END) {
            skip(quote == '"' && peek() == '\\' ? 2 : 1);
        }
        skip(delimiter.length());
        // A multi-line string may end with up to two quotation marks before its delimiter.
        while (delimiter.length() == 3 && peek() == quote) {
            advance();
        }
    }

    private void skipSeparators() {
        skipBlank();
        while (peek() == ',') {
            advance();
            skipBlank();
        }
    }

    private void skipBlank() {
        while (peek() == '#' || peek() == ' ' || peek() == '\t' || peek() == '\r' || peek() == '\n') {
            if (peek() == '#') {
                skipUntil("\n");
            } else {
                advance();
            }
        }
    }

    private void skipSpaces() {
        while (peek() == ' ' || peek() == '\t') {
            advance();
        }
    }

    private void skipUntil(String stops) {
        while (peek() != END && stops.indexOf(peek()) < 0) {
            advance();
        }
    }

    private void skip(int characters) {
        for (int skipped = 0; skipped < characters; skipped++) {
            advance();
        }
    }

    private char peek() {
        return offset < text.length() ? text.charAt(offset) : END;
    }

    private void advance() {
        if (peek() == '\n') {
            line++;
            lineStart = offset + 1;
        }
        offset = Math.min(offset + 1, text.length());
    }

    private Position position() {
        return new Position(line, offset - lineStart + 1);
    }
}

package org.banyanstair.toml;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Determines the source position of each key and element of a TOML text.
 *
 * <p>The TOML library parses the text into a tree and returns tokens of that tree without locations. This class only
 * computes positions: it relies on the library having validated the text, and all values come from the library.
 */
final class TomlPositionScanner {
    private static final char END = '\0';

    private final ObjectMapper mapper;
    private final String text;
    private int offset;
    private int line = 1;
    private int lineStart;
    private Optional<Position> firstDuplicate = Optional.empty();

    private record Key(String name, Position position) {}

    private TomlPositionScanner(ObjectMapper mapper, String text) {
        this.mapper = mapper;
        this.text = text;
    }

    static PositionNode locate(ObjectMapper mapper, String text) throws IOException {
        return new TomlPositionScanner(mapper, text).scanDocument();
    }

    /**
     * Returns the position of the first duplicate key, because the library reports it at the token after its value.
     * Unlike {@link #locate}, this method accepts malformed text.
     */
    static Optional<Position> duplicateKey(ObjectMapper mapper, String text) {
        TomlPositionScanner locator = new TomlPositionScanner(mapper, text);
        try {
            locator.scanDocument();
        } catch (IOException exception) {
            return locator.firstDuplicate;
        }
        return locator.firstDuplicate;
    }

    private PositionNode scanDocument() throws IOException {
        PositionNode root = new PositionNode(Position.START);
        PositionNode table = root;
        skipWhitespaceAndComments();
        while (peek() != END) {
            if (peek() == '[') {
                table = scanHeader(root);
            } else {
                scanKeyValue(table);
            }
            skipWhitespaceAndComments();
        }
        return root;
    }

    private PositionNode scanHeader(PositionNode root) throws IOException {
        Position start = position();
        advance();
        boolean array = peek() == '[';
        if (array) {
            advance();
        }
        List<Key> path = scanKeys();
        PositionNode parent = parent(root, path);
        Key last = path.get(path.size() - 1);
        skipUntil("\n");
        PositionNode node = parent.memberOrNew(last.name(), start);
        if (array) {
            return node.addElement(start);
        }
        markDefined(node, start);
        return node;
    }

    private void scanKeyValue(PositionNode table) throws IOException {
        List<Key> path = scanKeys();
        Key last = path.get(path.size() - 1);
        PositionNode node = parent(table, path).memberOrNew(last.name(), last.position());
        markDefined(node, last.position());
        advance();
        scanValue(node);
    }

    private void markDefined(PositionNode node, Position position) {
        if (!node.markDefined() && firstDuplicate.isEmpty()) {
            firstDuplicate = Optional.of(position);
        }
    }

    private static PositionNode parent(PositionNode table, List<Key> path) {
        PositionNode node = table;
        for (Key key : path.subList(0, path.size() - 1)) {
            node = node.descend(key.name(), key.position());
        }
        return node;
    }

    private List<Key> scanKeys() throws IOException {
        List<Key> keys = new ArrayList<>();
        skipSpaces();
        keys.add(scanKey());
        skipSpaces();
        while (peek() == '.') {
            advance();
            skipSpaces();
            keys.add(scanKey());
            skipSpaces();
        }
        return keys;
    }

    private Key scanKey() throws IOException {
        Position start = position();
        int from = offset;
        if (peek() == '"' || peek() == '\'') {
            skipString();
            String literal = text.substring(from, offset);
            return new Key(mapper.readTree("key=" + literal).path("key").asText(), start);
        }
        skipUntil(".=] \t");
        return new Key(text.substring(from, offset), start);
    }

    private void scanValue(PositionNode node) throws IOException {
        skipWhitespaceAndComments();
        switch (peek()) {
            case '"', '\'' -> skipString();
            case '[' -> scanArray(node);
            case '{' -> scanInlineTable(node);
            default -> skipUntil(",]}#\r\n");
        }
    }

    private void scanArray(PositionNode node) throws IOException {
        advance();
        skipSeparators();
        while (peek() != ']' && peek() != END) {
            int start = offset;
            scanValue(node.addElement(position()));
            skipSeparators();
            if (offset == start) {
                // Malformed text can contain a character here that starts no value; skip it to guarantee progress.
                advance();
            }
        }
        advance();
    }

    private void scanInlineTable(PositionNode node) throws IOException {
        advance();
        skipSeparators();
        while (peek() != '}' && peek() != END) {
            scanKeyValue(node);
            skipSeparators();
        }
        advance();
    }

    private void skipString() {
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
        // A multi-line string may end with up to two quotation marks before its closing delimiter.
        while (delimiter.length() == 3 && peek() == quote) {
            advance();
        }
    }

    private void skipSeparators() {
        skipWhitespaceAndComments();
        while (peek() == ',') {
            advance();
            skipWhitespaceAndComments();
        }
    }

    private void skipWhitespaceAndComments() {
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

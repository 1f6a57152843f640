package org.banyanstair.toml;

/**
 * Position in a text.
 *
 * @param line line number, starting at 1
 * @param column column in characters, starting at 1
 */
record Position(int line, int column) {
    static final Position START = new Position(1, 1);

    boolean isBefore(Position other) {
        return line < other.line || line == other.line && column < other.column;
    }
}

package org.banyanstair.toml;

/**
 * Place in a text.
 *
 * @param line line, from 1
 * @param column column in characters, from 1
 */
record Position(int line, int column) {
    static final Position START = new Position(1, 1);

    boolean isBefore(Position other) {
        return line < other.line || line == other.line && column < other.column;
    }
}

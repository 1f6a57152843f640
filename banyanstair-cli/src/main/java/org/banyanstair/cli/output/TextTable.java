package org.banyanstair.cli.output;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A plain-text table with aligned columns. */
public final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Creates a table.
     *
     * @param headerKeys message keys of the column headers
     */
    public TextTable(String... headerKeys) {
        rows.add(Stream.of(headerKeys).map(Messages::format).toList());
    }

    /**
     * Adds a row.
     *
     * @param cells one value for each column
     */
    public TextTable addRow(Object... cells) {
        rows.add(Stream.of(cells).map(String::valueOf).toList());
        return this;
    }

    /** Formats the table, with one line for the header and one for each row. */
    public List<String> lines() {
        return rows.stream().map(this::line).toList();
    }

    private String line(List<String> row) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(width(column) - cell.length())).append(COLUMN_SEPARATOR);
        }
        return line.toString().stripTrailing();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}

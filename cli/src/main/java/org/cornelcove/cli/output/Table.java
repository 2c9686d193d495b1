package org.cornelcove.cli.output;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** A text table with aligned columns under a header row. */
public final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    private Table() {}

    /**
     * Starts a table.
     *
     * @param headers the headers of its columns
     * @return a table without rows
     */
    public static Table of(String... headers) {
        return new Table().row((Object[]) headers);
    }

    /**
     * Adds a row.
     *
     * @param cells one for each column; null and empty ones are shown as a dash
     * @return this table
     */
    public Table row(Object... cells) {
        rows.add(Arrays.stream(cells).map(Table::shown).toList());
        return this;
    }

    /**
     * Formats the table.
     *
     * @return its lines, each with a line break; a line {@code (none)} when there are no rows
     */
    public String render() {
        int[] widths = widths();
        String lines = rows.stream().map(row -> line(row, widths)).collect(Collectors.joining());
        return rows.size() == 1 ? lines + "(none)\n" : lines;
    }

    private int[] widths() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
        }
        return line.toString().stripTrailing() + "\n";
    }

    private static String shown(Object cell) {
        String text = cell == null ? "" : Text.printable(cell.toString());
        return text.isEmpty() ? "-" : text;
    }
}

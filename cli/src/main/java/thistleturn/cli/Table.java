package thistleturn.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/** A table of text cells, printed with each column as wide as its widest cell. */
final class Table {
  private final List<String[]> lines = new ArrayList<>();

  /** An empty table with these column headings. */
  Table(final String... headings) {
    lines.add(headings.clone());
  }

  /** Appends a row, which has one cell for each heading. */
  void addRow(final String... cells) {
    lines.add(cells.clone());
  }

  /** Whether no row was added. */
  boolean isEmpty() {
    return lines.size() == 1;
  }

  /** Prints the headings and the rows. */
  void print(final PrintWriter out) {
    final int[] widths = columnWidths();
    for (final String[] cells : lines) {
      final StringBuilder line = new StringBuilder();
      for (int column = 0; column < widths.length; column++) {
        line.append(String.format("%-" + widths[column] + "s  ", cells[column]));
      }
      out.println(line.toString().stripTrailing());
    }
    out.flush();
  }

  private int[] columnWidths() {
    final int[] widths = new int[lines.get(0).length];
    for (int column = 0; column < widths.length; column++) {
      // A format's width has to be positive.
      widths[column] = 1;
      for (final String[] cells : lines) {
        widths[column] = Math.max(widths[column], cells[column].length());
      }
    }
    return widths;
  }
}

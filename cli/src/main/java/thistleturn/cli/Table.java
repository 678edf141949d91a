package thistleturn.cli;

import java.io.PrintWriter;
import java.util.List;

/** Columns as wide as what stands in them. */
final class Table {
  private Table() {}

  /** Prints rows of as many cells each, the first as the head. */
  static void print(final PrintWriter out, final List<String[]> rows) {
    final int[] widths = new int[rows.get(0).length];
    for (final String[] row : rows) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row[column].length());
      }
    }
    for (final String[] row : rows) {
      final StringBuilder line = new StringBuilder();
      for (int column = 0; column < widths.length; column++) {
        line.append(String.format("%-" + Math.max(1, widths[column]) + "s  ", row[column]));
      }
      out.println(line.toString().stripTrailing());
    }
    out.flush();
  }
}

package thistleturn.benchmarks.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** SVG line chart of shares by offered load, over a logarithmic axis. */
final class Curve {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 360;
  private static final int MARGIN = 50;
  private static final String[] COLOURS = {"#c0392b", "#2471a3", "#7d8b8a"};

  private Curve() {}

  /** A line of the chart: its name, and its share (0 to 1) at each load. */
  record Line(String name, double[] shares) {}

  /** Writes the chart to a file. {@code loads} are ascending and above 0. */
  static void write(final Path file, final List<Double> loads, final List<Line> lines)
      throws IOException {
    final double minLog = Math.log(loads.get(0));
    final double span = Math.max(1e-9, Math.log(loads.get(loads.size() - 1)) - minLog);
    final StringBuilder svg =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                    + "width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">"
                    + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH,
                HEIGHT));
    for (int tenth = 0; tenth <= 10; tenth += 2) {
      svg.append(
          String.format(
              Locale.ROOT,
              "<line x1=\"%d\" x2=\"%d\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"#ddd\"/>"
                  + "<text x=\"12\" y=\"%.0f\">%.1f</text>%n",
              MARGIN,
              WIDTH - MARGIN,
              y(tenth / 10.0),
              y(tenth / 10.0),
              y(tenth / 10.0) + 4,
              tenth / 10.0));
    }
    for (final double load : loads) {
      svg.append(
          String.format(
              Locale.ROOT,
              "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\">%s</text>%n",
              x(load, minLog, span),
              HEIGHT - MARGIN + 18,
              load));
    }
    svg.append(
        String.format(
            "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">offered, times the capacity</text>%n",
            WIDTH / 2, HEIGHT - 8));
    for (int index = 0; index < lines.size(); index++) {
      final StringBuilder points = new StringBuilder();
      for (int at = 0; at < loads.size(); at++) {
        points.append(
            String.format(
                Locale.ROOT,
                "%.1f,%.1f ",
                x(loads.get(at), minLog, span),
                y(Math.min(1.05, lines.get(index).shares()[at]))));
      }
      svg.append(
          String.format(
              "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"%s\" points=\"%s\"/>"
                  + "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
              COLOURS[index % COLOURS.length],
              points,
              MARGIN + 10,
              HEIGHT - MARGIN - 12 - 16 * index,
              COLOURS[index % COLOURS.length],
              lines.get(index).name()));
    }
    Files.writeString(file, svg.append("</svg>\n"));
  }

  private static double x(final double load, final double minLog, final double span) {
    return MARGIN + (Math.log(load) - minLog) / span * (WIDTH - 2 * MARGIN);
  }

  private static double y(final double share) {
    return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN);
  }
}

package thistleturn.benchmarks.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;

/**
 * A node of a flame graph built from the samples of a flight recording; the width of a box is its
 * share of the samples.
 */
final class FlameGraph {
  private static final int WIDTH = 1200;
  private static final int ROW_HEIGHT = 16;
  private static final double MIN_WIDTH = 1.5;
  private static final double CHAR_WIDTH = 6.2;

  private final Map<String, FlameGraph> callees = new TreeMap<>();
  private long samples;

  private FlameGraph() {}

  /** Reads the samples whose stacks contain the frame {@code from}, starting at that frame. */
  static FlameGraph read(final Path recording, final String from) throws IOException {
    final FlameGraph root = new FlameGraph();
    try (RecordingFile file = new RecordingFile(recording)) {
      while (file.hasMoreEvents()) {
        final RecordedEvent event = file.readEvent();
        final String type = event.getEventType().getName();
        if (event.getStackTrace() != null
            && (type.equals("jdk.ExecutionSample") || type.equals("jdk.NativeMethodSample"))) {
          root.add(event.getStackTrace().getFrames(), from);
        }
      }
    }
    return root;
  }

  private void add(final List<RecordedFrame> frames, final String from) {
    final List<String> names = new ArrayList<>();
    for (int index = frames.size() - 1; index >= 0; index--) {
      final var method = frames.get(index).getMethod();
      names.add(method.getType().getName().replaceAll("^.*\\.", "") + "." + method.getName());
    }
    final int first = names.indexOf(from);
    if (first < 0) {
      return;
    }
    FlameGraph at = this;
    at.samples++;
    for (final String name : names.subList(first, names.size())) {
      at = at.callees.computeIfAbsent(name, unused -> new FlameGraph());
      at.samples++;
    }
  }

  long samples() {
    return samples;
  }

  /** Writes the graph to an SVG file. */
  void write(final Path file) throws IOException {
    final int height = (depth() + 1) * ROW_HEIGHT;
    final StringBuilder svg =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                    + "width=\"%d\" height=\"%d\" font-family=\"monospace\" font-size=\"10\">%n",
                WIDTH,
                height));
    draw(svg, "all: " + samples + " samples", 0, WIDTH, height - ROW_HEIGHT);
    Files.writeString(file, svg.append("</svg>\n"));
  }

  private int depth() {
    return 1
        + callees.values().stream()
            .filter(one -> one.samples > 0)
            .mapToInt(FlameGraph::depth)
            .max()
            .orElse(0);
  }

  private void draw(
      final StringBuilder svg, final String name, final double x, final double width, final int y) {
    if (width < MIN_WIDTH) {
      return;
    }
    final boolean isProjectCode =
        name.matches(
            "(DecisionLoop|Http|Journal|OverloadController|Submit|Request|Response|Route|Destination"
                + "|Ranking|Ordered|TimeHeap|EndpointTable|EndpointConnection|ClientConnection"
                + "|ReceiveTimeBound).*");
    final String shown = name.replace("<", "&lt;").replace(">", "&gt;");
    final int chars = (int) (width / CHAR_WIDTH);
    svg.append(
        String.format(
            Locale.ROOT,
            "<g><title>%s: %d</title><rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" "
                + "height=\"%d\" fill=\"%s\" stroke=\"white\" stroke-width=\"0.4\"/>",
            shown,
            samples,
            x,
            y,
            width,
            ROW_HEIGHT - 1,
            isProjectCode ? "#e8743b" : "#f3c77a"));
    if (chars > 2) {
      svg.append(
          String.format(
              Locale.ROOT,
              "<text x=\"%.1f\" y=\"%d\">%s</text>",
              x + 2,
              y + ROW_HEIGHT - 5,
              name.length() <= chars ? shown : name.substring(0, chars).replaceAll("[<>]", "")));
    }
    svg.append("</g>\n");
    double at = x;
    for (final Map.Entry<String, FlameGraph> callee : callees.entrySet()) {
      final double part = width * callee.getValue().samples / samples;
      callee.getValue().draw(svg, callee.getKey(), at, part, y - ROW_HEIGHT);
      at += part;
    }
  }
}

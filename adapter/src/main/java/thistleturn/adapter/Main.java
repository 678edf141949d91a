package thistleturn.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import thistleturn.settings.MalformedLineException;

/** Starts the simulator's adapter: {@code java -jar thistleturn-adapter-all.jar benchlink}. */
public final class Main {
  private static final String MODE = "benchlink";
  private static final int EXIT_MALFORMED_INPUT = 1;
  private static final int EXIT_USAGE = 2;
  private static final int BUFFER_CHARS = 1 << 16;

  private Main() {}

  /** Runs the adapter on standard input and output until the input ends. */
  public static void main(final String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals(MODE)) {
      System.err.println("usage: java -jar thistleturn-adapter-all.jar " + MODE);
      System.exit(EXIT_USAGE);
    }
    final var in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
    final Writer out = new OutputStreamWriter(System.out, StandardCharsets.UTF_8);
    try {
      new SimulatorAdapter(in, out).run();
    } catch (final MalformedLineException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_MALFORMED_INPUT);
    }
  }
}

package thistleturn.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import thistleturn.settings.MalformedLineException;

/** Starts the bench's adapter: {@code java -jar thistleturn-adapter-all.jar benchlink}. */
public final class Main {

  private static final int BUFFER_CHARS = 1 << 16;

  private Main() {}

  /** Runs the adapter on standard input and output until the input ends. */
  public static void main(final String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println("usage: java -jar thistleturn-adapter-all.jar benchlink");
      System.exit(2);
    }
    final var in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
    final Writer out = new OutputStreamWriter(System.out, StandardCharsets.UTF_8);
    try {
      new SimulatorAdapter(in, out).run();
    } catch (final MalformedLineException e) {
      System.err.println(e.getMessage());
      System.exit(1);
    }
  }
}

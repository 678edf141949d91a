package thistleturn.eureka;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.async.NonBlockingJsonParser;
import java.io.IOException;
import java.util.Set;

/**
 * Parses the frame of a registry's response as its bytes arrive: it has to be JSON with {@code
 * applications}, {@code application} or {@code instance} at its root, and may contain the hash of
 * all instances.
 */
final class FrameParser {
  private static final int MAX_DEPTH = 24;
  private static final Set<String> ROOT_FIELDS = Set.of("applications", "application", "instance");

  private final NonBlockingJsonParser parser;

  /** The name of the current field at each depth. */
  private final String[] path = new String[MAX_DEPTH + 2];

  private int depth;
  private boolean ended;
  private boolean hasRoot;
  private String hash = "";

  FrameParser() throws IOException {
    this.parser = (NonBlockingJsonParser) InstanceParser.FACTORY.createNonBlockingByteArrayParser();
  }

  /** Parses the next piece. */
  void feed(final byte[] bytes, final int from, final int length) throws IOException {
    if (length > 0) {
      parser.feedInput(bytes, from, from + length);
      parseAvailable();
    }
  }

  /**
   * Ends the frame.
   *
   * @throws IOException if it is incomplete or not that of a registry
   */
  void end() throws IOException {
    parser.endOfInput();
    parseAvailable();
    if (!ended || !hasRoot) {
      throw new IOException("the response is incomplete or not that of a registry");
    }
  }

  /** The hash in the frame; empty if there is none. */
  String hash() {
    return hash;
  }

  private void parseAvailable() throws IOException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE) {
      switch (token) {
        case START_OBJECT, START_ARRAY -> open();
        case END_OBJECT, END_ARRAY -> {
          depth--;
          ended = depth == 0;
        }
        case FIELD_NAME -> path[depth] = parser.currentName();
        default -> {
          if ("apps__hashcode".equals(path[depth]) && "applications".equals(path[depth - 1])) {
            hash = parser.getText();
          }
        }
      }
      token = parser.nextToken();
    }
  }

  private void open() {
    hasRoot |= depth == 1 && path[1] != null && ROOT_FIELDS.contains(path[1]);
    depth++;
    path[depth] = null;
  }
}

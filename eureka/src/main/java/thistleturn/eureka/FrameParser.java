package thistleturn.eureka;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.async.NonBlockingJsonParser;
import java.io.IOException;

/**
 * Reads what stands round a registry's instances, as it comes: that it is JSON, that {@code
 * applications}, {@code application} or {@code instance} is at its root, and the hash that it
 * tells.
 */
final class FrameParser {
  private static final int MOST_DEPTH = 24;
  private final NonBlockingJsonParser parser;

  /** The names of the fields that are open, by depth. */
  private final String[] path = new String[MOST_DEPTH + 2];

  private int depth;
  private boolean ended;
  private boolean hasRoot;
  private String hash = "";

  FrameParser() throws IOException {
    this.parser = (NonBlockingJsonParser) InstanceParser.FACTORY.createNonBlockingByteArrayParser();
  }

  void feed(final byte[] bytes, final int from, final int length) throws IOException {
    if (length > 0) {
      parser.feedInput(bytes, from, from + length);
      read();
    }
  }

  /** It has ended; an error if it is not whole, or none of a registry's. */
  void end() throws IOException {
    parser.endOfInput();
    read();
    if (!ended || !hasRoot) {
      throw new IOException("the answer is cut off, or not a registry's");
    }
  }

  /** The hash that was told; empty if none was. */
  String hash() {
    return hash;
  }

  private void read() throws IOException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE) {
      switch (token) {
        case START_OBJECT, START_ARRAY -> {
          hasRoot |=
              depth == 1
                  && ("applications".equals(path[1])
                      || "application".equals(path[1])
                      || "instance".equals(path[1]));
          depth++;
          path[depth] = null;
        }
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
}

package thistleturn.courier.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream into the JSON objects that it contains. An object may be indented, and so span
 * several lines; a line end between two objects is a heartbeat. The listener receives complete
 * objects only.
 */
final class JsonObjectFramer {
  private static final int MAX_OBJECT_BYTES = 1 << 22;

  private final Listener listener;
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  /** Receives the objects and heartbeats of the stream. */
  interface Listener {
    /** A complete object was received. */
    void onObject(String text);

    /** A line ended outside of an object. */
    void onLineEnd();
  }

  JsonObjectFramer(final Listener listener) {
    this.listener = listener;
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @throws IllegalArgumentException if they are not part of an object, or it exceeds 4 MiB
   */
  void read(final byte[] bytes) {
    for (final byte next : bytes) {
      if (depth == 0) {
        readBetweenObjects(next);
      } else {
        readWithinObject(next);
      }
    }
  }

  private void readBetweenObjects(final byte next) {
    if (next == '{') {
      depth = 1;
      object.write(next);
    } else if (next == '\n') {
      listener.onLineEnd();
    } else if (next != ' ' && next != '\t' && next != '\r') {
      throw new IllegalArgumentException(
          "cannot read the endpoint list: no object begins with byte " + next);
    }
  }

  private void readWithinObject(final byte next) {
    if (object.size() == MAX_OBJECT_BYTES) {
      throw new IllegalArgumentException(
          "cannot read the endpoint list: an object of over " + MAX_OBJECT_BYTES + " bytes");
    }
    object.write(next);
    if (inString) {
      if (next == '\n') {
        // A JSON string has no line end: the object is truncated, and another one follows.
        throw new IllegalArgumentException("cannot read the endpoint list: line end in a string");
      }
      inString = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else if (next == '"') {
      inString = true;
    } else if (next == '{' || next == '[') {
      depth++;
    } else if ((next == '}' || next == ']') && --depth == 0) {
      final String complete = object.toString(StandardCharsets.UTF_8);
      object.reset();
      listener.onObject(complete);
    }
  }
}

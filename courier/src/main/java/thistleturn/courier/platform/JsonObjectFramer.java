package thistleturn.courier.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream into the JSON objects that it holds. They may be indented, so that their ends are
 * not those of lines; a line end between two objects is the platform's sign of life. Nothing is
 * told of an object before it is whole.
 */
final class JsonObjectFramer {
  private static final int MAX_OBJECT_BYTES = 1 << 22;

  private final Listener listener;
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  /** Who is told. */
  interface Listener {
    /** A whole object has come. */
    void onObject(String text);

    /** A line has ended outside any object. */
    void onLineEnd();
  }

  JsonObjectFramer(final Listener listener) {
    this.listener = listener;
  }

  /**
   * Reads on.
   *
   * @throws IllegalArgumentException if this can be no object, or one over 4 MiB
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
          "the list cannot be read: no object begins with byte " + next);
    }
  }

  private void readWithinObject(final byte next) {
    if (object.size() == MAX_OBJECT_BYTES) {
      throw new IllegalArgumentException(
          "the list cannot be read: an object of over " + MAX_OBJECT_BYTES + " bytes");
    }
    object.write(next);
    if (inString) {
      if (next == '\n') {
        // No text holds one: the object was broken off, and what follows is another.
        throw new IllegalArgumentException("the list cannot be read: a line ends within a text");
      }
      inString = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else if (next == '"') {
      inString = true;
    } else if (next == '{' || next == '[') {
      depth++;
    } else if ((next == '}' || next == ']') && --depth == 0) {
      final String whole = object.toString(StandardCharsets.UTF_8);
      object.reset();
      listener.onObject(whole);
    }
  }
}

package thistleturn.eureka;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.Arrays;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Cuts a registry's answer into its instances and what stands round them, as it comes. It only
 * matches braces and strings; whether that is JSON, and what it says, is the readers' to find out.
 * A text that is expected at its place, by length and digest, is taken for the same without being
 * looked at further.
 */
final class AnswerSplitter {
  private static final byte[] INSTANCE = {'i', 'n', 's', 't', 'a', 'n', 'c', 'e'};

  /** An instance's text is no longer than this. */
  private static final int MOST_INSTANCE_BYTES = 1 << 18;

  private static final int FIRST_BYTES = 1 << 15;
  private static final int MOST_DEPTH = 24;
  private static final byte[] PLACEHOLDER = {'{', '}'};

  private final Reader reader;
  private byte[] bytes = new byte[FIRST_BYTES];
  private int end;

  /** What was looked at up to here; what lies before {@code kept} was handed on. */
  private int at;

  private int kept;
  private int depth;
  private final boolean[] array = new boolean[MOST_DEPTH + 1];
  private final boolean[] named = new boolean[MOST_DEPTH + 1];
  private boolean inString;
  private boolean escaped;
  private int stringFrom;
  private boolean lastIsInstance;
  private boolean keyIsInstance;

  /** Where an instance begins that is not here whole; -1 outside one. */
  private int instanceFrom = -1;

  /** Who is given the parts, in order. */
  interface Reader {
    /** The length of the text that is expected next, or 0. */
    int expectedLength();

    /** True if this is the text that was expected; then it was taken. */
    boolean isExpected(byte[] bytes, int from, int length);

    /** Another instance's text. */
    void instance(byte[] bytes, int from, int length) throws IOException;

    /** What stands round instances, with {@code {}} in place of each. */
    void frame(byte[] bytes, int from, int length) throws IOException;
  }

  AnswerSplitter(final Reader reader) {
    this.reader = reader;
  }

  /** A digest by which a text is known again: two checksums of different polynomials. */
  static long digest(final byte[] bytes, final int from, final int length) {
    final CRC32C one = new CRC32C();
    one.update(bytes, from, length);
    final CRC32 two = new CRC32();
    two.update(bytes, from, length);
    return one.getValue() << Integer.SIZE | two.getValue();
  }

  void feed(final ByteBuf more) throws IOException {
    while (more.isReadable()) {
      makeRoom();
      final int some = Math.min(more.readableBytes(), bytes.length - end);
      more.readBytes(bytes, end, some);
      end += some;
      split();
    }
  }

  /** Nothing more comes. */
  void end() throws IOException {
    if (instanceFrom >= 0 || inString || depth != 0) {
      throw new IOException("the answer is cut off");
    }
    reader.frame(bytes, kept, end - kept);
    kept = end;
  }

  private void makeRoom() throws IOException {
    if (end < bytes.length) {
      return;
    }
    if (kept > 0) {
      System.arraycopy(bytes, kept, bytes, 0, end - kept);
      at -= kept;
      end -= kept;
      stringFrom -= kept;
      instanceFrom = instanceFrom < 0 ? -1 : instanceFrom - kept;
      kept = 0;
    }
    if (end == bytes.length) {
      if (bytes.length >= MOST_INSTANCE_BYTES) {
        throw new IOException(
            "an instance, or a text round it, is longer than " + MOST_INSTANCE_BYTES + " bytes");
      }
      bytes = Arrays.copyOf(bytes, 2 * bytes.length);
    }
  }

  private void split() throws IOException {
    while (at < end) {
      if (instanceFrom >= 0 && !instance()) {
        return;
      }
      if (at < end) {
        step(bytes[at]);
      }
    }
    // What stands round instances need not be kept.
    if (instanceFrom < 0) {
      final int safe = inString ? Math.min(stringFrom, end) : end;
      if (safe > kept) {
        reader.frame(bytes, kept, safe - kept);
        kept = safe;
      }
    }
  }

  /** One byte of what stands round instances. */
  private void step(final byte next) throws IOException {
    if (inString) {
      if (escaped) {
        escaped = false;
      } else if (next == '\\') {
        escaped = true;
      } else if (next == '"') {
        inString = false;
        lastIsInstance =
            at - stringFrom == INSTANCE.length
                && Arrays.equals(bytes, stringFrom, at, INSTANCE, 0, INSTANCE.length);
      }
      at++;
      return;
    }
    switch (next) {
      case '"' -> {
        inString = true;
        stringFrom = at + 1;
      }
      case ':' -> keyIsInstance = lastIsInstance;
      case ',' -> keyIsInstance = false;
      case '{', '[' -> {
        final boolean isInstance = array[depth] ? named[depth] : keyIsInstance;
        if (next == '{' && isInstance) {
          instanceFrom = at;
          reader.frame(bytes, kept, at - kept);
          kept = at;
          return;
        }
        if (depth == MOST_DEPTH) {
          throw new IOException("nested too deeply");
        }
        depth++;
        array[depth] = next == '[';
        named[depth] = isInstance;
        keyIsInstance = false;
      }
      case '}', ']' -> {
        if (depth == 0) {
          throw new IOException("a bracket closes nothing");
        }
        depth--;
        keyIsInstance = false;
      }
      default -> {}
    }
    at++;
  }

  /** Takes the instance that begins here; false if it is not here whole. */
  private boolean instance() throws IOException {
    final int expected = reader.expectedLength();
    if (expected > 0) {
      if (end - instanceFrom >= expected && reader.isExpected(bytes, instanceFrom, expected)) {
        taken(instanceFrom + expected);
        return true;
      }
    }
    final int close = close(instanceFrom);
    if (close < 0) {
      at = end;
      return false;
    }
    reader.instance(bytes, instanceFrom, close - instanceFrom);
    taken(close);
    return true;
  }

  private void taken(final int after) throws IOException {
    reader.frame(PLACEHOLDER, 0, PLACEHOLDER.length);
    at = after;
    kept = after;
    instanceFrom = -1;
    keyIsInstance = false;
  }

  /** Behind the brace that closes the one here; -1 if that has not come. */
  private int close(final int from) {
    int level = 0;
    int position = from;
    while (position < end) {
      final byte next = bytes[position++];
      if (next == '"') {
        while (position < end && bytes[position] != '"') {
          position += bytes[position] == '\\' ? 2 : 1;
        }
        position++;
      } else if (next == '{') {
        level++;
      } else if (next == '}') {
        level--;
        if (level == 0) {
          return position;
        }
      }
    }
    return -1;
  }
}

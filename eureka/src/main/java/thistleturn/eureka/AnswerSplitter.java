package thistleturn.eureka;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.Arrays;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Splits a registry's response, as its bytes arrive, into the texts of its instances and the frame
 * around them. It only matches brackets and strings; the parsers of the parts check that they are
 * JSON and interpret them. An instance whose text has the length and digest of the expected one is
 * assumed to be unchanged and is not scanned.
 */
final class AnswerSplitter {
  private static final byte[] INSTANCE = {'i', 'n', 's', 't', 'a', 'n', 'c', 'e'};

  /** The longest instance text that is accepted. */
  private static final int MAX_INSTANCE_BYTES = 1 << 18;

  private static final int INITIAL_BUFFER_BYTES = 1 << 15;
  private static final int MAX_DEPTH = 24;
  private static final byte[] PLACEHOLDER = {'{', '}'};
  private static final int NONE = -1;

  private final Handler handler;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

  /** The index after the last byte in the buffer. */
  private int end;

  /** The index of the first byte that was not scanned yet. */
  private int position;

  /** The index of the first byte that was not passed to the handler yet. */
  private int pendingStart;

  private int depth;

  /** By depth: whether the open bracket is that of an array. */
  private final boolean[] isArray = new boolean[MAX_DEPTH + 1];

  /** By depth: whether the open bracket is the value of an {@code instance} field. */
  private final boolean[] isInstanceValue = new boolean[MAX_DEPTH + 1];

  private boolean inString;
  private boolean escaped;
  private int stringStart;

  /** Whether the string that was scanned last is {@code instance}. */
  private boolean lastStringIsInstance;

  /** Whether the value that comes next is that of an {@code instance} field. */
  private boolean keyIsInstance;

  /** The start of an instance that has not arrived completely, or {@link #NONE}. */
  private int instanceStart = NONE;

  /** Receives the parts of a response in order. */
  interface Handler {
    /** The length of the instance text that is expected next, or 0 if none is. */
    int expectedLength();

    /** Takes an instance text if it is the expected one; returns whether it is. */
    boolean acceptExpected(byte[] bytes, int from, int length);

    /** Takes the text of another instance. */
    void onInstance(byte[] bytes, int from, int length) throws IOException;

    /** Takes a piece of the frame, in which {@code {}} stands for each instance. */
    void onFrame(byte[] bytes, int from, int length) throws IOException;
  }

  AnswerSplitter(final Handler handler) {
    this.handler = handler;
  }

  /** A digest that identifies a text: two checksums with different polynomials. */
  static long digest(final byte[] bytes, final int from, final int length) {
    final CRC32C castagnoli = new CRC32C();
    castagnoli.update(bytes, from, length);
    final CRC32 ieee = new CRC32();
    ieee.update(bytes, from, length);
    return castagnoli.getValue() << Integer.SIZE | ieee.getValue();
  }

  /** Reads all readable bytes of a piece of the response. */
  void feed(final ByteBuf piece) throws IOException {
    while (piece.isReadable()) {
      ensureSpace();
      final int length = Math.min(piece.readableBytes(), buffer.length - end);
      piece.readBytes(buffer, end, length);
      end += length;
      split();
    }
  }

  /**
   * Ends the response.
   *
   * @throws IOException if it is incomplete
   */
  void end() throws IOException {
    if (instanceStart != NONE || inString || depth != 0) {
      throw new IOException("the response is incomplete");
    }
    flushFrame(end);
  }

  /** Moves pending bytes to the start of a full buffer, or enlarges it. */
  private void ensureSpace() throws IOException {
    if (end < buffer.length) {
      return;
    }
    if (pendingStart > 0) {
      discardHandled();
    }
    if (end == buffer.length) {
      if (buffer.length >= MAX_INSTANCE_BYTES) {
        throw new IOException(
            "an instance, or the text around it, is longer than " + MAX_INSTANCE_BYTES + " bytes");
      }
      buffer = Arrays.copyOf(buffer, 2 * buffer.length);
    }
  }

  private void discardHandled() {
    System.arraycopy(buffer, pendingStart, buffer, 0, end - pendingStart);
    position -= pendingStart;
    end -= pendingStart;
    stringStart -= pendingStart;
    instanceStart = instanceStart == NONE ? NONE : instanceStart - pendingStart;
    pendingStart = 0;
  }

  private void split() throws IOException {
    while (position < end) {
      if (instanceStart != NONE && !takeInstance()) {
        return;
      }
      if (position < end) {
        scanFrame(buffer[position]);
      }
    }
    if (instanceStart == NONE) {
      // Only an open string has to stay in the buffer: it may be the name of an instance field.
      flushFrame(inString ? Math.min(stringStart, end) : end);
    }
  }

  private void flushFrame(final int to) throws IOException {
    if (to > pendingStart) {
      handler.onFrame(buffer, pendingStart, to - pendingStart);
      pendingStart = to;
    }
  }

  /** Scans one byte of the frame; the brace that opens an instance is not consumed. */
  private void scanFrame(final byte next) throws IOException {
    if (inString) {
      scanString(next);
      return;
    }
    switch (next) {
      case '"' -> {
        inString = true;
        stringStart = position + 1;
      }
      case ':' -> keyIsInstance = lastStringIsInstance;
      case ',' -> keyIsInstance = false;
      case '{', '[' -> {
        final boolean instanceValue = isArray[depth] ? isInstanceValue[depth] : keyIsInstance;
        if (next == '{' && instanceValue) {
          flushFrame(position);
          instanceStart = position;
          return;
        }
        openBracket(next == '[', instanceValue);
      }
      case '}', ']' -> closeBracket();
      default -> {}
    }
    position++;
  }

  private void scanString(final byte next) {
    if (escaped) {
      escaped = false;
    } else if (next == '\\') {
      escaped = true;
    } else if (next == '"') {
      inString = false;
      lastStringIsInstance =
          position - stringStart == INSTANCE.length
              && Arrays.equals(buffer, stringStart, position, INSTANCE, 0, INSTANCE.length);
    }
    position++;
  }

  private void openBracket(final boolean array, final boolean instanceValue) throws IOException {
    if (depth == MAX_DEPTH) {
      throw new IOException("the response is nested too deeply");
    }
    depth++;
    isArray[depth] = array;
    isInstanceValue[depth] = instanceValue;
    keyIsInstance = false;
  }

  private void closeBracket() throws IOException {
    if (depth == 0) {
      throw new IOException("unbalanced closing bracket");
    }
    depth--;
    keyIsInstance = false;
  }

  /** Takes the instance that begins here; returns false if it has not arrived completely. */
  private boolean takeInstance() throws IOException {
    final int expectedLength = handler.expectedLength();
    if (expectedLength > 0
        && end - instanceStart >= expectedLength
        && handler.acceptExpected(buffer, instanceStart, expectedLength)) {
      finishInstance(instanceStart + expectedLength);
      return true;
    }
    final int instanceEnd = findObjectEnd(instanceStart);
    if (instanceEnd == NONE) {
      position = end;
      return false;
    }
    handler.onInstance(buffer, instanceStart, instanceEnd - instanceStart);
    finishInstance(instanceEnd);
    return true;
  }

  private void finishInstance(final int instanceEnd) throws IOException {
    handler.onFrame(PLACEHOLDER, 0, PLACEHOLDER.length);
    position = instanceEnd;
    pendingStart = instanceEnd;
    instanceStart = NONE;
    keyIsInstance = false;
  }

  /**
   * The index after the brace that closes the object at {@code from}, or {@link #NONE} if it has
   * not arrived.
   */
  private int findObjectEnd(final int from) {
    int openBraces = 0;
    int index = from;
    while (index < end) {
      final byte next = buffer[index++];
      if (next == '"') {
        while (index < end && buffer[index] != '"') {
          index += buffer[index] == '\\' ? 2 : 1;
        }
        index++;
      } else if (next == '{') {
        openBraces++;
      } else if (next == '}') {
        openBraces--;
        if (openBraces == 0) {
          return index;
        }
      }
    }
    return NONE;
  }
}

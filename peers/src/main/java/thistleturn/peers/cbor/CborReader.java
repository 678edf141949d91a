package thistleturn.peers.cbor;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;

/**
 * Reads the values of a CBOR array one by one. Each method takes the next value and throws a {@link
 * MalformedMessageException}, or another {@link IOException}, if it is of another type or missing.
 * Subclasses add the values of a protocol. For one thread.
 */
public abstract class CborReader implements AutoCloseable {
  private static final CBORFactory FACTORY = new CBORFactory();

  private final CBORParser parser;

  /** Makes a reader of all bytes of an array. */
  protected CborReader(final byte[] bytes) throws IOException {
    this(bytes, 0, bytes.length);
  }

  /** Makes a reader of a part of an array. */
  protected CborReader(final byte[] bytes, final int offset, final int length) throws IOException {
    this.parser = FACTORY.createParser(bytes, offset, length);
  }

  /** Takes the next token, whatever it is. */
  protected final JsonToken nextToken() throws IOException {
    final JsonToken token = parser.nextToken();
    if (token == null) {
      throw new MalformedMessageException("it ends too early");
    }
    return token;
  }

  /** Returns the token that was taken last. */
  protected final JsonToken currentToken() {
    return parser.currentToken();
  }

  /** Takes the beginning of an array. */
  public final void beginArray() throws IOException {
    nextToken();
    requireCurrent(JsonToken.START_ARRAY, "an array");
  }

  /** Skips what a later version has appended to the present array, and takes its end. */
  public final void endArray() throws IOException {
    while (nextToken() != JsonToken.END_ARRAY) {
      parser.skipChildren();
    }
  }

  /** Takes the first token of a further element of a list and returns true, or takes its end. */
  protected final boolean nextElement() throws IOException {
    return nextToken() != JsonToken.END_ARRAY;
  }

  /** Checks what kind of token was taken last. */
  protected final void requireCurrent(final JsonToken expected, final String what)
      throws IOException {
    if (currentToken() != expected) {
      throw new MalformedMessageException("expected " + what + ", not " + currentToken());
    }
  }

  /**
   * Takes the version of a message.
   *
   * @param minVersion the lowest that can be read; a higher one can be read as far as it is known
   */
  public final void version(final int minVersion) throws IOException {
    final long version = number();
    if (version < minVersion) {
      throw new MalformedMessageException("version " + version + " is not supported");
    }
  }

  /** Takes an integer; the parser itself rejects what takes more than 64 bits. */
  public final long number() throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_NUMBER_INT, "a number");
    return currentLong();
  }

  /** Takes an integer, of which larger ones stand for the largest. */
  public final int numberUpToMaxInt() throws IOException {
    return (int) Math.min(Integer.MAX_VALUE, number());
  }

  /** Takes an integer from 0 to {@link Integer#MAX_VALUE}. */
  public final int nonNegativeInt() throws IOException {
    final long number = number();
    if (number < 0 || number > Integer.MAX_VALUE) {
      throw new MalformedMessageException("expected a small number, not " + number);
    }
    return (int) number;
  }

  /** Takes the place of one of these values. */
  public final <T> T oneOf(final T[] values) throws IOException {
    final long index = number();
    if (index < 0 || index >= values.length) {
      throw new MalformedMessageException(
          "expected a number below " + values.length + ", not " + index);
    }
    return values[(int) index];
  }

  /** Takes a truth value. */
  public final boolean flag() throws IOException {
    if (!nextToken().isBoolean()) {
      throw new MalformedMessageException("expected true or false, not " + currentToken());
    }
    return currentToken() == JsonToken.VALUE_TRUE;
  }

  /** Takes a text of at most so many characters. */
  public final String text(final int maxLength) throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_STRING, "a text");
    if (parser.getTextLength() > maxLength) {
      throw new MalformedMessageException(
          "expected a text of at most " + maxLength + " characters");
    }
    return currentText();
  }

  /** Takes bytes. */
  public final byte[] binary() throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_EMBEDDED_OBJECT, "bytes");
    return parser.getBinaryValue();
  }

  /** Returns the integer that was taken last. */
  protected final long currentLong() throws IOException {
    return parser.getLongValue();
  }

  /** Returns the floating-point number that was taken last. */
  protected final double currentDouble() throws IOException {
    return parser.getDoubleValue();
  }

  /** Returns the text that was taken last. */
  protected final String currentText() throws IOException {
    return parser.getText();
  }

  /** Checks the size of a list. */
  protected static void requireAtMost(final int limit, final int size) throws IOException {
    if (size > limit) {
      throw new MalformedMessageException("more than " + limit + " elements");
    }
  }

  @Override
  public final void close() throws IOException {
    parser.close();
  }
}

package thistleturn.peers.cbor;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;

/**
 * Reads the values of a CBOR array one by one. Each method reads the next value, and throws a
 * {@link MalformedMessageException} or another {@link IOException} if the value has another type or
 * is missing. Subclasses add the values of a protocol. Not thread-safe.
 */
public abstract class CborReader implements AutoCloseable {
  private static final CBORFactory FACTORY = new CBORFactory();

  private final CBORParser parser;

  /** Creates a reader of all bytes of an array. */
  protected CborReader(final byte[] bytes) throws IOException {
    this(bytes, 0, bytes.length);
  }

  /** Creates a reader of a part of an array. */
  protected CborReader(final byte[] bytes, final int offset, final int length) throws IOException {
    this.parser = FACTORY.createParser(bytes, offset, length);
  }

  /** Reads the next token of any type. */
  protected final JsonToken nextToken() throws IOException {
    final JsonToken token = parser.nextToken();
    if (token == null) {
      throw new MalformedMessageException("unexpected end of input");
    }
    return token;
  }

  /** Returns the token that was read last. */
  protected final JsonToken currentToken() {
    return parser.currentToken();
  }

  /** Reads the start of an array. */
  public final void beginArray() throws IOException {
    nextToken();
    requireCurrent(JsonToken.START_ARRAY, "an array");
  }

  /** Skips the values that a later version appended to the current array, and reads its end. */
  public final void endArray() throws IOException {
    while (nextToken() != JsonToken.END_ARRAY) {
      parser.skipChildren();
    }
  }

  /**
   * Reads the first token of the next element of a list and returns true, or reads the end of the
   * list and returns false.
   */
  protected final boolean nextElement() throws IOException {
    return nextToken() != JsonToken.END_ARRAY;
  }

  /** Checks the type of the token that was read last. */
  protected final void requireCurrent(final JsonToken expected, final String what)
      throws IOException {
    if (currentToken() != expected) {
      throw new MalformedMessageException("expected " + what + ", not " + currentToken());
    }
  }

  /**
   * Reads the version of a message.
   *
   * @param minVersion the lowest supported version; of a higher one, the known values are read
   */
  public final void version(final int minVersion) throws IOException {
    final long version = number();
    if (version < minVersion) {
      throw new MalformedMessageException("version " + version + " is not supported");
    }
  }

  /** Reads an integer; the parser itself rejects integers of more than 64 bits. */
  public final long number() throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_NUMBER_INT, "a number");
    return currentLong();
  }

  /** Reads an integer; larger ones are reduced to {@link Integer#MAX_VALUE}. */
  public final int numberUpToMaxInt() throws IOException {
    return (int) Math.min(Integer.MAX_VALUE, number());
  }

  /** Reads an integer from 0 to {@link Integer#MAX_VALUE}. */
  public final int nonNegativeInt() throws IOException {
    final long number = number();
    if (number < 0 || number > Integer.MAX_VALUE) {
      throw new MalformedMessageException("expected a number from 0 to 2147483647, not " + number);
    }
    return (int) number;
  }

  /** Reads the index of one of these values, and returns the value. */
  public final <T> T oneOf(final T[] values) throws IOException {
    final long index = number();
    if (index < 0 || index >= values.length) {
      throw new MalformedMessageException(
          "expected a number below " + values.length + ", not " + index);
    }
    return values[(int) index];
  }

  /** Reads a boolean. */
  public final boolean flag() throws IOException {
    if (!nextToken().isBoolean()) {
      throw new MalformedMessageException("expected true or false, not " + currentToken());
    }
    return currentToken() == JsonToken.VALUE_TRUE;
  }

  /** Reads a text of at most {@code maxLength} characters. */
  public final String text(final int maxLength) throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_STRING, "a text");
    if (parser.getTextLength() > maxLength) {
      throw new MalformedMessageException(
          "expected a text of at most " + maxLength + " characters");
    }
    return currentText();
  }

  /** Reads a byte string. */
  public final byte[] binary() throws IOException {
    nextToken();
    requireCurrent(JsonToken.VALUE_EMBEDDED_OBJECT, "bytes");
    return parser.getBinaryValue();
  }

  /** Returns the integer that was read last. */
  protected final long currentLong() throws IOException {
    return parser.getLongValue();
  }

  /** Returns the floating-point number that was read last. */
  protected final double currentDouble() throws IOException {
    return parser.getDoubleValue();
  }

  /** Returns the text that was read last. */
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

package thistleturn.peers.cbor;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Encodes values as CBOR. Thread-safe. */
public final class Cbor {
  private static final CBORFactory FACTORY = new CBORFactory();

  /** Writes the values of one message. */
  @FunctionalInterface
  public interface Encoder {
    /** Writes the values to a generator. */
    void encode(CBORGenerator out) throws IOException;
  }

  private Cbor() {}

  /**
   * Returns the bytes that an encoder writes.
   *
   * @param initialBytes the initial size of the buffer, which grows as needed
   */
  public static byte[] encode(final int initialBytes, final Encoder encoder) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream(initialBytes);
    try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
      encoder.encode(out);
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return bytes.toByteArray();
  }
}

package thistleturn.peers;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A keyed checksum before each datagram and frame (HMAC-SHA-256, RFC 2104, cut to 128 bits), so
 * that what another fleet says, or what was damaged, moves nothing. It keeps nothing secret. For
 * one thread.
 */
final class Seal {
  /** Bytes that it takes. */
  static final int BYTES = 16;

  private static final String KIND = "HmacSHA256";

  private final Mac mac;

  Seal(final String key) {
    try {
      mac = Mac.getInstance(KIND);
      mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), KIND));
    } catch (final GeneralSecurityException e) {
      throw new IllegalStateException("every Java machine has " + KIND, e);
    }
  }

  /** The text with its seal before it. */
  byte[] close(final byte[] text) {
    final byte[] sealed = Arrays.copyOf(mac.doFinal(text), BYTES + text.length);
    System.arraycopy(text, 0, sealed, BYTES, text.length);
    return sealed;
  }

  /** The text behind a seal; null: it is not this fleet's, or not whole. */
  byte[] open(final byte[] sealed) {
    if (sealed.length <= BYTES) {
      return null;
    }
    mac.update(sealed, BYTES, sealed.length - BYTES);
    final byte[] wanted = Arrays.copyOf(mac.doFinal(), BYTES);
    return MessageDigest.isEqual(wanted, Arrays.copyOf(sealed, BYTES))
        ? Arrays.copyOfRange(sealed, BYTES, sealed.length)
        : null;
  }
}

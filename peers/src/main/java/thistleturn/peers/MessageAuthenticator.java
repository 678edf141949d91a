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
final class MessageAuthenticator {
  /** Bytes that it takes. */
  static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  MessageAuthenticator(final String key) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    } catch (final GeneralSecurityException e) {
      throw new IllegalStateException("every Java machine has " + ALGORITHM, e);
    }
  }

  /** The text with its seal before it. */
  byte[] sign(final byte[] text) {
    final byte[] sealed = Arrays.copyOf(mac.doFinal(text), TAG_BYTES + text.length);
    System.arraycopy(text, 0, sealed, TAG_BYTES, text.length);
    return sealed;
  }

  /** The text behind a seal; null: it is not this fleet's, or not whole. */
  byte[] verify(final byte[] sealed) {
    if (sealed.length <= TAG_BYTES) {
      return null;
    }
    mac.update(sealed, TAG_BYTES, sealed.length - TAG_BYTES);
    final byte[] wanted = Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    return MessageDigest.isEqual(wanted, Arrays.copyOf(sealed, TAG_BYTES))
        ? Arrays.copyOfRange(sealed, TAG_BYTES, sealed.length)
        : null;
  }
}

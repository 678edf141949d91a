package thistleturn.peers;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates datagrams and frames by a tag that precedes the payload (HMAC-SHA-256, RFC 2104,
 * truncated to 128 bits), so that messages of another fleet and damaged messages are rejected.
 * There is no encryption. Not thread-safe.
 */
final class MessageAuthenticator {
  /** The length of the authentication tag in bytes. */
  static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  MessageAuthenticator(final String key) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    } catch (final GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  /** Returns the tag followed by the payload. */
  byte[] sign(final byte[] payload) {
    final byte[] signed = Arrays.copyOf(mac.doFinal(payload), TAG_BYTES + payload.length);
    System.arraycopy(payload, 0, signed, TAG_BYTES, payload.length);
    return signed;
  }

  /** Returns the payload that follows the tag, or null if the tag does not match. */
  byte[] verify(final byte[] signed) {
    if (signed.length <= TAG_BYTES) {
      return null;
    }
    mac.update(signed, TAG_BYTES, signed.length - TAG_BYTES);
    final byte[] expected = Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    return MessageDigest.isEqual(expected, Arrays.copyOf(signed, TAG_BYTES))
        ? Arrays.copyOfRange(signed, TAG_BYTES, signed.length)
        : null;
  }
}

package thistleturn.peers.cbor;

import java.io.IOException;

/** Bytes from another process, or from a file, are not what they should be. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  /** One line that says what is wrong. */
  public MalformedMessageException(final String reason) {
    super(reason);
  }
}

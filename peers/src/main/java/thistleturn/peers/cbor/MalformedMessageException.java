package thistleturn.peers.cbor;

import java.io.IOException;

/** Signals that bytes from another process or a file do not have the expected format. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a reason of one line. */
  public MalformedMessageException(final String reason) {
    super(reason);
  }
}

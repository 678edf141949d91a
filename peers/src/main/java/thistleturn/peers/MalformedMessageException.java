package thistleturn.peers;

import java.io.IOException;

/** What came cannot be read; one line. */
final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedMessageException(final String message) {
    super(message);
  }
}

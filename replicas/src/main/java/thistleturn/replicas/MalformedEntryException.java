package thistleturn.replicas;

import java.io.IOException;

/** What came cannot be read; one line. */
final class MalformedEntryException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedEntryException(final String message) {
    super(message);
  }
}

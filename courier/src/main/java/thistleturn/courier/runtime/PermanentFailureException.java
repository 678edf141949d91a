package thistleturn.courier.runtime;

import java.io.IOException;

/** The system refuses something, and will do so until somebody mends it: a retry is of no use. */
public final class PermanentFailureException extends IOException {
  private static final long serialVersionUID = 1L;

  /** One line that says what is in the way. */
  public PermanentFailureException(final String reason) {
    super(reason);
  }
}

package thistleturn.courier.runtime;

import java.io.IOException;

/** Something of the system's that does not pass by itself. */
public final class PermanentFailureException extends IOException {
  private static final long serialVersionUID = 1L;

  /** One line that says what is in the way. */
  public PermanentFailureException(final String reason) {
    super(reason);
  }
}

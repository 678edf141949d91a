package thistleturn.courier.runtime;

import java.io.IOException;

/** A failure that lasts until an operator fixes its cause, so that a retry is useless. */
public final class PermanentFailureException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Takes one line that names the cause. */
  public PermanentFailureException(final String reason) {
    super(reason);
  }
}

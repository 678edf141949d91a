package thistleturn.cli;

/** A page of a running courier's admin address could not be fetched; the message is one line. */
final class AdminRequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  AdminRequestException(final String message) {
    super(message);
  }

  AdminRequestException(final String message, final Throwable cause) {
    super(message, cause);
  }
}

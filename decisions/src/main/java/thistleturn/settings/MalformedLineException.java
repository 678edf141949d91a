package thistleturn.settings;

/**
 * A line of the wire or a setting that cannot be read; its message names where it stands and the
 * reason.
 */
public final class MalformedLineException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedLineException(final String source, final String reason) {
    super(source + ": " + reason);
  }
}

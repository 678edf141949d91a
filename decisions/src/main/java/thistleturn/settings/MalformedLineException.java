package thistleturn.settings;

/**
 * A line or a setting that cannot be read. The message names where it stands, and what is wrong
 * with it.
 */
public final class MalformedLineException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedLineException(final String source, final String problem) {
    super(source + ": " + problem);
  }

  MalformedLineException(final String source, final String problem, final Throwable cause) {
    super(source + ": " + problem, cause);
  }
}

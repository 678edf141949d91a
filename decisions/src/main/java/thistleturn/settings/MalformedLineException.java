package thistleturn.settings;

/**
 * Thrown for a line or a setting that cannot be parsed. The message names its source and the
 * problem.
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

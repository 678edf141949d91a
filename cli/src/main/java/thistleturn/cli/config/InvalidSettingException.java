package thistleturn.cli.config;

/**
 * The settings file cannot be read, or one of its values cannot be used. The message is one line
 * that names the file, the key, the value and what was expected.
 */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with the message for the operator. */
  public InvalidSettingException(final String message) {
    super(message);
  }

  /** Creates the exception with the message for the operator and its cause. */
  public InvalidSettingException(final String message, final Throwable cause) {
    super(message, cause);
  }
}

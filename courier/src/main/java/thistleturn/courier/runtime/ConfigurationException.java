package thistleturn.courier.runtime;

/** The configuration cannot be used. The message is one line that names what is wrong. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  /** A value that is missing, or that contradicts another one. */
  public ConfigurationException(final String reason) {
    super(reason);
  }

  /** A file that cannot be read, or a value that cannot be parsed. */
  public ConfigurationException(final String reason, final Exception cause) {
    super(reason, cause);
  }
}

package thistleturn.courier.runtime;

/** Thrown if the configuration cannot be used. The message is one line that names the fault. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  /** For a value that is missing, or that contradicts another one. */
  public ConfigurationException(final String reason) {
    super(reason);
  }

  /** For a file that cannot be read, or a value that cannot be parsed. */
  public ConfigurationException(final String reason, final Exception cause) {
    super(reason, cause);
  }
}

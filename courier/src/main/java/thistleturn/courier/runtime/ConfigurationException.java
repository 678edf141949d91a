package thistleturn.courier.runtime;

import java.io.IOException;

/** Why a courier cannot start. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  /** One line that names what is wrong. */
  public ConfigurationException(final String reason) {
    super(reason);
  }

  /** The same for a file that could not be read at all. */
  public ConfigurationException(final String reason, final IOException cause) {
    super(reason, cause);
  }
}

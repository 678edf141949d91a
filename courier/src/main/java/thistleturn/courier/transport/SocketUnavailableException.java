package thistleturn.courier.transport;

import java.io.IOException;

/**
 * The system has no socket at this moment (ENFILE, EMFILE, ENOBUFS, ENOMEM). No remote side was
 * contacted.
 */
public final class SocketUnavailableException extends IOException {
  private static final long serialVersionUID = 1L;

  SocketUnavailableException(final Throwable cause) {
    super(
        "no socket: " + (cause.getCause() == null ? cause : cause.getCause()).getMessage(), cause);
  }
}

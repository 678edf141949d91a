package thistleturn.courier.transport;

import java.io.IOException;

/**
 * The operating system cannot create a socket at present (ENFILE, EMFILE, ENOBUFS, ENOMEM). No
 * remote host was contacted.
 */
public final class SocketUnavailableException extends IOException {
  private static final long serialVersionUID = 1L;

  SocketUnavailableException(final Throwable cause) {
    super(
        "cannot create a socket: "
            + (cause.getCause() == null ? cause : cause.getCause()).getMessage(),
        cause);
  }
}

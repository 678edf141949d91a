package thistleturn.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports on which nothing listens, for processes that are told where to listen. They lie outside the
 * range from which the system takes ports for connections and for listeners on any port, so they
 * stay free until the process listens.
 */
public final class FreePorts {
  private static final int FIRST = 12_000;

  /** Below 32,768, where the range of the system begins. */
  private static final int LAST = 32_000;

  private static final int MAX_ATTEMPTS = 1000;

  private FreePorts() {}

  /** Returns a port of 127.0.0.1 that is free now. */
  public static int next() {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      final int port = ThreadLocalRandom.current().nextInt(FIRST, LAST + 1);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static boolean isFree(final int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (final BindException e) {
      return false;
    } catch (final IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

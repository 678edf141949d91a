package thistleturn.courier.transport;

import java.io.IOException;
import java.util.Locale;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * Decides what a failure of one connection means for the process.
 *
 * <ul>
 *   <li>An {@link IOException} is an ordinary end of a connection.
 *   <li>A direct buffer that could not be reserved ends the connection that needed it. Nothing was
 *       changed when the reservation failed, all state is on the heap, and memory is free again as
 *       other connections are read and written; so the process can be relied on.
 *   <li>Any other {@link Error} ends the process ({@link Log#failure}): after a failed allocation
 *       on the heap, a class that cannot be loaded or an error of the virtual machine, code may
 *       have stopped at any place.
 * </ul>
 */
public final class ConnectionFailures {
  private static final String DIRECT_MEMORY_MESSAGE = "direct buffer memory";

  private ConnectionFailures() {}

  /** Reports what a connection has thrown, which the caller then closes. */
  public static void report(final String what, final Throwable cause) {
    if (isBufferShortage(cause)) {
      Log.event(Event.BUFFER_SHORTAGE, "what", what, "cause", cause);
    } else if (!(cause instanceof IOException)) {
      Log.failure(what, cause);
    }
  }

  /**
   * Does the same, except for exceptions, which a remote side can cause here: they are no defect.
   */
  public static void reportError(final String what, final Throwable cause) {
    if (cause instanceof Error) {
      report(what, cause);
    }
  }

  /** True if no direct buffer could be reserved, whatever wrapped the error on its way. */
  public static boolean isBufferShortage(final Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof OutOfMemoryError) {
        return String.valueOf(cause.getMessage())
            .toLowerCase(Locale.ROOT)
            .contains(DIRECT_MEMORY_MESSAGE);
      }
    }
    return false;
  }
}

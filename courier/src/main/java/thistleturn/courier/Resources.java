package thistleturn.courier;

import thistleturn.courier.runtime.Log;

/** Closes resources where a failure to do so must not keep the caller from its next step. */
final class Resources {
  private Resources() {}

  /** Closes a resource; a failure is logged with {@code action}. */
  static void close(final String action, final AutoCloseable resource) {
    try {
      resource.close();
    } catch (final Exception e) {
      Log.failure(action, e);
    }
  }
}

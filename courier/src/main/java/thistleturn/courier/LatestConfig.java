package thistleturn.courier;

import thistleturn.courier.runtime.CourierConfig;

/**
 * The configuration as it was read last, at the start or on SIGHUP. Of a later reading only the
 * platform's address applies to a running process.
 */
final class LatestConfig {
  private final CourierConfig initial;
  private volatile CourierConfig latest;

  LatestConfig(final CourierConfig initial) {
    this.initial = initial;
    this.latest = initial;
  }

  /** Returns what was read last. */
  CourierConfig get() {
    return latest;
  }

  /** Returns whether the configuration was read again since the start. */
  boolean isReloaded() {
    return latest != initial;
  }

  /** Replaces what was read before. */
  void replace(final CourierConfig fresh) {
    latest = fresh;
  }
}

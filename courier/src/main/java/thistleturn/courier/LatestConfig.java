package thistleturn.courier;

import thistleturn.courier.runtime.CourierConfig;

/**
 * The configuration that was read last, at the start or on SIGHUP. Of a reloaded configuration only
 * the platform's address applies to a running process.
 */
final class LatestConfig {
  private final CourierConfig initial;
  private volatile CourierConfig latest;

  LatestConfig(final CourierConfig initial) {
    this.initial = initial;
    this.latest = initial;
  }

  /** Returns the configuration that was read last. */
  CourierConfig get() {
    return latest;
  }

  /** Returns whether the configuration differs from the one of the start. */
  boolean isChanged() {
    return !latest.equals(initial);
  }

  /** Replaces the configuration. */
  void replace(final CourierConfig fresh) {
    latest = fresh;
  }
}

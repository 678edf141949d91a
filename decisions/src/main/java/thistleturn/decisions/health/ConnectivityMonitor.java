package thistleturn.decisions.health;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a courier has lost its own network. A single endpoint that does not answer is
 * that endpoint's fault. If nobody has answered since the last response, calls to several
 * destinations failed, and the platform cannot be reached either, the fault is this courier's.
 * Times are microseconds.
 */
final class ConnectivityMonitor {
  /** How many destinations must have failed: a single one proves nothing. */
  private static final int MIN_DESTINATIONS = 2;

  /**
   * For how long nobody must have answered: the longest gap that is usual for a healthy courier.
   */
  private static final long MIN_SILENCE_US = 1_000_000;

  /** How many destinations are remembered as unreached, which is enough for any decision. */
  private static final int MAX_DESTINATIONS = 64;

  private static final long NEVER = Long.MIN_VALUE;

  private final Set<Long> unreached = new HashSet<>();
  private long lastResponseUs;
  private long platformFailureUs = NEVER;
  private boolean cutOff;
  private long cutOffSinceUs;

  /** Somebody beyond this machine answered, whatever the answer. */
  void recordResponse(final long nowUs) {
    lastResponseUs = nowUs;
    unreached.clear();
    platformFailureUs = NEVER;
    cutOff = false;
  }

  /** A call that was begun at {@code sentUs} was not answered, or could not connect. */
  void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    if (sentUs < lastResponseUs) {
      return;
    }
    if (unreached.size() < MAX_DESTINATIONS) {
      unreached.add(destination);
    }
    update(nowUs);
  }

  /** The platform's endpoint list could not be read, or outcomes could not be reported to it. */
  void recordPlatformFailure(final long nowUs) {
    platformFailureUs = nowUs;
    update(nowUs);
  }

  private void update(final long nowUs) {
    final boolean platformUnreached = platformFailureUs > lastResponseUs;
    final boolean silent = nowUs - lastResponseUs >= MIN_SILENCE_US;
    if (!cutOff && unreached.size() >= MIN_DESTINATIONS && platformUnreached && silent) {
      cutOff = true;
      cutOffSinceUs = lastResponseUs;
    }
  }

  boolean isCutOff() {
    return cutOff;
  }

  /** Since when nobody has answered, us; only meaningful while the courier is cut off. */
  long cutOffSinceUs() {
    return cutOffSinceUs;
  }

  /** How many destinations failed since the last response. */
  int unreachedDestinations() {
    return unreached.size();
  }
}

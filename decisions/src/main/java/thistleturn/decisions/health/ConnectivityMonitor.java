package thistleturn.decisions.health;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether this courier has lost its network connection. A single endpoint that does not
 * answer is that endpoint's fault. If no response has arrived for a while, calls to several
 * destinations failed, and the platform cannot be reached either, the fault is this courier's.
 * Times are in microseconds.
 */
final class ConnectivityMonitor {
  /** How many destinations must have failed: one may itself be unavailable. */
  private static final int MIN_DESTINATIONS = 2;

  /**
   * Minimum time without any response: the longest such gap that is usual for a healthy courier.
   */
  private static final long MIN_SILENCE_US = 1_000_000;

  /** Maximum number of unreached destinations remembered, which is enough for any decision. */
  private static final int MAX_DESTINATIONS = 64;

  private static final long NEVER = Long.MIN_VALUE;

  private final Set<Long> unreached = new HashSet<>();
  private long lastResponseUs;
  private long platformFailureUs = NEVER;
  private boolean cutOff;
  private long cutOffSinceUs;

  /** Records a response from another machine, whatever its content. */
  void recordResponse(final long nowUs) {
    lastResponseUs = nowUs;
    unreached.clear();
    platformFailureUs = NEVER;
    cutOff = false;
  }

  /** Records that a call begun at {@code sentUs} was not answered, or could not connect. */
  void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    if (sentUs < lastResponseUs) {
      return;
    }
    if (unreached.size() < MAX_DESTINATIONS) {
      unreached.add(destination);
    }
    update(nowUs);
  }

  /**
   * Records that the platform's endpoint list could not be read, or outcomes not reported to it.
   */
  void recordPlatformFailure(final long nowUs) {
    platformFailureUs = nowUs;
    update(nowUs);
  }

  private void update(final long nowUs) {
    final boolean platformUnreached = platformFailureUs > lastResponseUs;
    final boolean noRecentResponse = nowUs - lastResponseUs >= MIN_SILENCE_US;
    if (!cutOff && unreached.size() >= MIN_DESTINATIONS && platformUnreached && noRecentResponse) {
      cutOff = true;
      cutOffSinceUs = lastResponseUs;
    }
  }

  boolean isCutOff() {
    return cutOff;
  }

  /** Returns the time of the last response, us; only meaningful while the courier is cut off. */
  long cutOffSinceUs() {
    return cutOffSinceUs;
  }

  /** Returns how many destinations failed since the last response. */
  int unreachedDestinations() {
    return unreached.size();
  }
}

package thistleturn.decisions.health;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether a courier's own way out is gone. One partner that does not answer is that partner's
 * trouble; where all who were tried since the last answer of anybody do not answer, and the
 * platform does not either, it is this courier's. Times are microseconds.
 */
final class ConnectivityMonitor {
  /**
   * So many destinations at least must have been tried, where there are so many; alone, a
   * destination proves nothing.
   */
  private static final int LEAST_DESTINATIONS = 2;

  /**
   * For so long nobody may have answered: the longest that a collector, a list or a quiet second
   * explains.
   */
  private static final long SILENCE_US = 1_000_000;

  /** Destinations that are remembered as unreached: enough for any verdict. */
  private static final int MOST = 64;

  private final Set<Long> unreached = new HashSet<>();
  private long answeredUs;
  private long platformFailedUs = Long.MIN_VALUE;
  private boolean cut;
  private long cutSinceUs;

  /** Somebody beyond this machine answered, whatever the answer. */
  void recordResponse(final long nowUs) {
    answeredUs = nowUs;
    unreached.clear();
    platformFailedUs = Long.MIN_VALUE;
    cut = false;
  }

  /** A call to a destination had no answer, or none to connect to, and was begun at that moment. */
  void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    if (sentUs < answeredUs) {
      return;
    }
    if (unreached.size() < MOST) {
      unreached.add(destination);
    }
    judge(nowUs);
  }

  /** The platform's list or its taking of ends could not be had. */
  void recordPlatformFailure(final long nowUs) {
    platformFailedUs = nowUs;
    judge(nowUs);
  }

  private void judge(final long nowUs) {
    if (!cut
        && unreached.size() >= LEAST_DESTINATIONS
        && platformFailedUs > answeredUs
        && nowUs - answeredUs >= SILENCE_US) {
      cut = true;
      cutSinceUs = answeredUs;
    }
  }

  boolean isCutOff() {
    return cut;
  }

  /** Since when nobody has answered, us; of use while it is cut off. */
  long cutOffSinceUs() {
    return cutSinceUs;
  }

  int unreachedDestinations() {
    return unreached.size();
  }
}

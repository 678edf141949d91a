package thistleturn.lab.peers;

import java.util.List;

/**
 * All-to-all heartbeats, twice a second. A peer is declared dead after a fixed time without a
 * heartbeat or, with the phi accrual failure detector, once the time since the last heartbeat is
 * improbable enough given the intervals seen before (Hayashibara et al., "The phi accrual failure
 * detector", SRDS 2004; intervals are assumed to be normally distributed).
 */
public final class Heartbeats extends Baseline {
  private static final long HEARTBEAT_INTERVAL_US = 500 * MS;
  private static final int MAX_INTERVALS = 100;
  private static final int MIN_INTERVALS = 5;

  /** Lower bound of the estimated standard deviation of heartbeat intervals, us. */
  private static final double MIN_DEVIATION_US = 100 * MS;

  private final long timeoutUs;
  private final double phi;
  private long nextHeartbeatUs;

  private record Heartbeat(String name, long incarnation) {}

  private Heartbeats(
      final int number,
      final int restarts,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Network network,
      final long timeoutUs,
      final double phi) {
    super(number, restarts, names, seed, nowUs, network);
    this.timeoutUs = timeoutUs;
    this.phi = phi;
  }

  /** A failure detector with a fixed timeout, us. */
  public static Factory fixed(final long timeoutUs) {
    return (number, restarts, names, seed, nowUs, network) ->
        new Heartbeats(number, restarts, names, seed, nowUs, network, timeoutUs, 0);
  }

  /**
   * A phi accrual failure detector with the given threshold; the fixed timeout, us, applies until
   * enough intervals were seen.
   */
  public static Factory accrual(final double phi, final long timeoutUs) {
    return (number, restarts, names, seed, nowUs, network) ->
        new Heartbeats(number, restarts, names, seed, nowUs, network, timeoutUs, phi);
  }

  @Override
  public void tick(final long nowUs) {
    if (nowUs >= nextHeartbeatUs) {
      nextHeartbeatUs = nowUs + HEARTBEAT_INTERVAL_US;
      for (final PeerRecord other : others.values()) {
        network.send(other.name, new Heartbeat(name, incarnationAtStart), HEADER_BYTES);
      }
    }
    for (final PeerRecord other : others.values()) {
      if (other.incarnation > 0 && !other.dead) {
        setDead(other, isTimedOut(other, nowUs - other.lastHeardUs));
      }
    }
  }

  private boolean isTimedOut(final PeerRecord other, final long sinceHeardUs) {
    if (phi == 0 || other.intervalsUs.size() < MIN_INTERVALS) {
      return sinceHeardUs > timeoutUs;
    }
    double sum = 0;
    double squares = 0;
    for (final long interval : other.intervalsUs) {
      sum += interval;
      squares += (double) interval * interval;
    }
    final double mean = sum / other.intervalsUs.size();
    final double deviation =
        Math.max(
            MIN_DEVIATION_US,
            Math.sqrt(Math.max(0, squares / other.intervalsUs.size() - mean * mean)));
    return -Math.log10(upperTailProbability((sinceHeardUs - mean) / deviation)) > phi;
  }

  /**
   * Upper tail probability of the standard normal distribution: the logistic approximation of
   * Bowling et al. 2009, accurate to 0.0002.
   */
  private static double upperTailProbability(final double z) {
    final double e = Math.exp(-z * (1.5976 + 0.070566 * z * z));
    return z > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
  }

  @Override
  public void receive(final Object message, final long nowUs) {
    final Heartbeat heartbeat = (Heartbeat) message;
    final PeerRecord other = others.get(heartbeat.name());
    if (heartbeat.incarnation() >= other.incarnation) {
      if (heartbeat.incarnation() == other.incarnation) {
        other.intervalsUs.add(nowUs - other.lastHeardUs);
        if (other.intervalsUs.size() > MAX_INTERVALS) {
          other.intervalsUs.remove(0);
        }
      }
      recordHeard(other, heartbeat.incarnation(), nowUs);
      setDead(other, false);
    }
  }
}

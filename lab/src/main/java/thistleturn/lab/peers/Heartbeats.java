package thistleturn.lab.peers;

import java.util.List;

/**
 * Everybody tells everybody that it lives, twice a second. Whoever was not heard for a fixed time
 * is dead, or, by accrual, as soon as a silence so long is unlikely enough by the gaps seen before
 * (Hayashibara et al., "The phi accrual failure detector", SRDS 2004: gaps taken for normal).
 */
public final class Heartbeats extends Baseline {
  private static final long BEAT_US = 500 * MS;
  private static final int WINDOW = 100;
  private static final int LEAST_GAPS = 5;

  /** Gaps are not believed to be more regular than that, us. */
  private static final double LEAST_DEVIATION_US = 100 * MS;

  private final long limitUs;
  private final double phi;
  private long nextUs;

  private record Beat(String name, long incarnation) {}

  private Heartbeats(
      final int number,
      final int life,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Wire wire,
      final long limitUs,
      final double phi) {
    super(number, life, names, seed, nowUs, wire);
    this.limitUs = limitUs;
    this.phi = phi;
  }

  /** With a fixed time to death, us. */
  public static Maker fixed(final long limitUs) {
    return (number, life, names, seed, nowUs, wire) ->
        new Heartbeats(number, life, names, seed, nowUs, wire, limitUs, 0);
  }

  /** With that phi, and a time to death, us, before there are gaps to go by. */
  public static Maker accrual(final double phi, final long limitUs) {
    return (number, life, names, seed, nowUs, wire) ->
        new Heartbeats(number, life, names, seed, nowUs, wire, limitUs, phi);
  }

  @Override
  public void tick(final long nowUs) {
    if (nowUs >= nextUs) {
      nextUs = nowUs + BEAT_US;
      for (final Other other : others.values()) {
        wire.send(other.name, new Beat(name, incarnationAtStart), HEAD_BYTES);
      }
    }
    for (final Other other : others.values()) {
      if (other.incarnation > 0 && !other.dead) {
        dead(other, isOver(other, nowUs - other.heardUs));
      }
    }
  }

  private boolean isOver(final Other other, final long silentUs) {
    if (phi == 0 || other.gapsUs.size() < LEAST_GAPS) {
      return silentUs > limitUs;
    }
    double sum = 0;
    double squares = 0;
    for (final long gap : other.gapsUs) {
      sum += gap;
      squares += (double) gap * gap;
    }
    final double mean = sum / other.gapsUs.size();
    final double deviation =
        Math.max(
            LEAST_DEVIATION_US,
            Math.sqrt(Math.max(0, squares / other.gapsUs.size() - mean * mean)));
    return -Math.log10(tail((silentUs - mean) / deviation)) > phi;
  }

  /**
   * The chance that a normal value lies above: the logistic form of Bowling et al. 2009, good to
   * 0.0002.
   */
  private static double tail(final double z) {
    final double e = Math.exp(-z * (1.5976 + 0.070566 * z * z));
    return z > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
  }

  @Override
  public void receive(final Object message, final long nowUs) {
    final Beat beat = (Beat) message;
    final Other other = others.get(beat.name());
    if (beat.incarnation() >= other.incarnation) {
      if (beat.incarnation() == other.incarnation) {
        other.gapsUs.add(nowUs - other.heardUs);
        if (other.gapsUs.size() > WINDOW) {
          other.gapsUs.remove(0);
        }
      }
      heard(other, beat.incarnation(), nowUs);
      dead(other, false);
    }
  }
}

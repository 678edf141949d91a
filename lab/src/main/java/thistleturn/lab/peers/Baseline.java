package thistleturn.lab.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What the rules of others have in common here: all names are known from the start, and each keeps
 * a state of its own for each.
 */
abstract class Baseline implements Contestant {
  static final long MS = 1000;

  /** A datagram without anything piggybacked, with the headers below it. */
  static final int HEAD_BYTES = 80;

  final String name;
  final long incarnationAtStart;
  final SplittableRandom random;
  final Wire wire;
  final Map<String, Other> others = new TreeMap<>();
  private long number;
  private Set<String> members;

  /** One of the others. */
  static final class Other {
    final String name;
    long incarnation;
    boolean dead;

    /** Raised by the life itself to speak against a suspicion. */
    long refuted;

    long suspectUs = -1;
    long heardUs;
    final List<Long> gapsUs = new ArrayList<>();

    Other(final String name) {
      this.name = name;
    }
  }

  Baseline(
      final int number,
      final int life,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Wire wire) {
    this.name = names.get(number);
    this.incarnationAtStart = nowUs + life;
    this.random = new SplittableRandom(seed);
    this.wire = wire;
    for (final String other : names) {
      if (!other.equals(name)) {
        final Other made = new Other(other);
        made.heardUs = nowUs;
        others.put(other, made);
      }
    }
  }

  /** Something of that life came: an earlier one is over, a dead one lives. */
  final void heard(final Other other, final long incarnation, final long nowUs) {
    if (incarnation < other.incarnation) {
      return;
    }
    if (incarnation > other.incarnation) {
      other.incarnation = incarnation;
      other.refuted = 0;
      other.suspectUs = -1;
      other.gapsUs.clear();
      other.dead = false;
      changed();
    }
    other.heardUs = nowUs;
  }

  final void dead(final Other other, final boolean dead) {
    if (other.dead != dead) {
      other.dead = dead;
      changed();
    }
  }

  private void changed() {
    number++;
    members = null;
  }

  @Override
  public String life() {
    return name + '#' + incarnationAtStart;
  }

  @Override
  public String line() {
    // Everybody has a truth of his own.
    return life();
  }

  @Override
  public long number() {
    return number;
  }

  @Override
  public Set<String> members() {
    if (members == null) {
      members =
          others.values().stream()
              .filter(other -> !other.dead && other.incarnation > 0)
              .map(other -> other.name + '#' + other.incarnation)
              .collect(Collectors.toCollection(TreeSet::new));
      members.add(life());
    }
    return members;
  }
}

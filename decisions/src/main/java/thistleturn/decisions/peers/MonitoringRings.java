package thistleturn.decisions.peers;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who watches whom: each courier watches its successor on each of several rings, in which the names
 * lie by lot. In a small fleet everybody watches everybody. All that know the same names draw the
 * same rings, and one that comes or goes moves few places (after Rapid: Suresh et al., USENIX ATC
 * 2018).
 */
final class MonitoringRings {
  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  private MonitoringRings() {}

  /** A lot for a name: FNV-1a over its letters, mixed. */
  static long hash(final String name) {
    long hash = 0xCBF29CE484222325L;
    for (int index = 0; index < name.length(); index++) {
      hash = (hash ^ name.charAt(index)) * 0x100000001B3L;
    }
    return mix(hash);
  }

  /** The finalizer of SplitMix64 (Steele et al. 2014). */
  static long mix(final long value) {
    long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /**
   * The names that a courier watches, of those of the others: {@code most} rings' successors, or
   * all of them if they are so few.
   */
  static Collection<Peer> monitoredBy(final long own, final List<Peer> others, final int most) {
    if (others.size() <= most) {
      return others;
    }
    final Set<Peer> chosen = new LinkedHashSet<>();
    for (int ring = 0; ring < most; ring++) {
      final long turn = GOLDEN * (ring + 1);
      final long from = mix(own ^ turn);
      Peer next = null;
      long least = -1;
      for (final Peer other : others) {
        final long way = mix(other.nameHash ^ turn) - from;
        if (next == null || Long.compareUnsigned(way, least) < 0) {
          next = other;
          least = way;
        }
      }
      chosen.add(next);
    }
    return chosen;
  }
}

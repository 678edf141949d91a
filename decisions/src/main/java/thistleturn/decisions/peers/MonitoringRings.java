package thistleturn.decisions.peers;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Determines which peers a courier monitors: its successor on each of several hash rings of the
 * names. In a small fleet each courier monitors all others. Couriers that know the same names
 * compute the same rings, and a membership change moves few successors (after Rapid: Suresh et al.,
 * USENIX ATC 2018).
 */
final class MonitoringRings {
  /** The increment of SplitMix64; its multiples are the salts of the rings. */
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;

  private MonitoringRings() {}

  /** Returns the hash of a name: FNV-1a over its characters, then {@link #mix}. */
  static long hash(final String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int index = 0; index < name.length(); index++) {
      hash = (hash ^ name.charAt(index)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** The finalizer of SplitMix64 (Steele et al. 2014). */
  static long mix(final long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Returns the peers that a courier monitors: its successors on {@code rings} rings, or all peers
   * if there are no more than {@code rings}.
   */
  static Collection<Peer> monitoredBy(final long ownHash, final List<Peer> peers, final int rings) {
    if (peers.size() <= rings) {
      return peers;
    }
    final Set<Peer> chosen = new LinkedHashSet<>();
    for (int ring = 0; ring < rings; ring++) {
      chosen.add(successor(ownHash, peers, GOLDEN_GAMMA * (ring + 1)));
    }
    return chosen;
  }

  /** Returns the first peer after this courier on one ring. */
  private static Peer successor(final long ownHash, final List<Peer> peers, final long ringSalt) {
    final long ownPosition = mix(ownHash ^ ringSalt);
    Peer nearest = null;
    long leastDistance = -1;
    for (final Peer peer : peers) {
      final long distance = mix(peer.nameHash() ^ ringSalt) - ownPosition;
      if (nearest == null || Long.compareUnsigned(distance, leastDistance) < 0) {
        nearest = peer;
        leastDistance = distance;
      }
    }
    return nearest;
  }
}

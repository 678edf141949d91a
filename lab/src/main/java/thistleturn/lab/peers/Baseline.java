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
 * Common part of the baseline protocols: all names are known from the start, and each process keeps
 * its own state for each peer.
 */
abstract class Baseline implements MembershipNode {
  static final long MS = 1000;

  /** Size of a datagram without piggybacked items, including lower-layer headers. */
  static final int HEADER_BYTES = 80;

  final String name;
  final long incarnationAtStart;
  final SplittableRandom random;
  final Network network;
  final Map<String, PeerRecord> others = new TreeMap<>();
  private long viewNumber;
  private Set<String> members;

  /** State kept for one peer. */
  static final class PeerRecord {
    final String name;
    long incarnation;
    boolean dead;

    /** Refutation counter; the subject itself raises it to refute a suspicion. */
    long refutation;

    long suspectUs = -1;
    long lastHeardUs;
    final List<Long> intervalsUs = new ArrayList<>();

    PeerRecord(final String name) {
      this.name = name;
    }
  }

  Baseline(
      final int number,
      final int restarts,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Network network) {
    this.name = names.get(number);
    this.incarnationAtStart = nowUs + restarts;
    this.random = new SplittableRandom(seed);
    this.network = network;
    for (final String other : names) {
      if (!other.equals(name)) {
        final PeerRecord peer = new PeerRecord(other);
        peer.lastHeardUs = nowUs;
        others.put(other, peer);
      }
    }
  }

  /**
   * Records a message from an incarnation of the peer. A newer incarnation replaces the earlier one
   * and clears its death.
   */
  final void recordHeard(final PeerRecord other, final long incarnation, final long nowUs) {
    if (incarnation < other.incarnation) {
      return;
    }
    if (incarnation > other.incarnation) {
      other.incarnation = incarnation;
      other.refutation = 0;
      other.suspectUs = -1;
      other.intervalsUs.clear();
      other.dead = false;
      onMembersChanged();
    }
    other.lastHeardUs = nowUs;
  }

  final void setDead(final PeerRecord other, final boolean dead) {
    if (other.dead != dead) {
      other.dead = dead;
      onMembersChanged();
    }
  }

  private void onMembersChanged() {
    viewNumber++;
    members = null;
  }

  @Override
  public String id() {
    return name + '#' + incarnationAtStart;
  }

  @Override
  public String viewLineage() {
    // There is no agreed view: each process has its own.
    return id();
  }

  @Override
  public long viewNumber() {
    return viewNumber;
  }

  @Override
  public Set<String> members() {
    if (members == null) {
      members =
          others.values().stream()
              .filter(other -> !other.dead && other.incarnation > 0)
              .map(other -> other.name + '#' + other.incarnation)
              .collect(Collectors.toCollection(TreeSet::new));
      members.add(id());
    }
    return members;
  }
}

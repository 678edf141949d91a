package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Everybody who is known, by name, and what is said of them. What it takes in is ordered by
 * incarnations, rows and beats, so that the same things learnt in any order, once or often, leave
 * the same roll.
 */
final class MembershipTable {
  /** More names than this are not taken in: what a confused fleet may cost is bounded. */
  static final int MAX_PEERS = 2048;

  private static final int MAX_TOMBSTONES = 512;

  /** A life that claims to begin later than a day from now is none. */
  private static final long MAX_INCARNATION_AHEAD_US = 24 * 3_600_000_000L;

  /**
   * A sign of life so old, us, is older than what the end of a connection tells: datagrams on the
   * way are read by then.
   */
  static final long IN_FLIGHT_US = 300_000;

  /**
   * So many must say that one is over, and so many that it is silent; fewer where fewer can see it.
   */
  private static final int ENDED_QUORUM = 2;

  private static final int UNREACHABLE_QUORUM = 3;

  private final GossipSettings settings;
  private final Map<String, Peer> peersByName = new HashMap<>();
  private final long startedUs;
  private final long startIncarnation;
  private List<Peer> alive = List.of();
  private boolean aliveListStale = true;
  private int version;

  MembershipTable(final GossipSettings rules, final long beganIncarnation, final long nowUs) {
    this.settings = rules;
    this.startedUs = nowUs;
    this.startIncarnation = beganIncarnation;
  }

  Peer find(final String name) {
    return peersByName.get(name);
  }

  Collection<Peer> all() {
    return peersByName.values();
  }

  /** Those that neither left nor died, in the order of their names. */
  List<Peer> alive() {
    if (aliveListStale) {
      final List<Peer> next = new ArrayList<>();
      for (final Peer peer : peersByName.values()) {
        if (peer.isAlive()) {
          next.add(peer);
        }
      }
      next.sort(Comparator.comparing((Peer peer) -> peer.id.name()));
      alive = Collections.unmodifiableList(next);
      aliveListStale = false;
    }
    return alive;
  }

  /** Counts up with each change of who is living. */
  int version() {
    return version;
  }

  void onAliveSetChanged() {
    aliveListStale = true;
    version++;
  }

  /** True for a life that can be one. */
  boolean isPlausible(final PeerId id, final long nowUs) {
    return id.incarnation() > 0
        && id.incarnation() <= startIncarnation + (nowUs - startedUs) + MAX_INCARNATION_AHEAD_US
        && !id.name().isEmpty()
        && id.name().length() <= PeerId.MAX_NAME_LENGTH;
  }

  /** Takes in how a life stands. True if that was news. */
  boolean applyUpdate(final GossipItem.MemberUpdate fact, final long nowUs) {
    Peer peer = peersByName.get(fact.id().name());
    if (peer == null) {
      if (peersByName.size() >= MAX_PEERS) {
        return false;
      }
      peer = new Peer(fact.id(), fact.address(), nowUs);
      peer.liveness = fact.liveness();
      peersByName.put(fact.id().name(), peer);
      onAliveSetChanged();
      return true;
    }
    final long known = peer.id.incarnation();
    if (fact.id().incarnation() < known
        || (fact.id().incarnation() == known && fact.liveness().compareTo(peer.liveness) <= 0)) {
      return false;
    }
    if (fact.id().incarnation() > known) {
      peer.startIncarnation(fact.id(), fact.address(), nowUs);
    }
    if (fact.liveness() != GossipItem.Liveness.ALIVE) {
      peer.liveness = fact.liveness();
      peer.livenessSinceUs = nowUs;
      peer.unreachableReports.clear();
      peer.unreachableSinceUs = Peer.NEVER;
    }
    dropReportsBy(peer);
    onAliveSetChanged();
    return true;
  }

  /** What a life said that is over binds nobody. */
  private void dropReportsBy(final Peer observer) {
    for (final Peer subject : peersByName.values()) {
      final Peer.UnreachableReport doubt = subject.unreachableReports.get(observer.id.name());
      if (doubt != null && (!doubt.observer().equals(observer.id) || !observer.isAlive())) {
        subject.unreachableReports.remove(observer.id.name());
        updateUnreachableSince(subject, subject.unreachableSinceUs);
      }
    }
  }

  private static void updateUnreachableSince(final Peer subject, final long nowUs) {
    if (subject.unreachableReports.isEmpty()) {
      subject.unreachableSinceUs = Peer.NEVER;
    } else if (subject.unreachableSinceUs == Peer.NEVER) {
      subject.unreachableSinceUs = nowUs;
    }
  }

  /** Takes in what an observer says of its hearing. True if that was news. */
  boolean applyReport(final GossipItem.ReachabilityReport report, final long nowUs) {
    final Peer subject = peersByName.get(report.subject().name());
    final Peer observer = peersByName.get(report.observer().name());
    if (subject == null
        || !subject.id.equals(report.subject())
        || !subject.isAlive()
        || (observer != null && observer.id.incarnation() > report.observer().incarnation())
        || report.observer().name().equals(report.subject().name())
        || !subject.isNewer(report.observer(), report.version())) {
      return false;
    }
    subject.reportVersions.put(
        report.observer().name(),
        new Peer.ReportVersion(report.observer().incarnation(), report.version()));
    if (report.reachability() == Reachability.HEARD) {
      subject.unreachableReports.remove(report.observer().name());
    } else {
      subject.unreachableReports.put(
          report.observer().name(),
          new Peer.UnreachableReport(
              report.observer(), report.reachability(), nowUs - Math.max(0, report.ageUs())));
    }
    updateUnreachableSince(subject, nowUs);
    return true;
  }

  /** Takes in a sign of life. True if it was a later one than known. */
  boolean recordHeartbeat(final Peer peer, final long beat, final long nowUs) {
    if (beat <= peer.heartbeat) {
      return false;
    }
    peer.heartbeat = beat;
    peer.heartbeatUs = nowUs;
    peer.heartbeatAdvances++;
    return true;
  }

  /** True if a sign of life came lately, or nobody doubted it until lately. */
  boolean hasFreshHeartbeat(final Peer peer, final long nowUs) {
    return nowUs - Math.max(peer.heartbeatUs, peer.unreachableSinceUs)
        <= settings.heartbeatFreshnessUs();
  }

  /** True if it is in doubt, and nothing speaks for it. */
  boolean isSuspect(final Peer peer, final long nowUs) {
    return peer.unreachableSinceUs != Peer.NEVER
        && (!hasFreshHeartbeat(peer, nowUs) || isConfirmedEnded(peer, nowUs));
  }

  /** What is known of one; {@code member}: its life is in the view. */
  PeerState stateOf(final Peer peer, final boolean member, final long nowUs) {
    return switch (peer.liveness) {
      case DEAD -> PeerState.DEAD;
      case LEFT -> PeerState.LEFT;
      case ALIVE ->
          isSuspect(peer, nowUs)
              ? PeerState.SUSPECT
              : !member
                  ? PeerState.JOINING
                  : peer.unreachableSinceUs != Peer.NEVER ? PeerState.PARTLY : PeerState.ALIVE;
    };
  }

  /**
   * True if enough say that the system at its address says that it is over, and nothing of it came
   * since.
   */
  boolean isConfirmedEnded(final Peer peer, final long nowUs) {
    if (peer.unreachableReports.isEmpty()
        || nowUs - Math.max(peer.heartbeatUs, peer.lastReceivedUs) <= IN_FLIGHT_US) {
      return false;
    }
    int voices = 0;
    for (final Peer.UnreachableReport doubt : peer.unreachableReports.values()) {
      voices += doubt.reachability() == Reachability.ENDED ? 1 : 0;
    }
    return voices > 0 && voices >= Math.min(ENDED_QUORUM, countWitnesses(peer, nowUs));
  }

  /** True if enough have not heard it for long enough, and nobody has told a sign of life since. */
  boolean isConfirmedUnreachable(final Peer peer, final String self, final long nowUs) {
    if (peer.unreachableReports.isEmpty() || nowUs - peer.heartbeatUs < settings.deathTimeoutUs()) {
      return false;
    }
    int voices = 0;
    for (final Peer.UnreachableReport doubt : peer.unreachableReports.values()) {
      final Peer observer = peersByName.get(doubt.observer().name());
      final boolean counts =
          doubt.observer().name().equals(self) || (observer != null && !isSuspect(observer, nowUs));
      voices += counts && nowUs - doubt.sinceUs() >= settings.deathTimeoutUs() ? 1 : 0;
    }
    return voices > 0 && voices >= Math.min(UNREACHABLE_QUORUM, countWitnesses(peer, nowUs));
  }

  /**
   * How many can see one, {@link #UNREACHABLE_QUORUM} at most: this courier, and all living ones
   * that nobody doubts or that are heard of by somebody. One that is in doubt here alone is a
   * witness all the same, lest a courier behind a cut needs nobody.
   */
  private int countWitnesses(final Peer subject, final long nowUs) {
    int count = 1;
    for (final Peer other : alive()) {
      if (count >= UNREACHABLE_QUORUM) {
        break;
      }
      count +=
          other != subject
                  && other.heartbeatAdvances > 0
                  && (other.unreachableSinceUs == Peer.NEVER || hasFreshHeartbeat(other, nowUs))
              ? 1
              : 0;
    }
    return count;
  }

  /** Forgets those that ended long ago, and more of them than it keeps. */
  void prune(final long nowUs) {
    int tombs = 0;
    for (final Iterator<Peer> peers = peersByName.values().iterator(); peers.hasNext(); ) {
      final Peer peer = peers.next();
      if (!peer.isAlive()
          && (nowUs - peer.livenessSinceUs > settings.tombstoneRetentionUs()
              || ++tombs > MAX_TOMBSTONES)) {
        peers.remove();
      }
    }
  }

  /** The local clock went on while this process did not. */
  void shiftTimestamps(final long awayUs) {
    peersByName.values().forEach(peer -> peer.shiftTimestamps(awayUs));
  }
}

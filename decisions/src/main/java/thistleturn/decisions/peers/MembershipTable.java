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
 * Holds all known peers by name, and derives their states from the reports about them. Updates are
 * ordered by incarnations, report versions and heartbeats: the same updates applied in any order,
 * once or repeatedly, result in the same table.
 */
final class MembershipTable {
  /** The maximum number of names, which bounds memory when a faulty fleet reports ever new ones. */
  static final int MAX_PEERS = 2048;

  private static final int MAX_TOMBSTONES = 512;

  /** An incarnation that is more than a day ahead of the clock is implausible. */
  private static final long MAX_INCARNATION_AHEAD_US = 24 * 3_600_000_000L;

  /** How many observers must report that a peer ended; fewer if fewer can observe it. */
  private static final int ENDED_QUORUM = 2;

  /** How many observers must report that a peer is silent; fewer if fewer can observe it. */
  private static final int UNREACHABLE_QUORUM = 3;

  private final GossipSettings settings;
  private final Map<String, Peer> peersByName = new HashMap<>();
  private final long startedUs;
  private final long startIncarnation;
  private List<Peer> alive = List.of();
  private boolean aliveListStale = true;
  private int version;

  MembershipTable(final GossipSettings settings, final long startIncarnation, final long nowUs) {
    this.settings = settings;
    this.startedUs = nowUs;
    this.startIncarnation = startIncarnation;
  }

  /** Returns the peer of that name, or null if it is unknown. */
  Peer find(final String name) {
    return peersByName.get(name);
  }

  Collection<Peer> all() {
    return peersByName.values();
  }

  /** Returns the peers that have neither left nor been declared dead, in name order. */
  List<Peer> alive() {
    if (aliveListStale) {
      final List<Peer> next = new ArrayList<>();
      for (final Peer peer : peersByName.values()) {
        if (peer.isAlive()) {
          next.add(peer);
        }
      }
      next.sort(Comparator.comparing(Peer::name));
      alive = Collections.unmodifiableList(next);
      aliveListStale = false;
    }
    return alive;
  }

  /** Returns a number that increases with each change of the set of alive peers. */
  int version() {
    return version;
  }

  // ---------------------------------------------------------------- updates

  /** Returns true if the name and the incarnation number are within their valid ranges. */
  boolean isPlausible(final PeerId id, final long nowUs) {
    final long latest = startIncarnation + (nowUs - startedUs) + MAX_INCARNATION_AHEAD_US;
    return id.incarnation() > 0
        && id.incarnation() <= latest
        && !id.name().isEmpty()
        && id.name().length() <= PeerId.MAX_NAME_LENGTH;
  }

  /**
   * Applies an update of a peer's incarnation or liveness. Returns true if it changed the table.
   */
  boolean applyUpdate(final GossipItem.MemberUpdate update, final long nowUs) {
    final Peer peer = peersByName.get(update.id().name());
    if (peer == null) {
      return add(update, nowUs);
    }
    final long known = peer.id().incarnation();
    final long updated = update.id().incarnation();
    if (updated < known) {
      return false;
    }
    if (updated == known && update.liveness().compareTo(peer.liveness()) <= 0) {
      return false;
    }
    if (updated > known) {
      peer.startIncarnation(update.id(), update.address(), nowUs);
    }
    if (update.liveness() != GossipItem.Liveness.ALIVE) {
      peer.end(update.liveness(), nowUs);
    }
    dropReportsBy(peer);
    onAliveSetChanged();
    return true;
  }

  private boolean add(final GossipItem.MemberUpdate update, final long nowUs) {
    if (peersByName.size() >= MAX_PEERS) {
      return false;
    }
    peersByName.put(update.id().name(), new Peer(update, nowUs));
    onAliveSetChanged();
    return true;
  }

  private void onAliveSetChanged() {
    aliveListStale = true;
    version++;
  }

  /** Removes the reports of an observer's ended incarnations. */
  private void dropReportsBy(final Peer observer) {
    for (final Peer subject : peersByName.values()) {
      final ReachabilityReports.UnreachableReport report = subject.reports().by(observer.name());
      if (report != null && !observer.isAliveAs(report.observer())) {
        subject.reports().removeBy(observer.name());
      }
    }
  }

  /** Removes all reports of one observer. */
  void dropAllReportsBy(final String observer) {
    for (final Peer subject : peersByName.values()) {
      subject.reports().removeBy(observer);
    }
  }

  /** Applies an observer's report about a peer. Returns true if it changed the table. */
  boolean applyReport(final GossipItem.ReachabilityReport report, final long nowUs) {
    final Peer subject = peersByName.get(report.subject().name());
    final Peer observer = peersByName.get(report.observer().name());
    if (subject == null || !subject.isAliveAs(report.subject())) {
      return false;
    }
    if (observer != null && observer.id().incarnation() > report.observer().incarnation()) {
      return false;
    }
    if (report.observer().name().equals(report.subject().name())
        || !subject.reports().isNewer(report.observer(), report.version())) {
      return false;
    }
    subject.reports().apply(report, nowUs);
    return true;
  }

  /**
   * Removes peers whose tombstone expired, and those that exceed the maximum number of tombstones.
   */
  void prune(final long nowUs) {
    int tombstones = 0;
    for (final Iterator<Peer> peers = peersByName.values().iterator(); peers.hasNext(); ) {
      final Peer peer = peers.next();
      if (!peer.isAlive()
          && (nowUs - peer.livenessSinceUs() > settings.tombstoneRetentionUs()
              || ++tombstones > MAX_TOMBSTONES)) {
        peers.remove();
      }
    }
  }

  /** Shifts timestamps forward by a pause of this process. */
  void shiftTimestamps(final long pauseUs) {
    peersByName.values().forEach(peer -> peer.shiftTimestamps(pauseUs));
  }

  // ---------------------------------------------------------------- derived state

  /**
   * Returns true if, within the freshness interval, the heartbeat advanced or the first report of
   * unreachability arrived.
   */
  private boolean hasFreshHeartbeat(final Peer peer, final long nowUs) {
    return nowUs - Math.max(peer.heartbeatUs(), peer.reports().unreachableSinceUs())
        <= settings.heartbeatFreshnessUs();
  }

  /**
   * Returns true if the peer is reported unreachable and either has no fresh heartbeat or is
   * confirmed as ended.
   */
  boolean isSuspect(final Peer peer, final long nowUs) {
    return peer.reports().isReportedUnreachable()
        && (!hasFreshHeartbeat(peer, nowUs) || isConfirmedEnded(peer, nowUs));
  }

  /** Returns true if that incarnation is the latest one of its name, alive and not suspect. */
  boolean isHealthy(final PeerId id, final long nowUs) {
    final Peer peer = peersByName.get(id.name());
    return peer != null && peer.isAliveAs(id) && !isSuspect(peer, nowUs);
  }

  /**
   * Returns the state of a peer, which depends on whether its incarnation is a member of the view.
   */
  PeerState stateOf(final Peer peer, final boolean isMember, final long nowUs) {
    return switch (peer.liveness()) {
      case DEAD -> PeerState.DEAD;
      case LEFT -> PeerState.LEFT;
      case ALIVE -> stateOfAlive(peer, isMember, nowUs);
    };
  }

  private PeerState stateOfAlive(final Peer peer, final boolean isMember, final long nowUs) {
    if (isSuspect(peer, nowUs)) {
      return PeerState.SUSPECT;
    }
    if (!isMember) {
      return PeerState.JOINING;
    }
    return peer.reports().isReportedUnreachable() ? PeerState.PARTLY : PeerState.ALIVE;
  }

  /**
   * Returns true if enough observers report that the peer's process ended, and neither a packet nor
   * a heartbeat of it arrived within {@link PeerMonitor#MAX_IN_FLIGHT_US}.
   */
  boolean isConfirmedEnded(final Peer peer, final long nowUs) {
    if (!peer.reports().isReportedUnreachable()
        || nowUs - Math.max(peer.heartbeatUs(), peer.monitor().lastReceivedUs())
            <= PeerMonitor.MAX_IN_FLIGHT_US) {
      return false;
    }
    int votes = 0;
    for (final ReachabilityReports.UnreachableReport report : peer.reports().all()) {
      votes += report.reachability() == Reachability.ENDED ? 1 : 0;
    }
    return votes > 0 && votes >= Math.min(ENDED_QUORUM, countPossibleObservers(peer, nowUs));
  }

  /**
   * Returns true if enough observers have not reached the peer for the death timeout, and no
   * heartbeat of it arrived in that time.
   */
  boolean isConfirmedUnreachable(final Peer peer, final String self, final long nowUs) {
    if (!peer.reports().isReportedUnreachable()
        || nowUs - peer.heartbeatUs() < settings.deathTimeoutUs()) {
      return false;
    }
    int votes = 0;
    for (final ReachabilityReports.UnreachableReport report : peer.reports().all()) {
      final boolean isOld = nowUs - report.sinceUs() >= settings.deathTimeoutUs();
      votes += isOld && isTrusted(report.observer().name(), self, nowUs) ? 1 : 0;
    }
    return votes > 0 && votes >= Math.min(UNREACHABLE_QUORUM, countPossibleObservers(peer, nowUs));
  }

  /** Returns true for this courier, and for observers that are not suspect. */
  private boolean isTrusted(final String observerName, final String self, final long nowUs) {
    if (observerName.equals(self)) {
      return true;
    }
    final Peer observer = peersByName.get(observerName);
    return observer != null && !isSuspect(observer, nowUs);
  }

  /**
   * Counts the couriers that can observe a peer, up to {@link #UNREACHABLE_QUORUM}: this courier,
   * and all alive peers that are reachable or have a fresh heartbeat. A peer that only this courier
   * cannot reach counts as well; otherwise a courier behind a network partition would need no
   * other's agreement.
   */
  private int countPossibleObservers(final Peer subject, final long nowUs) {
    int count = 1;
    for (final Peer other : alive()) {
      if (count >= UNREACHABLE_QUORUM) {
        break;
      }
      final boolean isReachable =
          !other.reports().isReportedUnreachable() || hasFreshHeartbeat(other, nowUs);
      count += other != subject && other.heartbeatAdvances() > 0 && isReachable ? 1 : 0;
    }
    return count;
  }
}

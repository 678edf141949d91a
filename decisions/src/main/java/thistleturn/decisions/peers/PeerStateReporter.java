package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Reports the state of all peers to operators: changes as events, and snapshots on request. */
final class PeerStateReporter {
  private final LocalPeer local;
  private final MembershipTable table;
  private final ViewManager views;
  private final PeerActions actions;

  PeerStateReporter(
      final LocalPeer local,
      final MembershipTable table,
      final ViewManager views,
      final PeerActions actions) {
    this.local = local;
    this.table = table;
    this.views = views;
    this.actions = actions;
  }

  /** Publishes an event for each peer whose state changed. */
  void publishChanges(final long nowUs) {
    for (final Peer peer : table.all()) {
      final PeerState state = stateOf(peer, nowUs);
      if (peer.publish(state, nowUs)) {
        actions.onEvent(
            new PeerEvent(PeerEvent.Type.PEER_STATE, peer.name(), describe(peer, state)));
      }
    }
  }

  private PeerState stateOf(final Peer peer, final long nowUs) {
    return table.stateOf(peer, views.isMember(peer.id()), nowUs);
  }

  private static String describe(final Peer peer, final PeerState state) {
    return switch (state) {
      case JOINING -> "joins, at " + peer.address();
      case ALIVE -> "is alive";
      case PARTLY -> "is reached by some, not by " + String.join(", ", peer.reports().observers());
      case SUSPECT -> "is suspect: not reached by " + String.join(", ", peer.reports().observers());
      case DEAD -> "is dead by agreement";
      case LEFT -> "has left";
    };
  }

  /** Returns a snapshot of each peer. */
  List<PeerSnapshot> snapshots(final long nowUs) {
    final List<PeerSnapshot> snapshots = new ArrayList<>();
    for (final Peer peer : table.all()) {
      snapshots.add(snapshot(peer, nowUs));
    }
    return snapshots;
  }

  private PeerSnapshot snapshot(final Peer peer, final long nowUs) {
    final List<PeerSnapshot.UnreachableReport> reports = new ArrayList<>();
    for (final ReachabilityReports.UnreachableReport report : peer.reports().all()) {
      reports.add(
          new PeerSnapshot.UnreachableReport(
              report.observer().name(), report.reachability(), nowUs - report.sinceUs()));
    }
    Collections.sort(reports);
    return new PeerSnapshot(
        peer.id(),
        peer.address(),
        stateOf(peer, nowUs),
        nowUs - peer.publishedStateSinceUs(),
        reports,
        localReachability(peer),
        peer.monitor().roundTripUs(),
        peer.status());
  }

  /**
   * Returns this courier's own observation, or null if it does not monitor the peer or has received
   * nothing from it.
   */
  private Reachability localReachability(final Peer peer) {
    final ReachabilityReports.UnreachableReport own = peer.reports().by(local.name());
    if (own != null) {
      return own.reachability();
    }
    return peer.monitor().isMonitored() && peer.monitor().hasReceived() ? Reachability.HEARD : null;
  }
}

package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Exchanges the full state over connections: periodically with a random peer, and with peers whose
 * view id shows that they or this courier lack view changes. It compensates for lost gossip.
 */
final class FullStateExchange {
  /**
   * The interval of sending the full state to a random peer; longer in larger fleets, where the
   * state is larger.
   */
  private static final long FULL_STATE_INTERVAL_US = 10_000_000;

  private static final int PEERS_PER_FULL_STATE_INTERVAL = 100;
  private static final long FULL_STATE_REQUEST_INTERVAL_US = 500_000;

  private final LocalPeer local;
  private final MembershipTable table;
  private final ViewManager views;
  private final PacketSender sender;
  private final SplittableRandom random;
  private final PeerActions actions;
  private long nextFullStateUs;
  private long lastRequestUs;

  FullStateExchange(
      final LocalPeer local,
      final MembershipTable table,
      final ViewManager views,
      final PacketSender sender,
      final SplittableRandom random,
      final PeerActions actions,
      final long nowUs) {
    this.local = local;
    this.table = table;
    this.views = views;
    this.sender = sender;
    this.random = random;
    this.actions = actions;
    this.nextFullStateUs = nowUs + FULL_STATE_INTERVAL_US;
  }

  /** Sends the full state to a random peer if that is due. */
  void tick(final long nowUs) {
    final List<Peer> alive = table.alive();
    if (nowUs < nextFullStateUs || alive.isEmpty()) {
      return;
    }
    final long intervalUs =
        FULL_STATE_INTERVAL_US * Math.max(1, alive.size() / PEERS_PER_FULL_STATE_INTERVAL);
    nextFullStateUs = nowUs + intervalUs + random.nextLong(FULL_STATE_INTERVAL_US / 4);
    send(alive.get(random.nextInt(alive.size())).address(), nowUs);
  }

  /** Handles a peer's request for the full state. */
  void onRequest(final Peer peer, final String address, final long nowUs) {
    if (peer.exchange().takeFullStateTurn(nowUs)) {
      send(address, nowUs);
    }
  }

  /**
   * Handles the id of the view that a peer holds: requests the full state if this courier is
   * behind, and sends the missing decisions if the peer is.
   */
  void onViewId(final Peer peer, final ViewId theirs, final long nowUs) {
    if (views.wantsFullState(theirs, nowUs)) {
      requestFullState(peer, nowUs);
    } else if (isBehind(theirs) && peer.exchange().takeDecisionsTurn(nowUs)) {
      sendMissingDecisions(peer, theirs, nowUs);
    }
  }

  private boolean isBehind(final ViewId theirs) {
    final ViewId ours = views.viewId();
    return theirs.isPresent() && theirs.isSameLineage(ours) && theirs.number() < ours.number();
  }

  private void requestFullState(final Peer peer, final long nowUs) {
    if (nowUs - lastRequestUs >= FULL_STATE_REQUEST_INTERVAL_US) {
      lastRequestUs = nowUs;
      sender.sendItems(peer.address(), List.of(new GossipItem.FullStateRequest()));
    }
  }

  private void sendMissingDecisions(final Peer peer, final ViewId theirs, final long nowUs) {
    final List<GossipItem> decisions = views.decisionsSince(theirs);
    if (decisions.isEmpty()) {
      send(peer.address(), nowUs);
    } else {
      sender.sendItems(peer.address(), decisions);
    }
  }

  private void send(final String to, final long nowUs) {
    final List<GossipItem> items = new ArrayList<>();
    table.all().forEach(peer -> addItems(peer, items, nowUs));
    actions.sendFullState(
        to, new FullStateMessage(local.id(), local.address(), views.view(), items));
  }

  private static void addItems(final Peer peer, final List<GossipItem> items, final long nowUs) {
    items.add(peer.toUpdate());
    if (peer.statusVersion() > 0) {
      items.add(new GossipItem.StatusUpdate(peer.id(), peer.statusVersion(), peer.status()));
    }
    for (final ReachabilityReports.UnreachableReport report : peer.reports().all()) {
      final Long version = peer.reports().versionBy(report.observer().name());
      if (version != null) {
        items.add(
            new GossipItem.ReachabilityReport(
                report.observer(),
                peer.id(),
                version,
                report.reachability(),
                nowUs - report.sinceUs()));
      }
    }
  }
}

package thistleturn.decisions.peers;

import java.util.List;

/** Applies received gossip items to the parts of the state that they concern. */
final class GossipReceiver {
  private final LocalPeer local;
  private final MembershipTable table;
  private final ViewManager views;
  private final PacketSender sender;
  private final HeartbeatForwarder heartbeats;
  private final FullStateExchange fullStates;
  private final NameConflictGuard nameConflicts;

  /** The sender of an item, and the address on which it listens. */
  record Origin(PeerId sender, String address) {}

  GossipReceiver(
      final LocalPeer local,
      final MembershipTable table,
      final ViewManager views,
      final PacketSender sender,
      final HeartbeatForwarder heartbeats,
      final FullStateExchange fullStates,
      final NameConflictGuard nameConflicts) {
    this.local = local;
    this.table = table;
    this.views = views;
    this.sender = sender;
    this.heartbeats = heartbeats;
    this.fullStates = fullStates;
    this.nameConflicts = nameConflicts;
  }

  /**
   * Applies an item of a packet. While another process uses this courier's name, only updates of
   * that name are applied.
   */
  void onItem(final GossipItem item, final Origin origin, final long nowUs) {
    if (item instanceof GossipItem.MemberUpdate update) {
      onMemberUpdate(update, nowUs);
    } else if (nameConflicts.hasRival()) {
      return;
    } else if (item instanceof GossipItem.ReachabilityReport report) {
      onReachabilityReport(report, nowUs);
    } else if (item instanceof GossipItem.Heartbeat heartbeat) {
      onHeartbeat(heartbeat, nowUs);
    } else if (item instanceof GossipItem.StatusUpdate update) {
      onStatusUpdate(update);
    } else if (item instanceof GossipItem.FullStateRequest) {
      onFullStateRequest(origin, nowUs);
    } else if (item instanceof GossipItem.ViewDecision decision) {
      onViewDecision(decision, nowUs);
    } else if (item instanceof GossipItem.PaxosMessage message) {
      onPaxosMessage(message, origin, nowUs);
    }
  }

  /** Applies an item of a full state, which holds only updates, reports and statuses of peers. */
  void onFullStateItem(final GossipItem item, final Origin origin, final long nowUs) {
    if (item instanceof GossipItem.MemberUpdate
        || item instanceof GossipItem.ReachabilityReport
        || item instanceof GossipItem.StatusUpdate) {
      onItem(item, origin, nowUs);
    }
  }

  private void onMemberUpdate(final GossipItem.MemberUpdate update, final long nowUs) {
    if (update.id().name().equals(local.name())) {
      nameConflicts.onOwnName(update, nowUs);
    } else if (!nameConflicts.hasRival() && table.isPlausible(update.id(), nowUs)) {
      sender.forward(update, table.applyUpdate(update, nowUs));
    }
  }

  private void onReachabilityReport(final GossipItem.ReachabilityReport report, final long nowUs) {
    if (report.observer().name().equals(local.name())) {
      return;
    }
    final boolean isNew = table.applyReport(report, nowUs);
    sender.forward(report, isNew);
    if (isNew && report.reachability() == Reachability.SILENT) {
      final Peer subject = table.find(report.subject().name());
      if (subject.heartbeat() > 0) {
        // The observer may not have received the heartbeat that is known here.
        heartbeats.forward(subject);
      }
    }
  }

  private void onHeartbeat(final GossipItem.Heartbeat heartbeat, final long nowUs) {
    final Peer peer = table.find(heartbeat.id().name());
    if (peer != null && peer.isAliveAs(heartbeat.id())) {
      heartbeats.onHeartbeat(peer, heartbeat.count(), nowUs);
    }
  }

  private void onStatusUpdate(final GossipItem.StatusUpdate update) {
    final Peer peer = table.find(update.id().name());
    if (peer != null && peer.id().equals(update.id())) {
      onStatus(peer, update.version(), update.status());
    }
  }

  /** Records a peer's report about itself, and forwards it if it is new. */
  void onStatus(final Peer peer, final long version, final PeerStatus status) {
    if (peer.recordStatus(version, status)) {
      sender.forwardStatus(new GossipItem.StatusUpdate(peer.id(), version, status));
    }
  }

  private void onFullStateRequest(final Origin origin, final long nowUs) {
    final Peer peer = table.find(origin.sender().name());
    if (peer != null) {
      fullStates.onRequest(peer, origin.address(), nowUs);
    }
  }

  private void onViewDecision(final GossipItem.ViewDecision decision, final long nowUs) {
    if (!views.onDecision(decision, nowUs)) {
      sender.forward(decision, false);
    }
  }

  private void onPaxosMessage(
      final GossipItem.PaxosMessage message, final Origin origin, final long nowUs) {
    final GossipItem.PaxosMessage answer = views.onPaxosMessage(origin.sender(), message, nowUs);
    if (answer != null) {
      sender.sendItems(origin.address(), List.of(answer));
    }
  }
}

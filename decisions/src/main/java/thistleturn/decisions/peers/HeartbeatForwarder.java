package thistleturn.decisions.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Forwards heartbeats of peers that some observer cannot reach, or that have not joined yet. They
 * go to random peers with the next tick, since answers to pings would only reach the same few peers
 * repeatedly.
 */
final class HeartbeatForwarder {
  private static final int MAX_FORWARDED_HEARTBEATS = 8;

  private final ViewManager views;
  private final Map<String, GossipItem.Heartbeat> pendingByName = new LinkedHashMap<>();

  HeartbeatForwarder(final ViewManager views) {
    this.views = views;
  }

  /** Records a heartbeat, and forwards it if others may depend on it. */
  void onHeartbeat(final Peer peer, final long count, final long nowUs) {
    if (peer.recordHeartbeat(count, nowUs)
        && (peer.reports().isReportedUnreachable() || !views.isMember(peer.id()))
        && peer.exchange().takeHeartbeatTurn(nowUs)) {
      forward(peer);
    }
  }

  /** Schedules the latest known heartbeat of a peer for forwarding. */
  void forward(final Peer peer) {
    pendingByName.put(peer.name(), new GossipItem.Heartbeat(peer.id(), peer.heartbeat()));
  }

  /** Returns the heartbeats to send now; the others are dropped, since later heartbeats follow. */
  List<GossipItem.Heartbeat> drain() {
    final List<GossipItem.Heartbeat> due =
        pendingByName.values().stream().limit(MAX_FORWARDED_HEARTBEATS).toList();
    pendingByName.clear();
    return due;
  }
}

package thistleturn.decisions.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Forwards heartbeats of peers that somebody does not reach, or that are yet to join. They go to
 * random peers with the next tick; answers alone would reach the same ones again and again.
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

  /** Forwards the latest heartbeat known of a peer. */
  void forward(final Peer peer) {
    pendingByName.put(peer.name(), new GossipItem.Heartbeat(peer.id(), peer.heartbeat()));
  }

  /** Returns the heartbeats to send now; the rest is dropped, since later ones follow. */
  List<GossipItem.Heartbeat> drain() {
    final List<GossipItem.Heartbeat> due =
        pendingByName.values().stream().limit(MAX_FORWARDED_HEARTBEATS).toList();
    pendingByName.clear();
    return due;
  }
}

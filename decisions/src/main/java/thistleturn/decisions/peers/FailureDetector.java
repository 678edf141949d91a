package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This courier's own hearing of those that it watches: it asks them now and then, holds a
 * connection to each, and says which of them it does not hear. Two kinds of evidence are kept
 * apart. Silence proves little and is given time. A connection that ends without farewell, and
 * another one that ends before its greeting, is the word of the system at that address that the
 * process is over: a process that stands still keeps its connections, and the system goes on taking
 * new ones for it.
 */
final class FailureDetector {
  /**
   * Heard again for so long, us, without a gap, it is no longer called silent: a lossy way does not
   * flap.
   */
  private static final long STABLE_RECEPTION_US = 1_000_000;

  /**
   * How long a connection that nobody answers is waited for before the next one, and how long one
   * that just ended, us.
   */
  private static final long CONNECT_RETRY_US = 1_000_000;

  private static final long RECONNECT_DELAY_US = 100_000;

  /**
   * Connections that ended without a greeting, one after the other, that are proof: the second
   * cannot be a reset under way.
   */
  private static final int ENDED_CONNECTION_FAILURES = 2;

  /**
   * Own lateness widens the time to silence: by half for each step (after Lifeguard: Dadgar et al.,
   * DSN 2018).
   */
  private static final int MAX_DELAY_SCORE = 4;

  private static final long DELAY_SCORE_DECAY_US = 2_000_000;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final PeerActions actions;
  private final Consumer<GossipItem.ReachabilityReport> reportSink;
  private final long nameHash;
  private PeerId self;
  private final Set<Peer> monitored = new LinkedHashSet<>();
  private int seenTableVersion = -1;
  private long reportVersion;
  private int delayScore;
  private long delayScoreChangedUs;

  FailureDetector(
      final GossipSettings rules,
      final MembershipTable roll,
      final PeerId self,
      final PeerActions out,
      final Consumer<GossipItem.ReachabilityReport> tell) {
    this.settings = rules;
    this.table = roll;
    this.self = self;
    this.nameHash = MonitoringRings.hash(self.name());
    this.actions = out;
    this.reportSink = tell;
  }

  /** Another life of this courier watches on; what the earlier one said is void with it. */
  void startIncarnation(final PeerId next) {
    self = next;
  }

  /**
   * This process did not run for that long: it accuses nobody on waking, and trusts its own hearing
   * less for a while.
   */
  void onProcessPaused(final long nowUs) {
    delayScore = Math.min(MAX_DELAY_SCORE, delayScore + 1);
    delayScoreChangedUs = nowUs;
    for (final Peer peer : monitored) {
      final Peer.UnreachableReport own = peer.unreachableReports.get(self.name());
      if (own != null && own.reachability() == Reachability.SILENT) {
        report(peer, Reachability.HEARD, nowUs, nowUs);
      }
    }
  }

  /** Who is watched now. */
  Set<Peer> monitored() {
    return monitored;
  }

  /** Something of it was read here, sent after all that was read before. */
  void recordReceived(final Peer peer, final long nowUs) {
    if (nowUs - peer.lastReceivedUs > settings.silenceTimeoutUs()) {
      peer.receivingSinceUs = nowUs;
    }
    peer.lastReceivedUs = nowUs;
    if (peer.failedConnections > 0
        && nowUs - peer.firstFailedConnectionUs > MembershipTable.IN_FLIGHT_US) {
      // Its connections end, and it lives all the same.
      peer.failedConnections = 0;
    }
  }

  /** Goes through those that are watched, and says who is to be asked now. */
  List<Peer> tick(final long nowUs) {
    if (seenTableVersion != table.version()) {
      seenTableVersion = table.version();
      updateMonitored(nowUs);
    }
    if (delayScore > 0 && nowUs - delayScoreChangedUs > DELAY_SCORE_DECAY_US) {
      delayScore--;
      delayScoreChangedUs = nowUs;
    }
    final List<Peer> due = new ArrayList<>();
    final long silentUs =
        settings.silenceTimeoutUs() + delayScore * settings.silenceTimeoutUs() / 2;
    for (final Peer peer : monitored) {
      if (nowUs >= peer.nextProbeUs) {
        peer.nextProbeUs =
            Math.max(
                peer.nextProbeUs + settings.probeIntervalUs(),
                nowUs + settings.probeIntervalUs() / 2);
        due.add(peer);
      }
      if (!peer.connected && nowUs >= peer.nextConnectUs) {
        peer.nextConnectUs = nowUs + CONNECT_RETRY_US;
        disconnect(peer);
        peer.connectionAddress = peer.address;
        actions.connect(peer.address);
      }
      evaluate(peer, silentUs, nowUs);
    }
    return due;
  }

  private void evaluate(final Peer peer, final long silentUs, final long nowUs) {
    final Peer.UnreachableReport own = peer.unreachableReports.get(self.name());
    final long since = Math.max(peer.lastReceivedUs, peer.monitoredSinceUs);
    final boolean over = peer.failedConnections >= ENDED_CONNECTION_FAILURES && !peer.connected;
    if (over) {
      if (own == null || own.reachability() != Reachability.ENDED) {
        report(peer, Reachability.ENDED, nowUs, nowUs);
      }
    } else if (nowUs - since > silentUs) {
      if (own == null || own.reachability() != Reachability.SILENT) {
        report(peer, Reachability.SILENT, own == null ? since : own.sinceUs(), nowUs);
      }
    } else if (own != null
        && nowUs - Math.max(peer.receivingSinceUs, peer.monitoredSinceUs) >= STABLE_RECEPTION_US) {
      report(peer, Reachability.HEARD, nowUs, nowUs);
    }
  }

  private void report(
      final Peer peer, final Reachability sight, final long sinceUs, final long nowUs) {
    reportSink.accept(
        new GossipItem.ReachabilityReport(self, peer.id, ++reportVersion, sight, nowUs - sinceUs));
  }

  /** A connection to that address was greeted by a life. */
  void onConnectionGreeted(final Peer peer, final PeerId by, final long nowUs) {
    if (by.name().equals(peer.id.name())) {
      peer.connected = true;
      peer.failedConnections = 0;
      peer.nextConnectUs = Peer.NEVER;
    } else {
      // Its address is another's now.
      recordFailedConnection(peer, nowUs);
      peer.nextConnectUs = nowUs + CONNECT_RETRY_US;
      disconnect(peer);
    }
  }

  /** A connection there ended, or was refused. */
  void onConnectionClosed(final Peer peer, final long nowUs) {
    if (peer.connected) {
      // It may have been the way that broke; the next one tells.
      peer.connected = false;
      peer.failedConnections = 0;
      peer.firstFailedConnectionUs = nowUs;
    } else {
      recordFailedConnection(peer, nowUs);
    }
    peer.nextConnectUs =
        nowUs
            + RECONNECT_DELAY_US
                * Math.min(
                    CONNECT_RETRY_US / RECONNECT_DELAY_US, Math.max(1, peer.failedConnections));
  }

  private static void recordFailedConnection(final Peer peer, final long nowUs) {
    if (peer.failedConnections == 0 && nowUs - peer.firstFailedConnectionUs > CONNECT_RETRY_US) {
      peer.firstFailedConnectionUs = nowUs;
    }
    peer.failedConnections++;
  }

  private void disconnect(final Peer peer) {
    if (peer.connectionAddress != null) {
      actions.disconnect(peer.connectionAddress);
      peer.connectionAddress = null;
    }
    peer.connected = false;
  }

  /** A connection there came to nothing without anybody's word. */
  void onConnectionUnanswered(final Peer peer, final long nowUs) {
    peer.failedConnections = 0;
    peer.connected = false;
    peer.nextConnectUs = nowUs + CONNECT_RETRY_US / 2;
  }

  /** Whom the rings give to watch, and whom no more. */
  private void updateMonitored(final long nowUs) {
    final Set<Peer> next =
        new LinkedHashSet<>(
            MonitoringRings.monitoredBy(nameHash, table.alive(), settings.maxMonitored()));
    int place = 0;
    for (final Peer peer : next) {
      if (peer.connectionAddress != null && !peer.connectionAddress.equals(peer.address)) {
        disconnect(peer);
      }
      if (!peer.monitored) {
        peer.monitored = true;
        peer.monitoredSinceUs = nowUs;
        peer.nextProbeUs = nowUs + place++ * settings.tickIntervalUs() % settings.probeIntervalUs();
        peer.nextConnectUs = Peer.NEVER;
      }
    }
    for (final Peer peer : monitored) {
      if (!next.contains(peer)) {
        peer.monitored = false;
        peer.failedConnections = 0;
        disconnect(peer);
        if (peer.unreachableReports.containsKey(self.name())) {
          report(peer, Reachability.HEARD, nowUs, nowUs);
        }
      }
    }
    monitored.clear();
    monitored.addAll(next);
  }
}

package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This courier's own failure detection for the peers that it monitors: it probes them, holds a
 * connection to each, and reports which it does not reach. Two kinds of evidence are kept apart.
 * Silence proves little and is given time. A connection that ends without farewell, followed by
 * another that ends before its greeting, is the statement of the operating system at that address
 * that the process ended: a paused process keeps its connections, and the system goes on accepting
 * new ones for it.
 */
final class FailureDetector {
  /**
   * A peer is reported reachable again once it was received for so long without a gap, so that a
   * lossy network does not flap.
   */
  private static final long STABLE_RECEPTION_US = 1_000_000;

  /**
   * Own pauses extend the silence timeout, by half of it for each point (after Lifeguard: Dadgar et
   * al., DSN 2018).
   */
  private static final int MAX_DELAY_SCORE = 4;

  /** After so long without a pause the delay score falls by one. */
  private static final long DELAY_SCORE_DECAY_US = 2_000_000;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final PeerActions actions;
  private final Consumer<GossipItem.ReachabilityReport> reportSink;
  private final long nameHash;
  private final Set<Peer> monitored = new LinkedHashSet<>();
  private PeerId self;
  private int seenTableVersion = -1;
  private long reportVersion;
  private int delayScore;
  private long delayScoreChangedUs;

  FailureDetector(
      final GossipSettings settings,
      final MembershipTable table,
      final PeerId self,
      final PeerActions actions,
      final Consumer<GossipItem.ReachabilityReport> reportSink) {
    this.settings = settings;
    this.table = table;
    this.self = self;
    this.nameHash = MonitoringRings.hash(self.name());
    this.actions = actions;
    this.reportSink = reportSink;
  }

  /**
   * Continues under another incarnation of this courier; what the previous one reported is void
   * with it.
   */
  void startIncarnation(final PeerId next) {
    self = next;
  }

  /** Returns the peers that are monitored now. */
  Set<Peer> monitored() {
    return monitored;
  }

  /** Returns the monitored peer whose connection goes to that address; null: none. */
  Peer findByConnection(final String address) {
    for (final Peer peer : monitored) {
      if (address.equals(peer.monitor().connectionAddress())) {
        return peer;
      }
    }
    return null;
  }

  /** Ends the connections to all monitored peers. */
  void disconnectAll() {
    monitored.forEach(peer -> actions.disconnect(peer.address()));
  }

  // ---------------------------------------------------------------- time

  /**
   * This process did not run for a while: it accuses no peer on waking, and allows for more silence
   * until it runs steadily.
   */
  void onProcessPaused(final long nowUs) {
    delayScore = Math.min(MAX_DELAY_SCORE, delayScore + 1);
    delayScoreChangedUs = nowUs;
    for (final Peer peer : monitored) {
      final ReachabilityReports.UnreachableReport own = ownReport(peer);
      if (own != null && own.reachability() == Reachability.SILENT) {
        report(peer, Reachability.HEARD, nowUs, nowUs);
      }
    }
  }

  /**
   * Reports changes, connects where no connection is held, and returns the peers that are to be
   * probed now.
   */
  List<Peer> tick(final long nowUs) {
    if (seenTableVersion != table.version()) {
      seenTableVersion = table.version();
      updateMonitored(nowUs);
    }
    decayDelayScore(nowUs);
    final List<Peer> due = new ArrayList<>();
    final long silenceTimeoutUs =
        settings.silenceTimeoutUs() + delayScore * settings.silenceTimeoutUs() / 2;
    for (final Peer peer : monitored) {
      if (peer.monitor().takeProbeTurn(settings.probeIntervalUs(), nowUs)) {
        due.add(peer);
      }
      if (peer.monitor().isConnectDue(nowUs)) {
        disconnect(peer);
        peer.monitor().startConnecting(peer.address(), nowUs);
        actions.connect(peer.address());
      }
      evaluate(peer, silenceTimeoutUs, nowUs);
    }
    return due;
  }

  private void decayDelayScore(final long nowUs) {
    if (delayScore > 0 && nowUs - delayScoreChangedUs > DELAY_SCORE_DECAY_US) {
      delayScore--;
      delayScoreChangedUs = nowUs;
    }
  }

  /** Reports a peer if this courier's finding about it changed. */
  private void evaluate(final Peer peer, final long silenceTimeoutUs, final long nowUs) {
    final ReachabilityReports.UnreachableReport own = ownReport(peer);
    final PeerMonitor monitor = peer.monitor();
    if (monitor.isProvenEnded()) {
      if (own == null || own.reachability() != Reachability.ENDED) {
        report(peer, Reachability.ENDED, nowUs, nowUs);
      }
    } else if (nowUs - monitor.silentSinceUs() > silenceTimeoutUs) {
      if (own == null || own.reachability() != Reachability.SILENT) {
        report(
            peer,
            Reachability.SILENT,
            own == null ? monitor.silentSinceUs() : own.sinceUs(),
            nowUs);
      }
    } else if (own != null && nowUs - monitor.stableSinceUs() >= STABLE_RECEPTION_US) {
      report(peer, Reachability.HEARD, nowUs, nowUs);
    }
  }

  private ReachabilityReports.UnreachableReport ownReport(final Peer peer) {
    return peer.reports().by(self.name());
  }

  private void report(
      final Peer peer, final Reachability reachability, final long sinceUs, final long nowUs) {
    reportVersion++;
    reportSink.accept(
        new GossipItem.ReachabilityReport(
            self, peer.id(), reportVersion, reachability, nowUs - sinceUs));
  }

  /** Applies a change of the monitoring rings. */
  private void updateMonitored(final long nowUs) {
    final Set<Peer> next =
        new LinkedHashSet<>(
            MonitoringRings.monitoredBy(nameHash, table.alive(), settings.maxMonitored()));
    int started = 0;
    for (final Peer peer : next) {
      final String connectionAddress = peer.monitor().connectionAddress();
      if (connectionAddress != null && !connectionAddress.equals(peer.address())) {
        disconnect(peer);
      }
      if (!peer.monitor().isMonitored()) {
        // First probes are spread over the interval.
        final long offsetUs = started * settings.tickIntervalUs() % settings.probeIntervalUs();
        peer.monitor().start(nowUs, nowUs + offsetUs);
        started++;
      }
    }
    for (final Peer peer : monitored) {
      if (!next.contains(peer)) {
        stopMonitoring(peer, nowUs);
      }
    }
    monitored.clear();
    monitored.addAll(next);
  }

  private void stopMonitoring(final Peer peer, final long nowUs) {
    peer.monitor().stop();
    disconnect(peer);
    if (ownReport(peer) != null) {
      report(peer, Reachability.HEARD, nowUs, nowUs);
    }
  }

  // ---------------------------------------------------------------- packets and connections

  /** Records a packet of a peer that was sent after all that were received before. */
  void recordReceived(final Peer peer, final long nowUs) {
    peer.monitor().recordReceived(settings.silenceTimeoutUs(), nowUs);
  }

  /** The connection to a peer was greeted. */
  void onConnectionGreeted(final Peer peer, final PeerId greeter, final long nowUs) {
    if (greeter.name().equals(peer.name())) {
      peer.monitor().recordGreeting();
    } else {
      // Another courier listens at that address now.
      peer.monitor().recordGreetingByAnother(nowUs);
      disconnect(peer);
    }
  }

  /** The connection to a peer ended, or was refused. */
  void onConnectionClosed(final Peer peer, final long nowUs) {
    peer.monitor().recordClosed(nowUs);
  }

  /** A connection to a peer was neither accepted nor refused. */
  void onConnectionUnanswered(final Peer peer, final long nowUs) {
    peer.monitor().recordUnanswered(nowUs);
  }

  private void disconnect(final Peer peer) {
    final String address = peer.monitor().connectionAddress();
    if (address != null) {
      actions.disconnect(address);
    }
    peer.monitor().releaseConnection();
  }
}

package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This courier's own failure detection for the peers that it monitors: it probes them, holds a
 * connection to each, and reports those that it cannot reach. It distinguishes two kinds of
 * evidence. Silence, that is, no packet received, proves little and is subject to a timeout. A
 * connection that closes although the peer did not announce that it leaves, followed by another
 * that closes before its greeting, shows that the operating system at that address has ended the
 * process: a paused process keeps its connections, and its system still accepts new ones for it.
 */
final class FailureDetector {
  /**
   * A peer is reported as reachable again after packets of it arrived for this long without a gap,
   * so that reports do not flap on a lossy network.
   */
  private static final long STABLE_RECEPTION_US = 1_000_000;

  /**
   * The highest delay score. Each pause of this process adds one point, which extends the silence
   * timeout by half of itself (after Lifeguard: Dadgar et al., DSN 2018).
   */
  private static final int MAX_DELAY_SCORE = 4;

  /** The delay score falls by one after each such interval without a pause. */
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
   * Continues under another incarnation of this courier, which invalidates the reports of the
   * previous one.
   */
  void startIncarnation(final PeerId next) {
    self = next;
  }

  /** Returns the peers that this courier monitors. */
  Set<Peer> monitored() {
    return monitored;
  }

  /** Returns the monitored peer with a connection to that address, or null if there is none. */
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

  // ---------------------------------------------------------------- periodic work

  /**
   * Handles a pause of this process: it withdraws its own silence reports when it resumes, and
   * extends the silence timeout until it runs without pauses.
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
   * Reports changes, connects to peers without a connection, and returns the peers that are to be
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

  /** Reports a peer if its reachability from this courier changed. */
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

  /** Updates the set of monitored peers after a change of the monitoring rings. */
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
        // Spreads the first probes over the interval.
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

  /** Records a packet of a peer with a higher sequence than all received before. */
  void recordReceived(final Peer peer, final long nowUs) {
    peer.monitor().recordReceived(settings.silenceTimeoutUs(), nowUs);
  }

  /** Handles the greeting on the connection to a peer. */
  void onConnectionGreeted(final Peer peer, final PeerId greeter, final long nowUs) {
    if (greeter.name().equals(peer.name())) {
      peer.monitor().recordGreeting();
    } else {
      // Another courier listens at that address now.
      peer.monitor().recordGreetingByAnother(nowUs);
      disconnect(peer);
    }
  }

  /** Handles a connection to a peer that was closed or refused. */
  void onConnectionClosed(final Peer peer, final long nowUs) {
    peer.monitor().recordClosed(nowUs);
  }

  /** Handles a connection to a peer that was neither accepted nor refused. */
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

package thistleturn.decisions.peers;

/**
 * What this courier observed of one peer by itself: packets received, pings, and the connection
 * that it holds to the peer while it monitors it. Two kinds of evidence are kept apart: silence,
 * and connections that end before their greeting.
 */
final class PeerMonitor {
  /** Data on the way may arrive so much later than the end of a connection. */
  static final long MAX_IN_FLIGHT_US = 300_000;

  /** How long a connection attempt that nobody answers is waited for before the next one. */
  private static final long CONNECT_RETRY_US = 1_000_000;

  /**
   * How long after the end of a connection the next one is attempted, multiplied by the failures in
   * a row.
   */
  private static final long RECONNECT_DELAY_US = 100_000;

  /**
   * So many failed connections in a row prove that the process ended: the second cannot be a reset
   * under way.
   */
  private static final int ENDED_CONNECTION_FAILURES = 2;

  private long lastReceivedUs = Peer.NEVER;
  private long receivingSinceUs = Peer.NEVER;
  private boolean monitored;
  private long monitoredSinceUs = Peer.NEVER;
  private long nextProbeUs;
  private long pingSequence;
  private long pingSentUs;
  private long roundTripUs;

  /** Connections in a row that ended without a greeting. */
  private int failedConnections;

  private long firstFailedConnectionUs = Peer.NEVER;
  private long nextConnectUs = Peer.NEVER;

  /** The address of the connection that is held or attempted; null: none. */
  private String connectionAddress;

  private boolean connected;

  /**
   * Starts over with another incarnation of the peer; whether it is monitored, and its connection,
   * stay.
   */
  void reset(final long nowUs) {
    lastReceivedUs = Peer.NEVER;
    receivingSinceUs = Peer.NEVER;
    monitoredSinceUs = nowUs;
    nextProbeUs = nowUs;
    pingSequence = 0;
    roundTripUs = 0;
    failedConnections = 0;
    firstFailedConnectionUs = Peer.NEVER;
    nextConnectUs = Peer.NEVER;
    connected = false;
  }

  // ---------------------------------------------------------------- monitoring

  boolean isMonitored() {
    return monitored;
  }

  /** Starts monitoring: probes from a first moment on, and a connection at once. */
  void start(final long nowUs, final long firstProbeUs) {
    monitored = true;
    monitoredSinceUs = nowUs;
    nextProbeUs = firstProbeUs;
    nextConnectUs = Peer.NEVER;
  }

  /** Stops monitoring. The connection is to be released separately. */
  void stop() {
    monitored = false;
    failedConnections = 0;
  }

  /** Returns true if a probe is due, and schedules the next one. */
  boolean takeProbeTurn(final long intervalUs, final long nowUs) {
    if (nowUs < nextProbeUs) {
      return false;
    }
    nextProbeUs = Math.max(nextProbeUs + intervalUs, nowUs + intervalUs / 2);
    return true;
  }

  // ---------------------------------------------------------------- packets

  /** Records a packet that was sent after all that were received before. */
  void recordReceived(final long silenceTimeoutUs, final long nowUs) {
    if (nowUs - lastReceivedUs > silenceTimeoutUs) {
      receivingSinceUs = nowUs;
    }
    lastReceivedUs = nowUs;
    if (failedConnections > 0 && nowUs - firstFailedConnectionUs > MAX_IN_FLIGHT_US) {
      // Its connections end, and it is alive all the same.
      failedConnections = 0;
    }
  }

  /** Returns true if any packet of the incarnation was received. */
  boolean hasReceived() {
    return lastReceivedUs != Peer.NEVER;
  }

  /** Returns when a packet was last received. */
  long lastReceivedUs() {
    return lastReceivedUs;
  }

  /**
   * Returns since when the peer has been silent, counted from the start of monitoring at the
   * earliest.
   */
  long silentSinceUs() {
    return Math.max(lastReceivedUs, monitoredSinceUs);
  }

  /**
   * Returns since when the peer has been received without a gap, counted from the start of
   * monitoring at the earliest.
   */
  long stableSinceUs() {
    return Math.max(receivingSinceUs, monitoredSinceUs);
  }

  /** Records a ping whose answer is awaited. */
  void recordPing(final long sequence, final long nowUs) {
    pingSequence = sequence;
    pingSentUs = nowUs;
  }

  /** Records an answer; only the one to the latest ping counts towards the round trip. */
  void recordPong(final long echoedSequence, final long nowUs) {
    if (echoedSequence != pingSequence || pingSequence <= 0) {
      return;
    }
    final long measuredUs = nowUs - pingSentUs;
    roundTripUs = roundTripUs == 0 ? measuredUs : (7 * roundTripUs + measuredUs) / 8;
    pingSequence = 0;
  }

  /** Returns the smoothed round trip; 0: none was measured. */
  long roundTripUs() {
    return roundTripUs;
  }

  // ---------------------------------------------------------------- the connection

  /** Returns true if a connection is to be attempted now. */
  boolean isConnectDue(final long nowUs) {
    return !connected && nowUs >= nextConnectUs;
  }

  /** Records an attempt to connect. */
  void startConnecting(final String address, final long nowUs) {
    nextConnectUs = nowUs + CONNECT_RETRY_US;
    connectionAddress = address;
  }

  /** Returns the address of the connection that is held or attempted; null: none. */
  String connectionAddress() {
    return connectionAddress;
  }

  /** Forgets the connection. */
  void releaseConnection() {
    connectionAddress = null;
    connected = false;
  }

  /** Records that the peer greeted this courier over the connection. */
  void recordGreeting() {
    connected = true;
    failedConnections = 0;
    nextConnectUs = Peer.NEVER;
  }

  /** Records that another courier answered at the peer's address. */
  void recordGreetingByAnother(final long nowUs) {
    recordFailedConnection(nowUs);
    nextConnectUs = nowUs + CONNECT_RETRY_US;
  }

  /** Records that the connection ended, or was refused. */
  void recordClosed(final long nowUs) {
    if (connected) {
      // The network may have broken it; the next connection shows.
      connected = false;
      failedConnections = 0;
      firstFailedConnectionUs = nowUs;
    } else {
      recordFailedConnection(nowUs);
    }
    final long maxFactor = CONNECT_RETRY_US / RECONNECT_DELAY_US;
    nextConnectUs =
        nowUs + RECONNECT_DELAY_US * Math.min(maxFactor, Math.max(1, failedConnections));
  }

  /** Records a connection attempt that nobody accepted or refused: it proves nothing. */
  void recordUnanswered(final long nowUs) {
    failedConnections = 0;
    connected = false;
    nextConnectUs = nowUs + CONNECT_RETRY_US / 2;
  }

  private void recordFailedConnection(final long nowUs) {
    if (failedConnections == 0 && nowUs - firstFailedConnectionUs > CONNECT_RETRY_US) {
      firstFailedConnectionUs = nowUs;
    }
    failedConnections++;
  }

  /** Returns true if the last connection ended without a greeting. */
  boolean hasFailedConnections() {
    return failedConnections > 0;
  }

  /** Returns true if failed connections prove that the peer's process ended. */
  boolean isProvenEnded() {
    return failedConnections >= ENDED_CONNECTION_FAILURES && !connected;
  }

  /** Moves timestamps forward by a pause of this process. */
  void shiftTimestamps(final long pauseUs) {
    lastReceivedUs = Peer.shifted(lastReceivedUs, pauseUs);
    receivingSinceUs = Peer.shifted(receivingSinceUs, pauseUs);
    monitoredSinceUs = Peer.shifted(monitoredSinceUs, pauseUs);
  }
}

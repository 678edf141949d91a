package thistleturn.decisions.peers;

/**
 * This courier's own observations of one peer: packets received, pings, and the connection that it
 * keeps to the peer while it monitors it. Two kinds of evidence are distinguished: silence, and
 * connections that close before their greeting.
 */
final class PeerMonitor {
  /** Packets in flight may arrive this much later than the close of a connection. */
  static final long MAX_IN_FLIGHT_US = 300_000;

  /** The delay before the next attempt if a connection attempt is not answered. */
  private static final long CONNECT_RETRY_US = 1_000_000;

  /**
   * The delay from the close of a connection to the next attempt, multiplied by the number of
   * consecutive failures.
   */
  private static final long RECONNECT_DELAY_US = 100_000;

  /**
   * How many consecutive failed connections prove that the process ended. One is not enough, since
   * it may be a reset that was still in flight.
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

  /** The number of consecutive connections that closed without a greeting. */
  private int failedConnections;

  private long firstFailedConnectionUs = Peer.NEVER;
  private long nextConnectUs = Peer.NEVER;

  /** The address of the open or attempted connection, or null if there is none. */
  private String connectionAddress;

  private boolean connected;

  /**
   * Resets the observations for another incarnation of the peer; keeps whether the peer is
   * monitored, and the connection.
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

  /** Starts monitoring, with the first probe at the given time and a connection attempt at once. */
  void start(final long nowUs, final long firstProbeUs) {
    monitored = true;
    monitoredSinceUs = nowUs;
    nextProbeUs = firstProbeUs;
    nextConnectUs = Peer.NEVER;
  }

  /** Stops monitoring. The caller releases the connection separately. */
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

  /** Records a packet with a higher sequence than all received before. */
  void recordReceived(final long silenceTimeoutUs, final long nowUs) {
    if (nowUs - lastReceivedUs > silenceTimeoutUs) {
      receivingSinceUs = nowUs;
    }
    lastReceivedUs = nowUs;
    if (failedConnections > 0 && nowUs - firstFailedConnectionUs > MAX_IN_FLIGHT_US) {
      // The peer is alive although its connections close.
      failedConnections = 0;
    }
  }

  /** Returns true if a packet of this incarnation was received. */
  boolean hasReceived() {
    return lastReceivedUs != Peer.NEVER;
  }

  /** Returns when a packet was last received. */
  long lastReceivedUs() {
    return lastReceivedUs;
  }

  /**
   * Returns when the silence of the peer began: at its last packet, or at the start of monitoring
   * if that is later.
   */
  long silentSinceUs() {
    return Math.max(lastReceivedUs, monitoredSinceUs);
  }

  /**
   * Returns when the current reception without a gap began, or the start of monitoring if that is
   * later.
   */
  long stableSinceUs() {
    return Math.max(receivingSinceUs, monitoredSinceUs);
  }

  /** Records a ping whose answer is awaited. */
  void recordPing(final long sequence, final long nowUs) {
    pingSequence = sequence;
    pingSentUs = nowUs;
  }

  /** Records a pong; only the one that answers the latest ping updates the round trip. */
  void recordPong(final long echoedSequence, final long nowUs) {
    if (echoedSequence != pingSequence || pingSequence <= 0) {
      return;
    }
    final long measuredUs = nowUs - pingSentUs;
    roundTripUs = roundTripUs == 0 ? measuredUs : (7 * roundTripUs + measuredUs) / 8;
    pingSequence = 0;
  }

  /** Returns the smoothed round-trip time; 0 if none was measured. */
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

  /** Returns the address of the open or attempted connection, or null if there is none. */
  String connectionAddress() {
    return connectionAddress;
  }

  /** Clears the connection's state. */
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

  /** Records that the connection was closed or refused. */
  void recordClosed(final long nowUs) {
    if (connected) {
      // The network may have broken it; the next connection attempt tells the causes apart.
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

  /** Records a connection attempt that was neither accepted nor refused, which proves nothing. */
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

  /** Returns true if the last connection closed without a greeting. */
  boolean hasFailedConnections() {
    return failedConnections > 0;
  }

  /** Returns true if failed connections prove that the peer's process ended. */
  boolean isProvenEnded() {
    return failedConnections >= ENDED_CONNECTION_FAILURES && !connected;
  }

  /** Shifts timestamps forward by a pause of this process. */
  void shiftTimestamps(final long pauseUs) {
    lastReceivedUs = Peer.shifted(lastReceivedUs, pauseUs);
    receivingSinceUs = Peer.shifted(receivingSinceUs, pauseUs);
    monitoredSinceUs = Peer.shifted(monitoredSinceUs, pauseUs);
  }
}

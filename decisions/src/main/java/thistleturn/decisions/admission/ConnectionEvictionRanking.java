package thistleturn.decisions.admission;

/**
 * Ranks client connections for eviction, the least costly to close first, and learns whether
 * clients reuse the connections that they keep open. Times are microseconds on a monotonic clock.
 */
public final class ConnectionEvictionRanking {
  /**
   * A client that writes a request in several parts writes again within this time; otherwise it has
   * stalled.
   */
  public static final long STALLED_AFTER_US = 700_000;

  /** A client with a request to send sends it within this time after it connected. */
  public static final long FIRST_REQUEST_GRACE_US = 200_000;

  /** The rank of connections that are never closed in favour of another one. */
  public static final int NEVER_EVICT = 6;

  private static final int RANK_REJECTED = 0;
  private static final int RANK_NO_REQUEST = 1;
  private static final int RANK_STALLED = 2;
  private static final int RANK_NOT_REUSED = 3;
  private static final int RANK_IDLE = 4;
  private static final int RANK_NEW = 5;

  /** Weight of a single connection in the share that is reused. */
  private static final double REUSE_WEIGHT = 0.05;

  /** Below this share of reused connections, it is not worth keeping one open. */
  private static final double MIN_REUSE_SHARE = 0.1;

  private final long idleUs;
  private double reuseShare = 1;

  /** The state of a client connection. */
  public enum ConnectionState {
    /** Its last response, a rejection, has been sent. */
    REJECTED,
    /** It has not sent a request yet. */
    NO_REQUEST_YET,
    /** A request is being received. */
    RECEIVING_REQUEST,
    /** It has received a response and is kept open. */
    IDLE_AFTER_RESPONSE,
    /** A request is being processed. */
    PROCESSING_REQUEST
  }

  /**
   * Creates a ranking.
   *
   * @param idleUs idle time after which a connection may be closed even where clients reuse
   *     connections
   */
  public ConnectionEvictionRanking(final long idleUs) {
    this.idleUs = idleUs;
  }

  /** Records whether an idle connection was reused for another request before it was closed. */
  public void recordReuse(final boolean reused) {
    reuseShare += REUSE_WEIGHT * ((reused ? 1 : 0) - reuseShare);
  }

  /**
   * Returns the rank of a connection: the lowest is closed first, {@link #NEVER_EVICT} never.
   *
   * @param sinceUs since when the connection has been in that state
   * @param lastByteUs when it last received a byte
   */
  public int rank(
      final ConnectionState state, final long sinceUs, final long lastByteUs, final long nowUs) {
    return switch (state) {
      case REJECTED -> RANK_REJECTED;
      case NO_REQUEST_YET -> nowUs - sinceUs >= FIRST_REQUEST_GRACE_US ? RANK_NO_REQUEST : RANK_NEW;
      case RECEIVING_REQUEST -> nowUs - lastByteUs >= STALLED_AFTER_US ? RANK_STALLED : NEVER_EVICT;
      case IDLE_AFTER_RESPONSE -> rankIdle(nowUs - sinceUs);
      case PROCESSING_REQUEST -> NEVER_EVICT;
    };
  }

  private int rankIdle(final long idleForUs) {
    if (reuseShare < MIN_REUSE_SHARE) {
      return RANK_NOT_REUSED;
    }
    return idleForUs >= idleUs ? RANK_IDLE : NEVER_EVICT;
  }
}

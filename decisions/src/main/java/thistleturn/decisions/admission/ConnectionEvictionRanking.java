package thistleturn.decisions.admission;

/**
 * Ranks client connections by how little is lost if one of them is closed, and learns whether
 * clients here reuse the connections that they keep open. Times are microseconds on a clock that
 * only advances.
 */
public final class ConnectionEvictionRanking {
  /**
   * A client that writes a request in pieces writes again within this; otherwise it has stalled.
   */
  public static final long STALLED_AFTER_US = 700_000;

  /** A client that means to send a request does so sooner than this after it connected. */
  public static final long FIRST_REQUEST_GRACE_US = 200_000;

  /** The rank of what is never closed to make room for another connection. */
  public static final int NEVER_EVICT = 6;

  private static final int RANK_REJECTED = 0;
  private static final int RANK_NO_REQUEST = 1;
  private static final int RANK_STALLED = 2;
  private static final int RANK_NOT_REUSED = 3;
  private static final int RANK_IDLE = 4;
  private static final int RANK_NEW = 5;

  /** Weight of a single connection in the share that is reused. */
  private static final double REUSE_WEIGHT = 0.05;

  /** Below this share of reused connections, keeping one open is of no use. */
  private static final double MIN_REUSE_SHARE = 0.1;

  private final long idleUs;
  private double reuseShare = 1;

  /** What a connection is doing. */
  public enum ConnectionState {
    /** It has got its last response. */
    REJECTED,
    /** It has not sent a request yet. */
    NO_REQUEST_YET,
    /** A request is being received. */
    RECEIVING_REQUEST,
    /** It got a response and is kept open. */
    IDLE_AFTER_RESPONSE,
    /** A request is being processed. */
    PROCESSING_REQUEST
  }

  /**
   * A ranking.
   *
   * @param idleUs a connection that has been idle for so long may be closed even where clients
   *     reuse connections
   */
  public ConnectionEvictionRanking(final long idleUs) {
    this.idleUs = idleUs;
  }

  /** An idle connection was reused for another request, or was closed without. */
  public void recordReuse(final boolean reused) {
    reuseShare += REUSE_WEIGHT * ((reused ? 1 : 0) - reuseShare);
  }

  /**
   * The rank of a connection: the lowest is closed first, {@link #NEVER_EVICT} never.
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

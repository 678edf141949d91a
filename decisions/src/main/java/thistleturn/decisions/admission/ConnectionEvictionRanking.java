package thistleturn.decisions.admission;

/**
 * Ranks connections by what is lost if one of them is closed, and learns from how they fare:
 * whether clients here ask again on connections that they keep. Times are microseconds on a clock
 * that only advances.
 */
public final class ConnectionEvictionRanking {
  /** Who writes a request in pieces writes again within this; who stopped half way does not. */
  public static final long STALLED_AFTER_US = 700_000;

  /** A client that means to ask does so sooner than this after it connected. */
  public static final long FIRST_REQUEST_GRACE_US = 200_000;

  /** Rank of what is never closed to make room. */
  public static final int NEVER_EVICT = 6;

  /** Weight of one connection's fate in the share that is asked on again. */
  private static final double WEIGHT = 0.05;

  /** Under this share, what was kept after an answer is of no use. */
  private static final double RARE = 0.1;

  private final long idleUs;
  private double reuseShare = 1;

  /** What a connection is doing. */
  public enum ConnectionState {
    /** It has its last answer. */
    REJECTED,
    /** It has never said anything. */
    NO_REQUEST_YET,
    /** A request is coming in. */
    RECEIVING_REQUEST,
    /** It was answered, and is kept. */
    IDLE_AFTER_RESPONSE,
    /** A request is being served. */
    PROCESSING_REQUEST
  }

  /**
   * {@code idleUs}: a connection that was answered so long ago may be closed even where clients ask
   * again.
   */
  public ConnectionEvictionRanking(final long idleUs) {
    this.idleUs = idleUs;
  }

  /** A connection that was answered has asked again, or has ended without. */
  public void recordReuse(final boolean askedAgain) {
    reuseShare += WEIGHT * ((askedAgain ? 1 : 0) - reuseShare);
  }

  /** The order in which connections make room: lower goes first, {@link #NEVER_EVICT} never. */
  public int rank(
      final ConnectionState state, final long sinceUs, final long lastByteUs, final long nowUs) {
    return switch (state) {
      case REJECTED -> 0;
      case NO_REQUEST_YET -> nowUs - sinceUs >= FIRST_REQUEST_GRACE_US ? 1 : NEVER_EVICT - 1;
      case RECEIVING_REQUEST -> nowUs - lastByteUs >= STALLED_AFTER_US ? 2 : NEVER_EVICT;
      case IDLE_AFTER_RESPONSE ->
          reuseShare < RARE ? 3 : nowUs - sinceUs >= idleUs ? 4 : NEVER_EVICT;
      case PROCESSING_REQUEST -> NEVER_EVICT;
    };
  }
}

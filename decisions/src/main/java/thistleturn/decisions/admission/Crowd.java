package thistleturn.decisions.admission;

/**
 * Ranks connections by what is lost if one of them is closed, and learns from how they fare:
 * whether clients here ask again on connections that they keep. Times are microseconds on a clock
 * that only advances.
 */
public final class Crowd {
  /** Who writes a request in pieces writes again within this; who stopped half way does not. */
  public static final long STALL_US = 700_000;

  /** A client that means to ask does so sooner than this after it connected. */
  public static final long SILENT_US = 200_000;

  /** Rank of what is never closed to make room. */
  public static final int KEEP = 6;

  /** Weight of one connection's fate in the share that is asked on again. */
  private static final double WEIGHT = 0.05;

  /** Under this share, what was kept after an answer is of no use. */
  private static final double RARE = 0.1;

  private final long idleUs;
  private double reused = 1;

  /** What a connection is doing. */
  public enum State {
    /** It has its last answer. */
    REJECTED,
    /** It has never said anything. */
    SILENT,
    /** A request is coming in. */
    COMING_IN,
    /** It was answered, and is kept. */
    ANSWERED,
    /** A request is being served. */
    SERVED
  }

  /**
   * {@code idleUs}: a connection that was answered so long ago may be closed even where clients ask
   * again.
   */
  public Crowd(final long idleUs) {
    this.idleUs = idleUs;
  }

  /** A connection that was answered has asked again, or has ended without. */
  public void learn(final boolean askedAgain) {
    reused += WEIGHT * ((askedAgain ? 1 : 0) - reused);
  }

  /** The order in which connections make room: lower goes first, {@link #KEEP} never. */
  public int rank(final State state, final long sinceUs, final long lastByteUs, final long nowUs) {
    return switch (state) {
      case REJECTED -> 0;
      case SILENT -> nowUs - sinceUs >= SILENT_US ? 1 : KEEP - 1;
      case COMING_IN -> nowUs - lastByteUs >= STALL_US ? 2 : KEEP;
      case ANSWERED -> reused < RARE ? 3 : nowUs - sinceUs >= idleUs ? 4 : KEEP;
      case SERVED -> KEEP;
    };
  }
}

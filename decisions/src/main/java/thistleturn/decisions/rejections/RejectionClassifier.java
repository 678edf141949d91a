package thistleturn.decisions.rejections;

import java.util.Arrays;

/**
 * Reads what one destination's refusals without a wait answer to: to what is sent there (a limit, a
 * full queue), or to nothing of ours. A sequential test in the manner of Wald: of each call that
 * was sent soon after a refused one, how much likelier its outcome is where refusals strike at
 * random than where they last until a span of a second is over. Evidence fades, so that a limit
 * that turns into noise, or noise into a limit, is read anew. Pure: moments are told.
 */
public final class RejectionClassifier {
  /** What refusals are taken to answer to. */
  public enum Cause {
    /** Too little is known: they are heeded, and now and then one call goes on to learn more. */
    UNSURE,
    /** What is sent there: they are heeded. */
    LOAD,
    /** Nothing of ours: the call is made again at once. */
    NOISE
  }

  /**
   * Evidence, in nats, at which a cause is settled, and beyond which none is kept; where noise is
   * given up again.
   */
  static final double SETTLED = 3;

  private static final double MOST = 6;

  /**
   * More refusals than this share are never taken for noise: as many may be load that is truly
   * shed.
   */
  public static final double MAX_NOISE_SHARE = 0.35;

  private static final double LEAST_SHARE = 0.02;

  /**
   * Span over which limits are counted, us, and how soon after a refusal a call tells the two
   * apart.
   */
  private static final double SPAN_US = 1_000_000;

  private static final long CLOSE_US = 300_000;

  /**
   * Chance of room right after a refusal where a limit is counted: others' calls end, spans are
   * short.
   */
  private static final double ROOM_AT_ONCE = 0.08;

  /**
   * Calls of memory in the share, what it begins with, and time in which evidence fades to a third,
   * us.
   */
  private static final double SHARE_WEIGHT = 1.0 / 64;

  private static final double FIRST_SHARE = 0.05;
  private static final double FADE_US = 30_000_000;

  /** First and longest time between two calls that are made to learn, us. */
  private static final long PROBE_LEAST_US = 100_000;

  private static final long PROBE_MOST_US = 64_000_000;
  private static final int KEPT = 8;

  /**
   * After noise outran its budget, it is taken for load so long, us: first, longest; and what ends
   * the doubling.
   */
  private static final long HOLD_LEAST_US = 5_000_000;

  private static final long HOLD_MOST_US = 80_000_000;

  private final long[] pendingRejectionsUs = new long[KEPT];
  private int refusals;
  private double evidence;
  private double rejectedShare = FIRST_SHARE;
  private long evidenceUs, nextProbeUs, probeGapUs = PROBE_LEAST_US;
  private long holdUs = HOLD_LEAST_US, holdUntilUs;
  private boolean classifiedNoise, settledNow;

  /** Of a destination of which nothing is known. */
  public RejectionClassifier() {
    Arrays.fill(pendingRejectionsUs, Long.MAX_VALUE);
  }

  /** A call sent at that moment was served. */
  public void recordServed(final long sentUs, final long nowUs) {
    final double room = servedProbabilityUnderLimit(sentUs);
    if (room < 1) {
      addEvidence(Math.log((1 - assumedNoiseShare()) / room), nowUs);
    }
    rejectedShare -= SHARE_WEIGHT * rejectedShare;
  }

  /** A call sent at that moment was refused, and no wait was told. */
  public void recordRejected(final long sentUs, final long nowUs) {
    final double room = servedProbabilityUnderLimit(sentUs);
    if (room < 1) {
      addEvidence(Math.log(assumedNoiseShare() / (1 - room)), nowUs);
    }
    rejectedShare += SHARE_WEIGHT * (1 - rejectedShare);
    pendingRejectionsUs[refusals++ % KEPT] = sentUs;
  }

  /**
   * How likely room is at a call's moment where a limit holds and an earlier call was refused; 1:
   * nothing is told. Each refusal is asked once, by the first call sent after it of which the
   * outcome is known: once there is room again, all that follows is served in any case.
   */
  private double servedProbabilityUnderLimit(final long sentUs) {
    long lastUs = Long.MIN_VALUE;
    for (int index = 0; index < KEPT; index++) {
      if (pendingRejectionsUs[index] < sentUs) {
        lastUs = Math.max(lastUs, pendingRejectionsUs[index]);
        pendingRejectionsUs[index] = Long.MAX_VALUE;
      }
    }
    return lastUs == Long.MIN_VALUE || lastUs < sentUs - CLOSE_US
        ? 1
        : ROOM_AT_ONCE + (sentUs - lastUs) / SPAN_US;
  }

  private double assumedNoiseShare() {
    return Math.max(LEAST_SHARE, Math.min(MAX_NOISE_SHARE, rejectedShare));
  }

  private void addEvidence(final double nats, final long nowUs) {
    evidence = Math.max(-MOST, Math.min(MOST, evidence(nowUs) + nats));
    evidenceUs = nowUs;
    final boolean before = classifiedNoise;
    classifiedNoise =
        nowUs >= holdUntilUs && (evidence >= SETTLED || (classifiedNoise && evidence > 0));
    settledNow = classifiedNoise && !before;
  }

  /**
   * True if the last outcome settled that refusals are noise: what was done about them may be
   * undone.
   */
  public boolean hasJustSettledOnNoise() {
    return settledNow;
  }

  /** Nats for noise (above 0) or load (below). */
  public double evidence(final long nowUs) {
    return evidence * Math.exp(-(nowUs - evidenceUs) / FADE_US);
  }

  /** Share of recent calls that were refused. */
  public double rejectedShare() {
    return rejectedShare;
  }

  /** What refusals are taken to answer to now. */
  public Cause cause(final long nowUs) {
    if (classifiedNoise && rejectedShare <= MAX_NOISE_SHARE) {
      return Cause.NOISE;
    }
    return evidence(nowUs) <= -SETTLED || rejectedShare > MAX_NOISE_SHARE || nowUs < holdUntilUs
        ? Cause.LOAD
        : Cause.UNSURE;
  }

  /**
   * What was taken for noise came more often than the budget for it: so it rises with what is sent,
   * and is load. Noise is not believed again for a while, twice as long each time.
   */
  public void onRetryBudgetExhausted(final long nowUs) {
    holdUs = nowUs > holdUntilUs + HOLD_MOST_US ? HOLD_LEAST_US : holdUs;
    holdUntilUs = nowUs + holdUs;
    holdUs = Math.min(HOLD_MOST_US, 2 * holdUs);
    classifiedNoise = false;
    evidence = 0;
    evidenceUs = nowUs;
  }

  /** When one more call is worth what it teaches. */
  public long nextProbeUs() {
    return nextProbeUs;
  }

  /**
   * How the call ended that was made to learn: those that taught load come ever more rarely, the
   * more so once it is settled.
   */
  public void recordProbe(final boolean served, final long nowUs) {
    final long times = evidence(nowUs) <= -SETTLED ? 8 : 2;
    probeGapUs = served ? PROBE_LEAST_US : Math.min(PROBE_MOST_US, times * probeGapUs);
    nextProbeUs = nowUs + probeGapUs;
  }

  /** Nothing that was read so far holds any longer. */
  public void reset() {
    evidence = 0;
    rejectedShare = FIRST_SHARE;
    classifiedNoise = false;
  }

  /** What is learnt, to be handed on: see {@link #restore}. */
  public double[] learnedValues() {
    return new double[] {evidence, rejectedShare, classifiedNoise ? 1 : 0, probeGapUs};
  }

  /** Takes over what another reading of the same destination had learnt. */
  public void restore(final double[] figures, final long nowUs) {
    evidence = Math.max(-MOST, Math.min(MOST, figures[0]));
    rejectedShare = Math.max(0, Math.min(1, figures[1]));
    classifiedNoise = figures[2] > 0;
    probeGapUs = (long) Math.max(PROBE_LEAST_US, Math.min(PROBE_MOST_US, figures[3]));
    evidenceUs = nowUs;
  }
}

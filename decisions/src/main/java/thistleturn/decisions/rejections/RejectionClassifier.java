package thistleturn.decisions.rejections;

import java.util.Arrays;

/**
 * Classifies the rejections without a Retry-After of one destination: they answer to load (a rate
 * limit, a full queue), or strike at random. It is a sequential probability ratio test (Wald 1945)
 * over the calls that were sent soon after a rejected one: where rejections are random, such a call
 * is served as likely as any other; where a limit counts calls in windows of a second, it is likely
 * rejected too. Evidence decays, so that a limit that turns into noise, or noise into a limit, is
 * classified anew.
 *
 * <p>The outcome of a call is reported once, with the time at which the call was sent.
 */
public final class RejectionClassifier {
  /** What rejections are taken to answer to. The names are part of the operators' JSON. */
  public enum Cause {
    /** Too little is known: rejections are heeded, and now and then one call probes for more. */
    UNSURE,
    /** The load that is sent: rejections are heeded. */
    LOAD,
    /** Nothing of ours: the call is retried at once. */
    NOISE
  }

  /**
   * The largest share of rejections that is ever taken for noise: more may be load that is shed.
   */
  public static final double MAX_NOISE_SHARE = 0.35;

  /** Evidence, in nats, at which a cause is settled. */
  static final double SETTLED = 3;

  /** Evidence beyond this is not kept, so that the classification stays able to change. */
  private static final double MAX_EVIDENCE = 6;

  /** The smallest share of rejections that noise is assumed to have. */
  private static final double MIN_NOISE_SHARE = 0.02;

  /** The window over which limits are assumed to count calls, us. */
  private static final double LIMIT_WINDOW_US = 1_000_000;

  /** How soon after a rejection a call must be sent to distinguish the causes, us. */
  private static final long MAX_DISTANCE_US = 300_000;

  /**
   * Probability that a call right after a rejection is served where a limit holds: other couriers'
   * calls end, and windows may be short.
   */
  private static final double SERVED_AT_ONCE_UNDER_LIMIT = 0.08;

  private static final double SHARE_WEIGHT = 1.0 / 64;
  private static final double INITIAL_REJECTED_SHARE = 0.05;

  /** Time in which evidence decays by a factor of e, us. */
  private static final double EVIDENCE_DECAY_US = 30_000_000;

  /** How many rejections are remembered until a later call's outcome is known. */
  private static final int MAX_PENDING_REJECTIONS = 8;

  private static final long NO_REJECTION = Long.MAX_VALUE;

  private static final long MIN_PROBE_INTERVAL_US = 100_000;
  private static final long MAX_PROBE_INTERVAL_US = 64_000_000;

  /** Factors by which a probe that was rejected lengthens the interval to the next one. */
  private static final long PROBE_BACKOFF = 2;

  private static final long PROBE_BACKOFF_UNDER_LOAD = 8;

  /** How long rejections count as load once retries exhausted their budget, us. */
  private static final long MIN_LOAD_HOLD_US = 5_000_000;

  private static final long MAX_LOAD_HOLD_US = 80_000_000;

  /** When the calls were sent of which the rejection has not been compared with a later call. */
  private final long[] pendingRejectionsUs = new long[MAX_PENDING_REJECTIONS];

  private int rejections;

  /** Nats in favour of noise (above 0) or load (below), as of {@link #evidenceUs}. */
  private double evidence;

  private long evidenceUs;
  private double rejectedShare = INITIAL_REJECTED_SHARE;
  private long nextProbeUs;
  private long probeIntervalUs = MIN_PROBE_INTERVAL_US;
  private long loadHoldUs = MIN_LOAD_HOLD_US;
  private long heldAsLoadUntilUs;
  private boolean classifiedNoise;
  private boolean justSettledOnNoise;

  /** A classifier of a destination of which nothing is known. */
  public RejectionClassifier() {
    Arrays.fill(pendingRejectionsUs, NO_REJECTION);
  }

  // ---------------------------------------------------------------- observations

  /** A call sent at that time was served. */
  public void recordServed(final long sentUs, final long nowUs) {
    final double underLimit = servedProbabilityUnderLimit(sentUs);
    if (underLimit < 1) {
      addEvidence(Math.log((1 - assumedNoiseShare()) / underLimit), nowUs);
    }
    rejectedShare -= SHARE_WEIGHT * rejectedShare;
  }

  /** A call sent at that time was rejected, without a Retry-After. */
  public void recordRejected(final long sentUs, final long nowUs) {
    final double underLimit = servedProbabilityUnderLimit(sentUs);
    if (underLimit < 1) {
      addEvidence(Math.log(assumedNoiseShare() / (1 - underLimit)), nowUs);
    }
    rejectedShare += SHARE_WEIGHT * (1 - rejectedShare);
    pendingRejectionsUs[rejections++ % MAX_PENDING_REJECTIONS] = sentUs;
  }

  /**
   * How likely a call sent at that time is served where a limit holds and an earlier call was
   * rejected; 1 if the call does not distinguish the causes. Each rejection is compared only once,
   * with the first call sent after it of which the outcome is known: once a limit has capacity
   * again, all later calls are served in any case.
   */
  private double servedProbabilityUnderLimit(final long sentUs) {
    long lastRejectedUs = Long.MIN_VALUE;
    for (int index = 0; index < MAX_PENDING_REJECTIONS; index++) {
      if (pendingRejectionsUs[index] < sentUs) {
        lastRejectedUs = Math.max(lastRejectedUs, pendingRejectionsUs[index]);
        pendingRejectionsUs[index] = NO_REJECTION;
      }
    }
    if (lastRejectedUs == Long.MIN_VALUE || lastRejectedUs < sentUs - MAX_DISTANCE_US) {
      return 1;
    }
    return SERVED_AT_ONCE_UNDER_LIMIT + (sentUs - lastRejectedUs) / LIMIT_WINDOW_US;
  }

  private double assumedNoiseShare() {
    return Math.max(MIN_NOISE_SHARE, Math.min(MAX_NOISE_SHARE, rejectedShare));
  }

  private void addEvidence(final double nats, final long nowUs) {
    evidence = clampEvidence(evidence(nowUs) + nats);
    evidenceUs = nowUs;
    final boolean before = classifiedNoise;
    final boolean supportsNoise = evidence >= SETTLED || (classifiedNoise && evidence > 0);
    classifiedNoise = nowUs >= heldAsLoadUntilUs && supportsNoise;
    justSettledOnNoise = classifiedNoise && !before;
  }

  private static double clampEvidence(final double nats) {
    return Math.max(-MAX_EVIDENCE, Math.min(MAX_EVIDENCE, nats));
  }

  /**
   * Retries of what was classified as noise exhausted their budget: so rejections rise with what is
   * sent, and answer to load. For a while, twice as long each time, nothing counts as noise again.
   */
  public void onRetryBudgetExhausted(final long nowUs) {
    if (nowUs > heldAsLoadUntilUs + MAX_LOAD_HOLD_US) {
      loadHoldUs = MIN_LOAD_HOLD_US;
    }
    heldAsLoadUntilUs = nowUs + loadHoldUs;
    loadHoldUs = Math.min(MAX_LOAD_HOLD_US, 2 * loadHoldUs);
    classifiedNoise = false;
    evidence = 0;
    evidenceUs = nowUs;
  }

  // ---------------------------------------------------------------- conclusions

  /** What rejections are taken to answer to now. */
  public Cause cause(final long nowUs) {
    final boolean tooManyForNoise = rejectedShare > MAX_NOISE_SHARE;
    if (classifiedNoise && !tooManyForNoise) {
      return Cause.NOISE;
    }
    final boolean isLoad =
        evidence(nowUs) <= -SETTLED || tooManyForNoise || nowUs < heldAsLoadUntilUs;
    return isLoad ? Cause.LOAD : Cause.UNSURE;
  }

  /**
   * True if the last outcome settled that rejections are noise: reactions to them may be undone.
   */
  public boolean hasJustSettledOnNoise() {
    return justSettledOnNoise;
  }

  /** Nats in favour of noise (above 0) or load (below). */
  public double evidence(final long nowUs) {
    return evidence * Math.exp(-(nowUs - evidenceUs) / EVIDENCE_DECAY_US);
  }

  /** Share of recent calls that were rejected. */
  public double rejectedShare() {
    return rejectedShare;
  }

  // ---------------------------------------------------------------- probes

  /** When one more call is worth what can be learned from it. */
  public long nextProbeUs() {
    return nextProbeUs;
  }

  /**
   * A call that was made to learn has ended. The more probes are rejected the rarer they become,
   * the more so once load is settled.
   */
  public void recordProbe(final boolean served, final long nowUs) {
    final long backoff = evidence(nowUs) <= -SETTLED ? PROBE_BACKOFF_UNDER_LOAD : PROBE_BACKOFF;
    probeIntervalUs =
        served ? MIN_PROBE_INTERVAL_US : Math.min(MAX_PROBE_INTERVAL_US, backoff * probeIntervalUs);
    nextProbeUs = nowUs + probeIntervalUs;
  }

  // ---------------------------------------------------------------- learned state

  /** Nothing that was learned so far holds any longer. */
  public void reset() {
    evidence = 0;
    rejectedShare = INITIAL_REJECTED_SHARE;
    classifiedNoise = false;
  }

  /** What is learned, to be handed on: see {@link #restore}. */
  public double[] learnedValues() {
    return new double[] {evidence, rejectedShare, classifiedNoise ? 1 : 0, probeIntervalUs};
  }

  /** Takes over the {@link #learnedValues} of another classifier of the same destination. */
  public void restore(final double[] learned, final long nowUs) {
    evidence = clampEvidence(learned[0]);
    rejectedShare = Math.max(0, Math.min(1, learned[1]));
    classifiedNoise = learned[2] > 0;
    probeIntervalUs =
        (long) Math.max(MIN_PROBE_INTERVAL_US, Math.min(MAX_PROBE_INTERVAL_US, learned[3]));
    evidenceUs = nowUs;
  }
}

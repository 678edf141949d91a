package thistleturn.decisions.rejections;

import java.util.Arrays;

/**
 * Classifies the rejections without a Retry-After of one destination as caused by load (a rate
 * limit, a full queue) or as random noise. It is a sequential probability ratio test (Wald 1945)
 * over the calls that were sent soon after a rejected one: where rejections are random, such a call
 * is as likely to be served as any other; where a limit counts calls in windows of a second, it is
 * likely to be rejected too. Evidence decays, so that the classification follows a limit that turns
 * into noise, or noise that turns into a limit.
 *
 * <p>The outcome of a call is reported once, with the time at which the call was sent.
 */
public final class RejectionClassifier {
  /** The presumed cause of rejections. The names are part of the operators' JSON. */
  public enum Cause {
    /** Too little evidence: calls slow down on rejections, and an occasional probe gathers more. */
    UNSURE,
    /** The load on the destination: calls slow down on rejections. */
    LOAD,
    /** Independent of the load: the call is retried at once. */
    NOISE
  }

  /**
   * The largest share of rejected calls that is ever classified as noise: a larger one may be a
   * destination that sheds load.
   */
  public static final double MAX_NOISE_SHARE = 0.35;

  /** Evidence, in nats, that suffices to settle on a cause. */
  static final double SETTLED = 3;

  /** Bound on the evidence in either direction, so that the classification can still change. */
  private static final double MAX_EVIDENCE = 6;

  /** The smallest share of rejections that noise is assumed to have. */
  private static final double MIN_NOISE_SHARE = 0.02;

  /** The window over which limits are assumed to count calls, us. */
  private static final double LIMIT_WINDOW_US = 1_000_000;

  /** Longest time after a rejection at which a call still distinguishes the causes, us. */
  private static final long MAX_DISTANCE_US = 300_000;

  /**
   * Probability that a call right after a rejection is served although there is a limit: calls of
   * other couriers end, and the windows of the limit may be short.
   */
  private static final double SERVED_AT_ONCE_UNDER_LIMIT = 0.08;

  private static final double SHARE_WEIGHT = 1.0 / 64;
  private static final double INITIAL_REJECTED_SHARE = 0.05;

  /** Time in which evidence decays by a factor of e, us. */
  private static final double EVIDENCE_DECAY_US = 30_000_000;

  /** How many rejections are kept until the outcome of a later call is known. */
  private static final int MAX_PENDING_REJECTIONS = 8;

  private static final long NO_REJECTION = Long.MAX_VALUE;

  private static final long MIN_PROBE_INTERVAL_US = 100_000;
  private static final long MAX_PROBE_INTERVAL_US = 64_000_000;

  /** Factors by which a rejected probe lengthens the interval to the next one. */
  private static final long PROBE_BACKOFF = 2;

  private static final long PROBE_BACKOFF_UNDER_LOAD = 8;

  /** How long rejections count as load once retries have exhausted their budget, us. */
  private static final long MIN_LOAD_HOLD_US = 5_000_000;

  private static final long MAX_LOAD_HOLD_US = 80_000_000;

  /** Send times of the rejected calls that have not been compared with a later call yet. */
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

  /** Creates a classifier without evidence. */
  public RejectionClassifier() {
    Arrays.fill(pendingRejectionsUs, NO_REJECTION);
  }

  // ---------------------------------------------------------------- observations

  /** Records that a call sent at that time was served. */
  public void recordServed(final long sentUs, final long nowUs) {
    final double underLimit = servedProbabilityUnderLimit(sentUs);
    if (underLimit < 1) {
      addEvidence(Math.log((1 - assumedNoiseShare()) / underLimit), nowUs);
    }
    rejectedShare -= SHARE_WEIGHT * rejectedShare;
  }

  /** Records that a call sent at that time was rejected without a Retry-After. */
  public void recordRejected(final long sentUs, final long nowUs) {
    final double underLimit = servedProbabilityUnderLimit(sentUs);
    if (underLimit < 1) {
      addEvidence(Math.log(assumedNoiseShare() / (1 - underLimit)), nowUs);
    }
    rejectedShare += SHARE_WEIGHT * (1 - rejectedShare);
    pendingRejectionsUs[rejections++ % MAX_PENDING_REJECTIONS] = sentUs;
  }

  /**
   * Returns the probability that a call sent at that time is served under a limit that rejected an
   * earlier call; 1 if the call does not distinguish the causes. Each rejection is compared only
   * once, with the first later call whose outcome is known: once a limit has capacity again, all
   * later calls are served in any case.
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
   * Records that retries of calls rejected by presumed noise exhausted their budget: rejections
   * rise with the calls sent, so load causes them. For a while, twice as long each time, no
   * rejection is classified as noise.
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

  /** Returns the presumed cause of rejections now. */
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
   * Returns whether the last outcome changed the classification to noise, so that the reactions to
   * earlier rejections may be undone.
   */
  public boolean hasJustSettledOnNoise() {
    return justSettledOnNoise;
  }

  /** Returns the evidence, nats in favour of noise (above 0) or load (below). */
  public double evidence(final long nowUs) {
    return evidence * Math.exp(-(nowUs - evidenceUs) / EVIDENCE_DECAY_US);
  }

  /** Returns the share of recent calls that were rejected. */
  public double rejectedShare() {
    return rejectedShare;
  }

  // ---------------------------------------------------------------- probes

  /** Returns the earliest time of the next probe, a call sent only to gather evidence. */
  public long nextProbeUs() {
    return nextProbeUs;
  }

  /**
   * Records the outcome of a probe. Each rejected probe lengthens the interval to the next one, by
   * a larger factor once the cause is settled as load.
   */
  public void recordProbe(final boolean served, final long nowUs) {
    final long backoff = evidence(nowUs) <= -SETTLED ? PROBE_BACKOFF_UNDER_LOAD : PROBE_BACKOFF;
    probeIntervalUs =
        served ? MIN_PROBE_INTERVAL_US : Math.min(MAX_PROBE_INTERVAL_US, backoff * probeIntervalUs);
    nextProbeUs = nowUs + probeIntervalUs;
  }

  // ---------------------------------------------------------------- learned state

  /** Discards what was learned so far. */
  public void reset() {
    evidence = 0;
    rejectedShare = INITIAL_REJECTED_SHARE;
    classifiedNoise = false;
  }

  /** Returns the learned state in the form that {@link #restore} accepts. */
  public double[] learnedValues() {
    return new double[] {evidence, rejectedShare, classifiedNoise ? 1 : 0, probeIntervalUs};
  }

  /** Restores the {@link #learnedValues} of another classifier of the same destination. */
  public void restore(final double[] learned, final long nowUs) {
    evidence = clampEvidence(learned[0]);
    rejectedShare = Math.max(0, Math.min(1, learned[1]));
    classifiedNoise = learned[2] > 0;
    probeIntervalUs =
        (long) Math.max(MIN_PROBE_INTERVAL_US, Math.min(MAX_PROBE_INTERVAL_US, learned[3]));
    evidenceUs = nowUs;
  }
}

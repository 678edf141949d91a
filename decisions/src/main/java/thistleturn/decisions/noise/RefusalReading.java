package thistleturn.decisions.noise;

/**
 * Reads what one destination's refusals without a wait answer to: to what is sent there (a limit, a full queue), or to
 * nothing of ours. A sequential test in the manner of Wald: of each call that was sent soon after a refused one, how much
 * likelier its outcome is where refusals strike at random than where they last until a span of a second is over.
 * Evidence fades, so that a limit that turns into noise, or noise into a limit, is read anew. Pure: moments are told.
 */
public final class RefusalReading {
    /** What refusals are taken to answer to. */
    public enum Cause {
        /** Too little is known: they are heeded, and now and then one call goes on to learn more. */
        UNSURE,
        /** What is sent there: they are heeded. */
        LOAD,
        /** Nothing of ours: the call is made again at once. */
        NOISE
    }

    /** Evidence, in nats, at which a cause is settled, and beyond which none is kept; where noise is given up again. */
    static final double SETTLED = 3;
    private static final double MOST = 6;
    /** More refusals than this share are never taken for noise: as many may be load that is truly shed. */
    public static final double MOST_SHARE = 0.35;
    private static final double LEAST_SHARE = 0.02;
    /** Span over which limits are counted, us, and how soon after a refusal a call tells the two apart. */
    private static final double SPAN_US = 1_000_000;
    private static final long CLOSE_US = 300_000;
    /** Chance of room right after a refusal where a limit is counted: others' calls end, spans are short. */
    private static final double ROOM_AT_ONCE = 0.08;
    /** Calls of memory in the share, what it begins with, and time in which evidence fades to a third, us. */
    private static final double SHARE_WEIGHT = 1.0 / 64;
    private static final double FIRST_SHARE = 0.05;
    private static final double FADE_US = 30_000_000;
    /** First and longest time between two calls that are made to learn, us. */
    private static final long PROBE_LEAST_US = 500_000;
    private static final long PROBE_MOST_US = 64_000_000;
    private static final int KEPT = 8;

    private final long[] refusedAtUs = new long[KEPT];
    private int refusals;
    private double evidence;
    private double share = FIRST_SHARE;
    private long evidenceUs, probeAtUs, probeGapUs = PROBE_LEAST_US;
    private boolean noise, settledNow;

    /** A call sent at that moment was served. */
    public void served(final long sentUs, final long nowUs) {
        final double room = room(sentUs);
        if (room < 1) {
            weigh(Math.log((1 - likely()) / room), nowUs);
        }
        share -= SHARE_WEIGHT * share;
    }

    /** A call sent at that moment was refused, and no wait was told. */
    public void refused(final long sentUs, final long nowUs) {
        final double room = room(sentUs);
        if (room < 1) {
            weigh(Math.log(likely() / (1 - room)), nowUs);
        }
        share += SHARE_WEIGHT * (1 - share);
        refusedAtUs[refusals++ % KEPT] = sentUs;
    }

    /** How likely room is at a call's moment where a limit holds and an earlier call was refused; 1: nothing is told. */
    private double room(final long sentUs) {
        long lastUs = Long.MIN_VALUE;
        for (int index = 0; index < Math.min(refusals, KEPT); index++) {
            if (refusedAtUs[index] < sentUs) {
                lastUs = Math.max(lastUs, refusedAtUs[index]);
            }
        }
        return lastUs < sentUs - CLOSE_US ? 1 : ROOM_AT_ONCE + (sentUs - lastUs) / SPAN_US;
    }

    private double likely() {
        return Math.max(LEAST_SHARE, Math.min(MOST_SHARE, share));
    }

    private void weigh(final double nats, final long nowUs) {
        evidence = Math.max(-MOST, Math.min(MOST, evidence(nowUs) + nats));
        evidenceUs = nowUs;
        final boolean before = noise;
        noise = evidence >= SETTLED || noise && evidence > 0;
        settledNow = noise && !before;
    }

    /** True if the last outcome settled that refusals are noise: what was done about them may be undone. */
    public boolean hasJustSettled() {
        return settledNow;
    }

    /** Nats for noise (above 0) or load (below). */
    public double evidence(final long nowUs) {
        return evidence * Math.exp(-(nowUs - evidenceUs) / FADE_US);
    }

    /** Share of recent calls that were refused. */
    public double share() {
        return share;
    }

    /** What refusals are taken to answer to now. */
    public Cause cause(final long nowUs) {
        if (noise && share <= MOST_SHARE) {
            return Cause.NOISE;
        }
        return evidence(nowUs) <= -SETTLED || share > MOST_SHARE ? Cause.LOAD : Cause.UNSURE;
    }

    /** True if one more call is worth what it teaches; the next one is let go only after some time. */
    public boolean takeProbe(final long nowUs) {
        if (nowUs < probeAtUs) {
            return false;
        }
        probeAtUs = nowUs + probeGapUs;
        return true;
    }

    /** How the call ended that was made to learn: those that taught load come ever more rarely. */
    public void probed(final boolean served, final long nowUs) {
        probeGapUs = served ? PROBE_LEAST_US : Math.min(PROBE_MOST_US, 4 * probeGapUs);
        probeAtUs = Math.min(probeAtUs, nowUs + probeGapUs);
        if (!served) {
            probeAtUs = nowUs + probeGapUs;
        }
    }

    /** What is learnt, to be handed on: see {@link #recall}. */
    public double[] figures() {
        return new double[] {evidence, share, noise ? 1 : 0, probeGapUs};
    }

    /** Takes over what another reading of the same destination had learnt. */
    public void recall(final double[] figures, final long nowUs) {
        evidence = Math.max(-MOST, Math.min(MOST, figures[0]));
        share = Math.max(0, Math.min(1, figures[1]));
        noise = figures[2] > 0;
        probeGapUs = (long) Math.max(PROBE_LEAST_US, Math.min(PROBE_MOST_US, figures[3]));
        evidenceUs = nowUs;
    }
}

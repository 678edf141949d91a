package thistleturn.decisions.pools;

import java.util.HashMap;
import java.util.Map;

/**
 * How long an endpoint takes for a call, by its latest responses: after which time a response is
 * missing, and before which time one is not that of the call. A response cannot come before its
 * call has reached the endpoint, so one that comes much sooner than any before answers an earlier
 * call.
 */
public final class ResponseTimes {
  /** The part of the slowest time that is kept with each later response. */
  private static final double SLOWEST_DECAY = 0.995;

  /** A response counts as missing after this many times the slowest time. */
  private static final double SILENCE_FACTOR = 1.5;

  /** From so many responses on, the slowest of them is meaningful. */
  private static final int MIN_RESPONSES = 20;

  /** The part of the earliest time below which a response is too soon: work varies a little. */
  private static final double TOO_SOON_FACTOR = 0.75;

  /** Up to this multiple of the earliest time the slowest one shows that work varies little. */
  private static final double STEADY_FACTOR = 2;

  /** By how much the earliest time rises with each later response that is not as early. */
  private static final double EARLIEST_RISE = 1.0005;

  private final Map<AnswerHistory.Kind, Double> earliestUs = new HashMap<>();
  private double slowestUs;
  private int responses;

  /** Creates the times of an endpoint that has not responded. */
  public ResponseTimes() {}

  /** Adds a response, which may be that of another call. */
  public void add(final long durationUs) {
    responses++;
    slowestUs = Math.max((double) durationUs, SLOWEST_DECAY * slowestUs);
  }

  /** Adds what is known to be a call's own response. */
  public void addOwn(final AnswerHistory.Kind kind, final long durationUs) {
    earliestUs.merge(
        kind, (double) durationUs, (earlier, latest) -> Math.min(EARLIEST_RISE * earlier, latest));
  }

  /**
   * Returns how long after a call, us, its response would have come; {@link Long#MAX_VALUE} while
   * too few have come.
   */
  public long dueUs() {
    return isDueKnown() ? dueByAllUs() : Long.MAX_VALUE;
  }

  /** Returns the same by all responses so far, however few they are; 0 if there is none. */
  long dueByAllUs() {
    return (long) (SILENCE_FACTOR * slowestUs);
  }

  /** Returns whether enough responses have come to say when one is missing. */
  public boolean isDueKnown() {
    return responses >= MIN_RESPONSES;
  }

  /**
   * Returns how long after a call, us, the end of its connection shows that a response of this kind
   * which came too soon was not its own. That is as long as the endpoint takes for a call if its
   * work varies little. Otherwise a quick response may be the call's own, and only an end before
   * any could have come shows that.
   */
  public long unansweredWithinUs(final AnswerHistory.Kind kind) {
    final double earliest = earliestUs.getOrDefault(kind, 0.0);
    return slowestUs <= STEADY_FACTOR * earliest ? dueByAllUs() : (long) earliest;
  }

  /** Returns whether no response of this kind has come nearly as soon after its call. */
  public boolean isTooSoon(final AnswerHistory.Kind kind, final long durationUs) {
    return durationUs < TOO_SOON_FACTOR * earliestUs.getOrDefault(kind, 0.0);
  }
}

package thistleturn.decisions.pools;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The answers of one connection that are known by their places alone, in the order in which they
 * were read, and which of them can be those of other calls.
 *
 * <p>A copy repeats an answer that the connection has carried. From the call that read it on, a
 * call may have read the answer to another one, and its own comes later, in any order: an endpoint
 * that works on several calls may answer the shortest first. So an answer is in doubt only if an
 * answer of its kind was read before, and if what came later, or did not come, in the time that the
 * endpoint takes for a call, can be the call's own and is of another kind. Bytes that are no answer
 * of this connection cannot be explained by copies and put nothing in doubt.
 */
public final class AnswerHistory {
  /** How many of the latest answers are kept at least. */
  private static final int MIN_KEPT = 128;

  private static final int NONE = Integer.MAX_VALUE;

  private final List<Answer> answers = new ArrayList<>();
  private final Map<Kind, Kind> carried = new HashMap<>();

  /** How many answers were read before the ones that are kept; they are the calls' own. */
  private int dropped;

  private int surplus;
  private int firstPossibleCopy = NONE;

  private long sentUs;
  private long answeredUs;

  /**
   * An answer.
   *
   * @param sentUs when its call was sent
   * @param readUs when it was read
   * @param ownDueUs by when the answer to its call comes
   * @param evidence what its circumstances say
   */
  private record Answer(
      Kind kind, long sentUs, long readUs, long ownDueUs, Circumstances evidence) {
    private Answer with(final Circumstances latest) {
      return new Answer(kind, sentUs, readUs, ownDueUs, latest);
    }
  }

  /** What the circumstances of an answer say about whose it is. */
  private enum Circumstances {
    USUAL,
    /** It came much sooner than the endpoint ever answers. */
    TOO_SOON,
    /** Besides, the endpoint ended the connection before it can have answered. */
    SUSPECT
  }

  /**
   * What an answer states.
   *
   * @param status its status
   * @param endsAttempts whether it states that no further attempt of its message may follow, other
   *     than by a delivery
   */
  public record Kind(int status, boolean endsAttempts) {
    /** What an answer states that cannot be read. */
    public static final Kind UNKNOWN = new Kind(-1, false);
  }

  /** What is known of an answer. */
  public enum Doubt {
    /** It is the call's own. */
    NONE,
    /** The call's own answer may be another one. */
    MAY_BE_OTHER,
    /** The call's own answer may be another one that states an end of attempts. */
    MAY_BE_END
  }

  /** Creates the history of a connection that has carried no answer. */
  public AnswerHistory() {}

  /** A call is sent; the connection carries no other one. */
  public void onCallSent(final long nowUs) {
    sentUs = nowUs;
  }

  /** The answer that is read for the call is complete; it may be added later. */
  public void onAnswerComplete(final long nowUs) {
    answeredUs = nowUs;
  }

  /**
   * Adds the answer that was read for the call. Of one that is not complete it is only known that
   * the call was sent before.
   *
   * @param responseTimeUs how long the endpoint takes for a call at most
   * @return its place
   */
  public int add(final Kind kind, final long responseTimeUs) {
    final int place = dropped + answers.size();
    if (carried.containsKey(kind) && firstPossibleCopy == NONE) {
      firstPossibleCopy = place;
    }
    final long ownDueUs = sentUs + Math.min(responseTimeUs, Long.MAX_VALUE - sentUs);
    append(kind, sentUs, Math.max(sentUs, answeredUs), ownDueUs);
    return place;
  }

  /** Adds an answer that names its messages: it takes no place, and may be copied. */
  public void addNamed(final Kind kind) {
    carried.putIfAbsent(kind, kind);
  }

  /**
   * Adds an answer that was read without a call.
   *
   * @param readUs when it was read
   */
  public void addSurplus(final Kind kind, final long readUs) {
    surplus++;
    append(kind, readUs, readUs, readUs);
  }

  private void append(
      final Kind kind, final long callSentUs, final long readUs, final long ownDueUs) {
    carried.putIfAbsent(kind, kind);
    answers.add(new Answer(carried.get(kind), callSentUs, readUs, ownDueUs, Circumstances.USUAL));
    if (answers.size() > 2 * MIN_KEPT) {
      answers.subList(0, MIN_KEPT).clear();
      dropped += MIN_KEPT;
    }
  }

  /** How many answers were read without a call. */
  public int surplus() {
    return surplus;
  }

  /** The latest answer came much sooner after its call than the endpoint ever answers. */
  public void noteTooSoon() {
    answers.set(answers.size() - 1, answers.get(answers.size() - 1).with(Circumstances.TOO_SOON));
  }

  /**
   * Notes that the endpoint has ended the connection, and may not have read or not have answered
   * the calls that were sent since. An answer to one of them that came too soon is suspect.
   */
  public void suspectTooSoon(final long sentSinceUs) {
    answers.replaceAll(
        each ->
            each.evidence() == Circumstances.TOO_SOON && each.sentUs() >= sentSinceUs
                ? each.with(Circumstances.SUSPECT)
                : each);
  }

  /** Returns whether an answer is suspect, and the call's own one may not have come. */
  public boolean isSuspect(final int place) {
    return place >= dropped
        && answers.get(place - dropped).evidence() == Circumstances.SUSPECT
        && doubtOf(place, false) != Doubt.NONE;
  }

  /**
   * Notes that nothing has come for as long as the endpoint takes for a call. The connection
   * carries none, or one whose answer is complete.
   *
   * @return whether all answers so far are those of their calls
   */
  public boolean settleIfSilent(final long nowUs, final long responseTimeUs) {
    return nowUs - answeredUs >= responseTimeUs && settle();
  }

  /**
   * Notes that the endpoint has closed the connection, which carries no call. It does so while it
   * works on no call, but one may have been on its way: then an earlier answer was read for it.
   *
   * @return whether all answers so far are those of their calls
   */
  public boolean settleIfUnsuspected() {
    return answers.stream().noneMatch(each -> each.evidence() == Circumstances.SUSPECT) && settle();
  }

  /**
   * All answers to the calls so far have come, and no other.
   *
   * @return false if an answer came without a call
   */
  private boolean settle() {
    if (surplus > 0) {
      return false;
    }
    dropped += answers.size();
    answers.clear();
    firstPossibleCopy = NONE;
    return true;
  }

  /**
   * Returns whether an answer read next is that of its call: no answer of its kind was read before,
   * and none so far can have been a copy.
   */
  public boolean isOwn(final Kind kind) {
    return firstPossibleCopy == NONE && !carried.containsKey(kind);
  }

  /**
   * Returns what is known of an answer.
   *
   * @param complete whether all answers to the calls on the connection have come
   */
  public Doubt doubtOf(final int place, final boolean complete) {
    if (place < dropped || place < firstPossibleCopy) {
      return Doubt.NONE;
    }
    final int index = place - dropped;
    final Answer read = answers.get(index);
    final Set<Doubt> doubts = EnumSet.of(Doubt.NONE);
    for (final Answer later : possibleOwn(index, complete)) {
      if (!later.kind().equals(read.kind())) {
        doubts.add(later.kind().endsAttempts() ? Doubt.MAY_BE_END : Doubt.MAY_BE_OTHER);
      }
    }
    return doubts.contains(Doubt.MAY_BE_END)
        ? Doubt.MAY_BE_END
        : doubts.contains(Doubt.MAY_BE_OTHER) ? Doubt.MAY_BE_OTHER : Doubt.NONE;
  }

  /** The later answers that may be that of a call, one of an unknown kind if it has not come. */
  private List<Answer> possibleOwn(final int index, final boolean complete) {
    if (surplus == 0 && complete) {
      return List.of();
    }
    final long dueUs = answers.get(index).ownDueUs();
    final List<Answer> possible = new ArrayList<>();
    answers.subList(index + 1, answers.size()).stream()
        .filter(later -> later.readUs() <= dueUs)
        .forEach(possible::add);
    final long latestUs = answers.get(answers.size() - 1).readUs();
    if (!complete && latestUs <= dueUs) {
      possible.add(new Answer(Kind.UNKNOWN, latestUs, latestUs, dueUs, Circumstances.USUAL));
    }
    return possible;
  }
}

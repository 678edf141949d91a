package thistleturn.decisions.pools;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * Confirms answers that ended their messages and are known only by their place on a connection, or
 * puts them in doubt.
 *
 * <p>HTTP/1.1 matches a response with a request only by its place, so one response that comes twice
 * or late shifts all that follow. The first response on a connection belongs to its first call, and
 * a response that names its messages belongs to theirs, which says nothing about earlier ones: an
 * endpoint that works on several calls may respond in any order. Any other answer is unconfirmed
 * until its call's deadline: if it was not the call's own, its own comes by then on a connection
 * without a call, or in place of a later one. Such a response proves that the connection is out of
 * step; its {@link AnswerHistory} shows which of its answers can be those of other calls.
 *
 * <p>An answer that is suspect ({@link AnswerHistory#suspectTooSoon}) is in doubt as soon as its
 * connection ends, since the call's own can no longer come there.
 *
 * <p>A connection that was out of step is rarely the only one. The answers of a connection that
 * ends before it has shown whether it is in step are in doubt at once if any connection was out of
 * step lately, and otherwise if one proves to be before the message's deadline, since the cause may
 * lie between this courier and all endpoints. An endpoint whose connections are out of step again
 * and again gets a connection for each call for some time.
 *
 * @param <C> identifies a call
 * @param <N> identifies a connection
 */
public final class AnswerConfirmation<C, N> {
  /** How long each call to an endpoint gets a connection of its own, us. */
  public static final long SUSPENSION_US = 60_000_000;

  /** How long a connection that was out of step makes answers of its endpoint doubtful, us. */
  static final long SAME_CAUSE_US = 60_000_000;

  /** How long a connection that was out of step makes answers of other endpoints doubtful, us. */
  static final long COMMON_CAUSE_US = 10_000_000;

  /** Reuse is suspended once so many connections to an endpoint were out of step... */
  static final int SUSPENDING_CONNECTIONS = 4;

  /** ... within this time, us. */
  static final long SUSPENDING_PERIOD_US = 2_000_000;

  /** By connection; the connection with the earliest answer is first. */
  private final Map<N, Deque<Unconfirmed<C, N>>> unconfirmed = new LinkedHashMap<>();

  /** The connections with unconfirmed answers that have ended. */
  private final Map<N, AnswerHistory> ended = new LinkedHashMap<>();

  /** What is known of the endpoints whose connections were out of step lately. */
  private final Map<Long, OutOfStep> outOfStep = new HashMap<>();

  /** An answer that is confirmed at a time unless its connection proves to be out of step. */
  private record Unconfirmed<C, N>(
      C call,
      N connection,
      long endpoint,
      int place,
      long callDeadlineUs,
      long messageDeadlineUs) {}

  /** When the connections to an endpoint were last out of step. */
  private static final class OutOfStep {
    private final Deque<Long> recentUs = new ArrayDeque<>();
    private long latestUs;
    private long suspendedUntilUs = Long.MIN_VALUE;

    private void add(final long nowUs) {
      latestUs = nowUs;
      recentUs.addLast(nowUs);
      while (recentUs.getFirst() <= nowUs - SUSPENDING_PERIOD_US) {
        recentUs.removeFirst();
      }
      if (recentUs.size() >= SUSPENDING_CONNECTIONS) {
        suspendedUntilUs = nowUs + SUSPENSION_US;
      }
    }

    private boolean isOver(final long nowUs) {
      return nowUs >= latestUs + SAME_CAUSE_US && nowUs >= suspendedUntilUs;
    }
  }

  /**
   * An answer in doubt.
   *
   * @param mayBeEnd whether the call's own answer may state an end of attempts
   */
  public record Doubtful<C>(C call, boolean mayBeEnd) {}

  /**
   * What becomes of answers.
   *
   * @param confirmed the calls whose answers are confirmed
   * @param inDoubt those whose answers are in doubt
   */
  public record Verdict<C>(List<C> confirmed, List<Doubtful<C>> inDoubt) {}

  /**
   * What becomes of answers whose time has come.
   *
   * @param confirmed the calls whose answers are confirmed
   * @param toEnd the connections that have to be ended, which may put their answers in doubt
   */
  public record Resolution<C, N>(List<C> confirmed, Set<N> toEnd) {}

  /** Creates an empty set of answers. */
  public AnswerConfirmation() {}

  /**
   * Adds an unconfirmed answer.
   *
   * @param place its place in the history of the connection
   * @param callDeadlineUs when the call would have timed out
   * @param messageDeadlineUs until when it may be put in doubt if its connection ends: the message
   *     can be sent again, or ended by a notice, until then
   */
  public void add(
      final C call,
      final N connection,
      final long endpoint,
      final int place,
      final long callDeadlineUs,
      final long messageDeadlineUs) {
    unconfirmed
        .computeIfAbsent(connection, unused -> new ArrayDeque<>())
        .add(
            new Unconfirmed<>(
                call, connection, endpoint, place, callDeadlineUs, messageDeadlineUs));
  }

  /** Returns whether there are no unconfirmed answers. */
  public boolean isEmpty() {
    return unconfirmed.isEmpty();
  }

  /** Returns whether a connection has unconfirmed answers. */
  public boolean isUnconfirmed(final N connection) {
    return unconfirmed.containsKey(connection);
  }

  /**
   * Confirms the earliest answer of the connection that has had one for longest, for lack of
   * memory.
   */
  public C confirmOldest() {
    final Deque<Unconfirmed<C, N>> oldest = unconfirmed.values().iterator().next();
    final Unconfirmed<C, N> confirmed = oldest.removeFirst();
    removeIfEmpty(confirmed.connection());
    return confirmed.call();
  }

  /** Returns whether each call to an endpoint needs a connection of its own. */
  public boolean isReuseSuspended(final long endpoint, final long nowUs) {
    final OutOfStep known = outOfStep.get(endpoint);
    return known != null && nowUs < known.suspendedUntilUs;
  }

  /** Returns whether connections to any endpoint were out of step lately. */
  public boolean wasAnyOutOfStep(final long nowUs) {
    return outOfStep.values().stream().anyMatch(each -> nowUs < each.latestUs + COMMON_CAUSE_US);
  }

  private boolean wasOutOfStep(final long endpoint, final long nowUs) {
    final OutOfStep known = outOfStep.get(endpoint);
    return known != null && nowUs < known.latestUs + SAME_CAUSE_US;
  }

  /**
   * A response came on a connection that does not belong to the call for which it was read.
   *
   * @param history all that was read on the connection
   * @param complete whether all responses to its calls have come
   */
  public Verdict<C> onOutOfStep(
      final N connection,
      final long endpoint,
      final AnswerHistory history,
      final boolean complete,
      final long nowUs) {
    outOfStep.values().removeIf(each -> each.isOver(nowUs));
    outOfStep.computeIfAbsent(endpoint, unused -> new OutOfStep()).add(nowUs);
    final Verdict<C> verdict = judge(connection, history, complete);
    Map.copyOf(ended)
        .forEach(
            (other, its) -> {
              final Verdict<C> earlier = judge(other, its, false);
              verdict.confirmed().addAll(earlier.confirmed());
              verdict.inDoubt().addAll(earlier.inDoubt());
            });
    return verdict;
  }

  /**
   * A connection has ended, so nothing more is learned about its answers.
   *
   * @param history all that was read on the connection
   */
  public Verdict<C> onConnectionEnded(
      final N connection, final AnswerHistory history, final long nowUs) {
    final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
    if (answers == null) {
      return new Verdict<>(List.of(), List.of());
    }
    if (wasOutOfStep(answers.getFirst().endpoint(), nowUs) || wasAnyOutOfStep(nowUs)) {
      return judge(connection, history, false);
    }
    final List<Doubtful<C>> inDoubt =
        take(connection, each -> history.isSuspect(each.place())).stream()
            .map(each -> doubtful(each, history.doubtOf(each.place(), false)))
            .toList();
    final List<C> confirmed =
        calls(
            take(
                connection,
                each -> history.doubtOf(each.place(), false) == AnswerHistory.Doubt.NONE));
    if (unconfirmed.containsKey(connection)) {
      ended.put(connection, history);
    }
    return new Verdict<>(confirmed, inDoubt);
  }

  private static <C, N> Doubtful<C> doubtful(
      final Unconfirmed<C, N> answer, final AnswerHistory.Doubt doubt) {
    return new Doubtful<>(answer.call(), doubt == AnswerHistory.Doubt.MAY_BE_END);
  }

  /** Removes all answers of a connection: each is confirmed or in doubt. */
  private Verdict<C> judge(
      final N connection, final AnswerHistory history, final boolean complete) {
    final Verdict<C> verdict = new Verdict<>(new ArrayList<>(), new ArrayList<>());
    final Deque<Unconfirmed<C, N>> answers = unconfirmed.remove(connection);
    ended.remove(connection);
    if (answers == null) {
      return verdict;
    }
    for (final Unconfirmed<C, N> answer : answers) {
      final AnswerHistory.Doubt doubt = history.doubtOf(answer.place(), complete);
      if (doubt == AnswerHistory.Doubt.NONE) {
        verdict.confirmed().add(answer.call());
      } else {
        verdict.inDoubt().add(doubtful(answer, doubt));
      }
    }
    return verdict;
  }

  /** Resolves the answers whose calls would have timed out by now. */
  public Resolution<C, N> resolveDue(final long nowUs) {
    return resolve(
        answer ->
            nowUs
                >= (ended.containsKey(answer.connection())
                    ? answer.messageDeadlineUs()
                    : answer.callDeadlineUs()),
        endpoint -> isReuseSuspended(endpoint, nowUs));
  }

  /** Resolves all answers now, since this process will not learn more about them. */
  public Resolution<C, N> resolveAll(final long nowUs) {
    return resolve(answer -> true, endpoint -> wasOutOfStep(endpoint, nowUs));
  }

  private Resolution<C, N> resolve(
      final Predicate<Unconfirmed<C, N>> due, final LongPredicate doubtful) {
    final List<C> confirmed = new ArrayList<>();
    final Set<N> toEnd = new LinkedHashSet<>();
    for (final N connection : List.copyOf(unconfirmed.keySet())) {
      final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
      if (!doubtful.test(answers.getFirst().endpoint())) {
        confirmed.addAll(calls(take(connection, due)));
      } else if (answers.stream().anyMatch(due)) {
        toEnd.add(connection);
      }
    }
    return new Resolution<>(confirmed, toEnd);
  }

  /** Removes and returns answers of a connection, which all have the same endpoint. */
  private List<Unconfirmed<C, N>> take(
      final N connection, final Predicate<Unconfirmed<C, N>> selected) {
    final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
    if (answers == null) {
      return List.of();
    }
    final List<Unconfirmed<C, N>> taken = answers.stream().filter(selected).toList();
    answers.removeAll(taken);
    removeIfEmpty(connection);
    return taken;
  }

  private List<C> calls(final List<Unconfirmed<C, N>> answers) {
    return answers.stream().map(Unconfirmed::call).toList();
  }

  private void removeIfEmpty(final N connection) {
    if (unconfirmed.get(connection).isEmpty()) {
      unconfirmed.remove(connection);
      ended.remove(connection);
    }
  }
}

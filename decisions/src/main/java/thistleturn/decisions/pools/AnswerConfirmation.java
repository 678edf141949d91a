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
 * without a call, or in place of a later one. Such bytes prove that the connection is out of step.
 * All its unconfirmed answers are then in doubt, and so are those of other connections that have
 * ended, on which nothing more can come.
 *
 * <p>A connection that was out of step is rarely the only one. Those to its endpoint are not reused
 * for some time. An answer whose connection ends is in doubt at once if any connection was out of
 * step lately, and otherwise if one proves to be before the message's deadline, since the cause may
 * lie between this courier and all endpoints.
 *
 * @param <C> identifies a call
 * @param <N> identifies a connection
 */
public final class AnswerConfirmation<C, N> {
  /** How long each call gets a connection of its own after one was out of step, us. */
  public static final long SUSPENSION_US = 60_000_000;

  /** How long a connection that was out of step makes answers of other endpoints doubtful, us. */
  static final long COMMON_CAUSE_US = 10_000_000;

  /** By connection; the connection with the earliest answer is first. */
  private final Map<N, Deque<Unconfirmed<C, N>>> unconfirmed = new LinkedHashMap<>();

  /** The connections with unconfirmed answers that have ended. */
  private final Set<N> ended = new LinkedHashSet<>();

  /** When a connection to an endpoint was last out of step. */
  private final Map<Long, Long> outOfStepUs = new HashMap<>();

  /** An answer that is confirmed at a time unless its connection proves to be out of step. */
  private record Unconfirmed<C, N>(
      C call, N connection, long endpoint, long callDeadlineUs, long messageDeadlineUs) {}

  /**
   * What becomes of answers whose time has come.
   *
   * @param confirmed the calls whose answers are confirmed
   * @param toEnd the connections that have to be ended, which puts their answers in doubt
   */
  public record Resolution<C, N>(List<C> confirmed, Set<N> toEnd) {}

  /** Creates an empty set of answers. */
  public AnswerConfirmation() {}

  /**
   * Adds an unconfirmed answer.
   *
   * @param callDeadlineUs when the call would have timed out
   * @param messageDeadlineUs until when it may be put in doubt if its connection ends: the message
   *     can be sent again, or ended by a notice, until then
   */
  public void add(
      final C call,
      final N connection,
      final long endpoint,
      final long callDeadlineUs,
      final long messageDeadlineUs) {
    unconfirmed
        .computeIfAbsent(connection, unused -> new ArrayDeque<>())
        .add(new Unconfirmed<>(call, connection, endpoint, callDeadlineUs, messageDeadlineUs));
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
    final Long atUs = outOfStepUs.get(endpoint);
    return atUs != null && nowUs < atUs + SUSPENSION_US;
  }

  /** Returns whether connections to any endpoint were out of step lately. */
  public boolean wasAnyOutOfStep(final long nowUs) {
    return outOfStepUs.values().stream().anyMatch(atUs -> nowUs < atUs + COMMON_CAUSE_US);
  }

  /**
   * Bytes came on a connection that do not belong to the call for which they were read.
   *
   * @return the calls whose answers are in doubt
   */
  public List<C> onOutOfStep(final N connection, final long endpoint, final long nowUs) {
    outOfStepUs.values().removeIf(atUs -> atUs + SUSPENSION_US <= nowUs);
    outOfStepUs.put(endpoint, nowUs);
    final List<C> inDoubt = takeAll(connection);
    List.copyOf(ended).forEach(other -> inDoubt.addAll(takeAll(other)));
    return inDoubt;
  }

  /**
   * A connection has ended, so nothing more is learned about its answers.
   *
   * @return the calls whose answers are in doubt
   */
  public List<C> onConnectionEnded(final N connection, final long nowUs) {
    final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
    if (answers == null) {
      return List.of();
    }
    ended.add(connection);
    final boolean inDoubt =
        isReuseSuspended(answers.getFirst().endpoint(), nowUs) || wasAnyOutOfStep(nowUs);
    return inDoubt ? takeAll(connection) : List.of();
  }

  /** Resolves the answers whose calls would have timed out by now. */
  public Resolution<C, N> resolveDue(final long nowUs) {
    return resolve(
        answer ->
            nowUs
                >= (ended.contains(answer.connection())
                    ? answer.messageDeadlineUs()
                    : answer.callDeadlineUs()),
        nowUs);
  }

  /** Resolves all answers now, since this process will not learn more about them. */
  public Resolution<C, N> resolveAll(final long nowUs) {
    return resolve(answer -> true, nowUs);
  }

  private Resolution<C, N> resolve(final Predicate<Unconfirmed<C, N>> due, final long nowUs) {
    final List<C> confirmed = new ArrayList<>();
    final Set<N> toEnd = new LinkedHashSet<>();
    for (final N connection : List.copyOf(unconfirmed.keySet())) {
      final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
      if (!isReuseSuspended(answers.getFirst().endpoint(), nowUs)) {
        confirmed.addAll(take(connection, due));
      } else if (answers.stream().anyMatch(due)) {
        toEnd.add(connection);
      }
    }
    return new Resolution<>(confirmed, toEnd);
  }

  private List<C> takeAll(final N connection) {
    return take(connection, answer -> true);
  }

  /** Removes and returns answers of a connection, which all have the same endpoint. */
  private List<C> take(final N connection, final Predicate<Unconfirmed<C, N>> selected) {
    final List<C> calls = new ArrayList<>();
    final Deque<Unconfirmed<C, N>> answers = unconfirmed.get(connection);
    if (answers == null) {
      return calls;
    }
    answers.stream().filter(selected).map(Unconfirmed::call).forEach(calls::add);
    answers.removeIf(selected);
    removeIfEmpty(connection);
    return calls;
  }

  private void removeIfEmpty(final N connection) {
    if (unconfirmed.get(connection).isEmpty()) {
      unconfirmed.remove(connection);
      ended.remove(connection);
    }
  }
}

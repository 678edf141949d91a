package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Ends;
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store.Flush;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * What a pass of the decisions promises to others: answers to clients, calls to endpoints, and ends
 * to the platform. Each is carried out once the journal outlasts the process with it, or once it is
 * certain that a restart cannot contradict it:
 *
 * <ul>
 *   <li>an acceptance and a call need the record;
 *   <li>a refusal needs that the record of the taking is not there, or is there with its end;
 *   <li>an end needs the record, or that its message's time is up: no restart sends that one again.
 * </ul>
 *
 * One that fails on its way does not keep the others from theirs. Used on the event loop's thread.
 */
final class Promises {
  /**
   * A client waits 400 ms for its answer; so long, us, the outcome of a write may be looked up
   * before it is refused.
   */
  private static final long MOST_HELD_US = 250_000;

  /** Who carries out what is promised. */
  interface Keeper {
    /** The message is taken on, and its client is told. */
    void accept(OpenMessage message);

    /** The message is not taken on, since it could not be written down; its client is told. */
    void refuseUnwritten(OpenMessage message);

    /** The call begins. */
    void start(Carrier.Call call);

    /** The call does not begin. */
    void drop(Carrier.Call call);
  }

  private record Refusal(Runnable answer, long sinceUs) {}

  private record Acceptance(OpenMessage message, long sinceUs) {}

  private final Keeper keeper;
  private final Ends ends;
  private final List<Refusal> refusals = new ArrayList<>();
  private final List<Acceptance> acceptances = new ArrayList<>();
  private final List<Carrier.Call> calls = new ArrayList<>();
  private final List<Held> untold = new ArrayList<>();

  Promises(final Keeper keeper, final Ends ends) {
    this.keeper = keeper;
    this.ends = ends;
  }

  /** A message was taken and waits for its answer. */
  void accept(final OpenMessage message, final long nowUs) {
    acceptances.add(new Acceptance(message, nowUs));
  }

  /** A message ended before it was answered, and its client is told why. */
  void refuse(final Runnable answer, final long nowUs) {
    refusals.add(new Refusal(answer, nowUs));
  }

  /** A call was decided and recorded. */
  void call(final Carrier.Call call) {
    calls.add(call);
  }

  /** A message that was taken on ended by a notice. */
  void end(final Held held) {
    untold.add(held);
  }

  /** True while ends wait that the journal lacks. */
  boolean hasUntoldEnds() {
    return !untold.isEmpty();
  }

  /** Carries out what may be after a flush of the journal with this outcome. */
  void keep(final Flush flush, final long nowUs) {
    keepRefusals(flush, nowUs);
    keepAcceptances(flush, nowUs);
    final List<Carrier.Call> due = List.copyOf(calls);
    calls.clear();
    for (final Carrier.Call call : due) {
      if (flush != Flush.SAFE || !guarded("call", () -> keeper.start(call))) {
        guarded("call that does not begin", () -> keeper.drop(call));
      }
    }
    keepEnds(flush, nowUs);
  }

  /** The same for what tells of ends only; answers and calls wait for the pass. */
  void keepRefusalsAndEnds(final Flush flush, final long nowUs) {
    keepRefusals(flush, nowUs);
    keepEnds(flush, nowUs);
  }

  private void keepRefusals(final Flush flush, final long nowUs) {
    final List<Refusal> due = take(refusals, one -> isCertain(flush, one.sinceUs(), nowUs));
    due.forEach(one -> guarded("refusal", one.answer()));
  }

  private void keepAcceptances(final Flush flush, final long nowUs) {
    final List<Acceptance> due = take(acceptances, one -> isCertain(flush, one.sinceUs(), nowUs));
    for (final Acceptance one : due) {
      if (one.message().reply != null && !one.message().over) {
        guarded(
            "answer",
            () -> {
              if (flush == Flush.SAFE) {
                keeper.accept(one.message());
              } else {
                keeper.refuseUnwritten(one.message());
              }
            });
      }
    }
  }

  private static boolean isCertain(final Flush flush, final long sinceUs, final long nowUs) {
    return flush != Flush.UNKNOWN || nowUs - sinceUs >= MOST_HELD_US;
  }

  private void keepEnds(final Flush flush, final long nowUs) {
    final List<Held> due =
        take(untold, held -> flush == Flush.SAFE || held.validUntilUs() <= nowUs);
    if (flush != Flush.SAFE && !due.isEmpty()) {
      Log.event(Event.END_TOLD_UNWRITTEN, "ends", due.size(), "first", due.get(0).id());
    }
    due.forEach(ends::add);
    guarded("notices", ends::flush);
  }

  private static <T> List<T> take(final List<T> from, final Predicate<T> isDue) {
    final List<T> due = from.stream().filter(isDue).toList();
    from.removeAll(due);
    return due;
  }

  /**
   * True if it was carried out; what fails is told in the log and keeps nothing else from being
   * carried out.
   */
  private static boolean guarded(final String step, final Runnable action) {
    try {
      action.run();
      return true;
    } catch (final RuntimeException e) {
      Log.count(Event.STEP_FAILED);
      Log.failure(step, e);
      return false;
    }
  }
}

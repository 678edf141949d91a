package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import thistleturn.decisions.index.TimeHeap;

/**
 * Calls out far longer than expected: silence is counted before a time-out, and may not eat the
 * slots.
 */
final class Silence {
  /** How soon a further silent call may be called off, us. */
  private static final long POLL_US = 20_000;

  /** An endpoint is left alone so long after the last look that found it silent, us. */
  private static final long AVOID_US = Control.SECOND_US;

  private final State state;
  private final TimeHeap<Call> overdue = new TimeHeap<>();

  /** Calls that are overdue and not called off, the one sent first at the front. */
  private final TreeSet<Call> silent =
      new TreeSet<>(
          Comparator.comparingLong((Call call) -> call.sentUs)
              .thenComparingLong(Call::firstNumber));

  /** The last look at all that is overdue. */
  private long passTick, passUs;

  Silence(final State state) {
    this.state = state;
  }

  /** A call is out, or what it is expected to take has changed. */
  void expect(final Call call) {
    overdue.schedule(call, call.overdueUs());
  }

  /** When the next call falls silent; never, if none is out. */
  long firstUs() {
    return overdue.earliestDueUs();
  }

  /** Everything is looked at now. */
  void look() {
    passTick = state.tick;
    passUs = state.nowUs;
  }

  /** One message of a call has its outcome. */
  void answered(final Call call, final Job job) {
    silent.remove(call);
    call.jobs.remove(job);
    if (call.isSilent() && !call.jobs.isEmpty()) {
      silent.add(call);
    }
  }

  /** A call is over. */
  void over(final Call call) {
    final Node node = call.node;
    overdue.remove(call);
    node.lane.fallen -= call.fallen ? 1 : 0;
    if (call.fallen && node.lastServedUs < call.sentUs) {
      node.silent--;
      node.lane.silent--;
    }
  }

  /** This courier did not run for so long: that is nobody's silence. */
  void away(final long awayUs) {
    final List<Call> out = new ArrayList<>();
    for (Call call = overdue.poll(Control.NEVER);
        call != null;
        call = overdue.poll(Control.NEVER)) {
      out.add(call);
    }
    out.forEach(call -> call.awayUs += awayUs);
    out.forEach(this::expect);
  }

  /**
   * Attempts out far longer than expected with no success on their endpoint since: silence,
   * counted.
   */
  void fallOverdue() {
    for (Call call = overdue.poll(state.nowUs); call != null; call = overdue.poll(state.nowUs)) {
      call.fallen = true;
      call.node.lane.fallen++;
      state.touch(call.node.lane.destination);
      if (call.isSilent()) {
        silent.add(call);
      }
      final Node node = call.node;
      if (node.lastServedUs < call.sentUs) {
        node.lane.silent++;
        node.avoidTick = node.silent++ == 0 ? state.tick : node.avoidTick;
      }
    }
  }

  /**
   * An endpoint is avoided while calls to it are silent, and for a while after the last look that
   * found them so. That is noted when something is about to change it: nothing need be done at each
   * look.
   */
  void avoidSilent(final Node node) {
    final boolean byPass = passTick > node.lane.lookTick;
    if (node.silent > 0 && Math.max(passTick, node.lane.lookTick) >= node.avoidTick) {
      Arrays.fill(node.avoidUntilUs, (byPass ? passUs : node.lane.lookUs) + AVOID_US);
      node.avoidTick = state.tick;
    }
  }

  /**
   * Silence may not eat the slots: while all are taken and a message could go elsewhere, the call
   * longest overdue is called off. Covers hung, stalled and very slow ones; hurts where one would
   * have answered.
   */
  void reclaimSlot() {
    if (state.callsOut < state.slots
        || !state.settings.limits().mayCancel()
        || silent.isEmpty()
        || !state.ready().anyOf(entry -> entry.lane.phase == Phase.WELL, state.nowUs)) {
      return;
    }
    final Call worst = silent.pollFirst();
    worst.calledOff = true;
    worst.jobs.forEach(job -> state.actions.cancel(job.message.id(), job.attempts - 1));
    state.againUs =
        silent.isEmpty() ? state.againUs : Math.min(state.againUs, state.nowUs + POLL_US);
  }
}

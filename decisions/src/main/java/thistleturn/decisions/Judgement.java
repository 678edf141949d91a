package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.Courier.Outcome;
import thistleturn.decisions.Courier.Result;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.rejections.RejectionClassifier.Cause;

/**
 * What an outcome says of its endpoint and its lane: trouble, outage, return, and what refusals
 * answer to.
 */
final class Judgement {
  /**
   * After a time-out, the next ones are so many times as wide: it may have been slowness, not
   * silence.
   */
  private static final double STRETCH = 3;

  /** A told wait above this, us, is no limit's, whose spans are a second or two: it is shut. */
  private static final long LIMIT_WAIT_US = 5 * Control.SECOND_US / 2;

  /**
   * Weights in the run of bad outcomes, where a failure weighs 1: crowding refuses too, errors mix.
   */
  private static final double REFUSED_WEIGHT = 0.5;

  private static final double ERROR_WEIGHT = 0.4;

  /**
   * A run of this weight without success is an outage; so is this share of failures: most, and
   * chance.
   */
  private static final double OUT_WEIGHT = 3;

  private static final double OUT_SHARE = 0.6;

  /** Weight of a call in that share: about eight calls of memory. */
  private static final double FAIL_WEIGHT = 0.12;

  /**
   * An endpoint that failed is left alone so long, us; after that its failures in a row count as
   * calls.
   */
  private static final long AVOID_US = Control.SECOND_US;

  private final State state;
  private final Window window;
  private final Idle idle;

  Judgement(final State state, final Window window, final Idle idle) {
    this.state = state;
    this.window = window;
    this.idle = idle;
  }

  /**
   * Reads one outcome: service times, the step's inputs, waits, health of endpoint and lane. What
   * is counted in calls gets a message's part of its call: five messages turned away together are
   * one refusal.
   */
  void judge(final Node node, final Call call, final Job job, final Outcome outcome) {
    final Lane lane = node.lane;
    if (outcome.allowance() != null) {
      lane.allowance = outcome.allowance();
      lane.tell(lane.allowance.callsPerSecond(), Lane.PARTNER, state.nowUs);
    }
    final int kind = job.message.messageClass();
    final double part = 1.0 / call.size;
    final boolean first = lane.troubleFromUs == Control.NEVER;
    lane.troubleFromUs = Math.min(lane.troubleFromUs, state.nowUs);
    // A wait may stand in any answer, also one that delivers some of a call's messages.
    lane.waitUntilUs = Math.max(lane.waitUntilUs, state.nowUs + outcome.waitUs());
    switch (outcome.result()) {
      case DELIVERED -> delivered(node, call, kind, part, outcome.durationUs());
      case REFUSED -> {
        if (state.learns && outcome.waitUs() == 0 && isStray(lane, node, job, call)) {
          asBefore(lane, first);
        } else {
          refused(lane, call, part, outcome.waitUs());
        }
      }
      case ERROR -> {
        lane.errors += part;
        lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
        suspect(lane, part * ERROR_WEIGHT);
      }
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE ->
          failed(node, call, kind, part, outcome.result(), first);
      case NOT_SENT -> asBefore(lane, first);
    }
  }

  /** It was no sign of trouble; {@code first}: nor was there any before. */
  private static void asBefore(final Lane lane, final boolean first) {
    lane.troubleFromUs = first ? Control.NEVER : lane.troubleFromUs;
  }

  private void delivered(
      final Node node, final Call call, final int kind, final double part, final long durationUs) {
    final Lane lane = node.lane;
    final double ratio = state.times.learn(lane, kind, durationUs);
    lane.ratioSum += ratio;
    lane.delivered++;
    lane.served += part;
    node.served(kind, state.nowUs, durationUs);
    if (state.learns) {
      readServed(lane, call, part, ratio);
    }
    lane.badRun = 0;
    lane.stretch = Math.max(1, lane.stretch - STRETCH * Window.SAMPLE_WEIGHT);
    lane.failShare -= part * FAIL_WEIGHT * lane.failShare;
    if (lane.phase == Phase.OUT) {
      ramp(lane);
    }
    lane.troubleFromUs = Control.NEVER;
  }

  /**
   * A refusal that is heeded: a pause for the lane, and a step towards an outage unless it says the
   * same as one before.
   */
  private void refused(final Lane lane, final Call call, final double part, final long waitUs) {
    lane.bad += part;
    lane.refused++;
    lane.share.recordRejected(state.nowUs);
    final long fromUs = Math.max(state.nowUs, lane.waitUntilUs);
    final long gapUs = state.pace.patienceUs(lane, fromUs);
    lane.pauseUntilUs =
        fromUs
            + (waitUs > 0 ? (long) (state.random.nextDouble() * gapUs) : state.pace.jitter(gapUs));
    final boolean same = state.learns && lane.isSameSign(call.sentUs, state.nowUs);
    suspect(lane, waitUs > LIMIT_WAIT_US ? OUT_WEIGHT : same ? 0 : part * REFUSED_WEIGHT);
  }

  /**
   * Nobody answered, or a connection broke: of a kept one that was dead, of a single call, or of
   * its endpoint and lane.
   */
  private void failed(
      final Node node,
      final Call call,
      final int kind,
      final double part,
      final Result how,
      final boolean first) {
    final Lane lane = node.lane;
    call.stale |= call.wasDead(how, node.badRun[kind]);
    if (call.stale) {
      // A kept connection was dead: that says nothing of its endpoint, but of others like it.
      asBefore(lane, first);
      node.badRun[kind] += how == Result.STALE ? 0 : part;
      node.connections = 0;
      state.actions.closeIdle(node.entry.id());
      return;
    }
    if (state.learns && call.isSingle(kind, how)) {
      asBefore(lane, first);
      node.badRun[kind] += part;
      node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
      lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
      suspect(lane, part);
      return;
    }
    lane.bad += part;
    if (how == Result.TIMED_OUT || how == Result.CANCELLED) {
      lane.stretch = STRETCH;
    }
    if (first && !call.calledOff && how != Result.NO_CONNECTION) {
      idle.died(call);
    }
    node.badRun[kind] += part;
    if (node.lastServedUs < call.sentUs) {
      Arrays.fill(node.avoidUntilUs, state.nowUs + state.pace.jitter(AVOID_US));
    }
    node.avoidUntilUs[kind] = state.nowUs + state.pace.jitter(AVOID_US);
    node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
    if (how != Result.NO_CONNECTION || node.lastServedUs <= call.sentUs) {
      lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
      if (lane.failShare > Call.SINGLE_SHARE) {
        lane.growth.stop();
      }
      suspect(lane, part);
    }
  }

  /** A call served says whether there was room, and that there may be more. */
  private void readServed(final Lane lane, final Call call, final double part, final double ratio) {
    if (lane.growth.recordServed(ratio)) {
      window.prove(lane, part);
    }
    if (call.messages == 0) {
      lane.served(call, state.nowUs);
    }
  }

  /**
   * True for a refusal that does not answer to what this lane is sent: its message goes again at
   * once. One of an endpoint or class that alone refuses leaves only these alone; noise is borne
   * within a budget.
   */
  private boolean isStray(final Lane lane, final Node node, final Job job, final Call call) {
    job.refusedBy = node;
    if (call.refused || lane.phase != Phase.WELL) {
      return call.stray;
    }
    call.refused = true;
    call.stray = reads(lane, node, job.message.messageClass(), call);
    return call.stray;
  }

  private boolean reads(final Lane lane, final Node node, final int kind, final Call call) {
    final long restUs = node.cells[kind].recordRejected(lane.servedCalls, ++lane.refusedCalls);
    if (restUs > 0) {
      node.avoidUntilUs[kind] = state.nowUs + state.pace.jitter(restUs);
      return true;
    }
    lane.reading.recordRejected(call.sentUs, state.nowUs);
    if (lane.reading.cause(state.nowUs) == Cause.NOISE) {
      if (lane.budget.tryAcquire()) {
        return true;
      }
      lane.takeForLoad(state.nowUs);
    }
    if (lane.growth.recordRejected()) {
      window.halve(lane);
    }
    if (call.probe) {
      lane.reading.recordProbe(false, state.nowUs);
    }
    lane.mayProbe = true;
    return false;
  }

  /** Time may have brought silence, or the end of a ramp. */
  void watch(final Lane lane) {
    suspect(lane, 0);
    if (lane.phase == Phase.RAMP
        && state.nowUs - lane.rampFromUs > state.settings.guarantees().coldUs()) {
      lane.phase = Phase.WELL;
      if (state.learns) {
        lane.returned(state.nowUs + state.settings.guarantees().coldUs());
      }
    }
  }

  /**
   * Another says that a lane is out, or has begun to return: so it is here, unless more is known by
   * own calls since. A return is a ramp from the moment told on, so that all who are told share
   * one.
   */
  void told(final Lane lane, final Directive word) {
    if (word.kind() == Directive.Kind.LIMIT) {
      lane.tell(word.value(), word.source(), state.nowUs);
      return;
    }
    final long sinceUs = (long) word.value();
    if (word.kind() == Directive.Kind.OUTAGE
        && lane.phase == Phase.WELL
        && lane.nodes.stream().allMatch(node -> node.lastServedUs < sinceUs)) {
      lane.troubleFromUs = Math.min(lane.troubleFromUs, sinceUs);
      goOut(lane);
    } else if (word.kind() == Directive.Kind.RETURN
        && lane.phase == Phase.OUT
        && lane.troubleFromUs < sinceUs) {
      ramp(lane);
      lane.rampFromUs = Math.min(state.nowUs, sinceUs);
      lane.troubleFromUs = Control.NEVER;
      lane.badRun = 0;
      state.looks.schedule(
          lane.rampEnd, lane.rampFromUs + state.settings.guarantees().coldUs() + 1);
    }
  }

  /** From now on a lane is paced as one that is cold. */
  void ramp(final Lane lane) {
    state.turns++;
    lane.phase = Phase.RAMP;
    lane.rampFromUs = state.nowUs;
    state.looks.schedule(lane.rampEnd, state.nowUs + state.settings.guarantees().coldUs() + 1);
    lane.rampSpanUs = state.pace.patienceUs(lane, state.nowUs);
    lane.failShare = 0;
  }

  /**
   * Adds to a lane's run of bad outcomes; a long run, or a high share of failures, is an outage.
   */
  void suspect(final Lane lane, final double weight) {
    lane.badRun += weight;
    lane.lookTick = state.tick;
    lane.lookUs = state.nowUs;
    final boolean out = lane.badRun + lane.silent >= OUT_WEIGHT || lane.failShare > OUT_SHARE;
    if (out && lane.phase != Phase.OUT) {
      lane.troubleFromUs = Math.min(lane.troubleFromUs, state.nowUs);
      goOut(lane);
    }
  }

  private void goOut(final Lane lane) {
    state.turns++;
    lane.phase = Phase.OUT;
    lane.window = Window.FLOOR;
    lane.nextTrialUs = state.pace.trialUs(lane, state.nowUs, state.learns);
  }
}

package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.directives.Directives;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.rejections.EndpointClassStatistics;

/** An endpoint. */
final class EndpointHealth {
  private static final double REJECTED_MESSAGE_LOAD = 2;
  final Endpoint descriptor;
  final Route route;
  EndpointState state;

  /** What other subsystems say of it. */
  Directives directives = Directives.NONE;

  int callsInFlight, connections, unresponsiveCalls;

  /** Since which event or pass its silent calls are to be reckoned with. */
  long unresponsiveSinceTick;

  /** Failures in a row of each class, and until when that class goes elsewhere. */
  final double[] failureRuns;

  final long[] avoidUntilUs;

  /** By class: its tail and its own refusals. */
  final EndpointClassStatistics[] classStatistics;

  long lastUseUs, lastSendUs, lastSuccessUs;

  EndpointHealth(final Endpoint entry, final Route lane, final int classes) {
    this.failureRuns = new double[classes];
    this.avoidUntilUs = new long[classes];
    this.classStatistics = new EndpointClassStatistics[classes];
    Arrays.setAll(classStatistics, kind -> new EndpointClassStatistics());
    this.descriptor = entry;
    this.route = lane;
  }

  long id() {
    return descriptor.id();
  }

  /** True if new calls may go there, as far as the list and other subsystems say. */
  boolean acceptsCalls(final long nowUs) {
    return state == EndpointState.LISTED && directives.earliestCallUs(lastSendUs, nowUs) <= nowUs;
  }

  /**
   * What its refusals weigh in the choice for a message, in calls in flight; more where it refused
   * this one.
   */
  double rejectionLoad(final int kind, final EndpointHealth refusedBy) {
    return classStatistics[kind].consecutiveRejections()
        + (this == refusedBy ? REJECTED_MESSAGE_LOAD : 0);
  }

  /** A message was served there: it is neither silent nor in trouble for its class. */
  void recordSuccess(final int kind, final long nowUs, final long durationUs) {
    lastSuccessUs = nowUs;
    route.unresponsiveCalls -= unresponsiveCalls;
    unresponsiveCalls = 0;
    failureRuns[kind] = 0;
    avoidUntilUs[kind] = 0;
    classStatistics[kind].recordServed(Math.max(0, durationUs));
  }

  /**
   * What failed there failed for want of a way out; calls that are still out from then say nothing
   * more of it.
   */
  void clearFaults(final long nowUs) {
    lastSuccessUs = nowUs;
    Arrays.fill(failureRuns, 0);
    Arrays.fill(avoidUntilUs, 0);
    route.unresponsiveCalls -= unresponsiveCalls;
    unresponsiveCalls = 0;
  }

  /** True if nothing goes there though it is listed, for trouble with it, or only single trials. */
  boolean isAvoided(final long nowUs) {
    return state == EndpointState.LISTED
        && (route.circuitState == CircuitState.OUT
            || unresponsiveCalls > 0
            || Arrays.stream(avoidUntilUs).allMatch(untilUs -> nowUs < untilUs));
  }
}

package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.directives.Directives;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.rejections.EndpointClassStatistics;

/**
 * One endpoint of a route: its calls and connections, and the outcomes of its calls by message
 * class.
 */
final class EndpointHealth {
  /**
   * Extra load, in calls, of an endpoint in the selection for a message that it has just rejected.
   */
  private static final double REJECTED_MESSAGE_LOAD = 2;

  private final Endpoint descriptor;
  private final Route route;
  private EndpointState state;
  private Directives directives = Directives.NONE;

  private int callsInFlight;
  private int connections;
  private int unresponsiveCalls;

  /** Tick (event or round) at which the first of its unresponsive calls was counted. */
  private long unresponsiveSinceTick;

  /** Consecutive failures by message class. */
  private final double[] failureRuns;

  /** By message class: until when its messages are sent to other endpoints. */
  private final long[] avoidUntilUs;

  private final EndpointClassStatistics[] classStatistics;

  private long lastUseUs;
  private long lastSendUs;
  private long lastSuccessUs;

  EndpointHealth(final Endpoint descriptor, final Route route, final int classCount) {
    this.descriptor = descriptor;
    this.route = route;
    this.failureRuns = new double[classCount];
    this.avoidUntilUs = new long[classCount];
    this.classStatistics = new EndpointClassStatistics[classCount];
    Arrays.setAll(classStatistics, classIndex -> new EndpointClassStatistics());
  }

  long id() {
    return descriptor.id();
  }

  String zone() {
    return descriptor.zone();
  }

  Route route() {
    return route;
  }

  // ---------------------------------------------------------------- availability

  EndpointState state() {
    return state;
  }

  void setState(final EndpointState next) {
    state = next;
  }

  Directives directives() {
    return directives;
  }

  void applyDirective(final Directive directive, final long nowUs) {
    directives = directives.with(directive, nowUs);
  }

  boolean isListed() {
    return state == EndpointState.LISTED;
  }

  /** Returns whether the endpoint list and the directives allow new calls to this endpoint. */
  boolean acceptsCalls(final long nowUs) {
    return isListed() && directives.earliestCallUs(lastSendUs, nowUs) <= nowUs;
  }

  /** Returns whether a listed endpoint gets no calls, or only trials. */
  boolean isAvoided(final long nowUs) {
    return isListed()
        && (route.circuit().isOpen()
            || unresponsiveCalls > 0
            || Arrays.stream(avoidUntilUs).allMatch(untilUs -> nowUs < untilUs));
  }

  /** Returns whether messages of a class are sent to other endpoints now. */
  boolean isAvoidedBy(final int classIndex, final long nowUs) {
    return unresponsiveCalls > 0 || nowUs < avoidUntilUs[classIndex];
  }

  /**
   * Returns when the endpoint may first be used again for an avoided class; {@link
   * OverloadController#NEVER} if no class is avoided.
   */
  long nextClassReturnUs(final long nowUs) {
    long nextUs = OverloadController.NEVER;
    for (final long untilUs : avoidUntilUs) {
      nextUs = untilUs > nowUs ? Math.min(nextUs, untilUs) : nextUs;
    }
    return nextUs;
  }

  void avoidClassUntil(final int classIndex, final long untilUs) {
    avoidUntilUs[classIndex] = untilUs;
  }

  void avoidAllUntil(final long untilUs) {
    Arrays.fill(avoidUntilUs, untilUs);
  }

  // ---------------------------------------------------------------- calls and connections

  int callsInFlight() {
    return callsInFlight;
  }

  int connections() {
    return connections;
  }

  long lastUseUs() {
    return lastUseUs;
  }

  long lastSendUs() {
    return lastSendUs;
  }

  void startCall() {
    callsInFlight++;
  }

  void endCall() {
    callsInFlight--;
  }

  void recordSend(final long nowUs) {
    lastSendUs = nowUs;
  }

  void recordUse(final long nowUs) {
    lastUseUs = nowUs;
  }

  /**
   * Assigns a connection to the call that has just started.
   *
   * @return whether the connection existed already
   */
  boolean occupyConnection(final int streamsPerConnection) {
    final boolean reused = connections * streamsPerConnection >= callsInFlight;
    connections =
        Math.max(connections, (callsInFlight + streamsPerConnection - 1) / streamsPerConnection);
    return reused;
  }

  /** Returns whether the next call would open a new connection. */
  boolean needsHandshake(
      final int streamsPerConnection, final long idleTimeoutUs, final long nowUs) {
    return callsInFlight >= connections * streamsPerConnection
        || (callsInFlight == 0 && nowUs - lastUseUs >= idleTimeoutUs);
  }

  void dropConnections() {
    connections = 0;
  }

  void dropOneConnection() {
    connections -= Math.min(1, connections);
  }

  void dropIdleConnections() {
    connections = Math.min(connections, callsInFlight);
  }

  // ---------------------------------------------------------------- outcomes

  /** Records a delivered message; a duration below 0 was not measured. */
  void recordSuccess(final int classIndex, final long nowUs, final long durationUs) {
    lastSuccessUs = nowUs;
    clearUnresponsiveCalls();
    failureRuns[classIndex] = 0;
    avoidUntilUs[classIndex] = 0;
    classStatistics[classIndex].recordServed(Math.max(0, durationUs));
  }

  /** Clears all faults, which were due to this courier's own connectivity. */
  void clearFaults(final long nowUs) {
    lastSuccessUs = nowUs;
    Arrays.fill(failureRuns, 0);
    Arrays.fill(avoidUntilUs, 0);
    clearUnresponsiveCalls();
  }

  private void clearUnresponsiveCalls() {
    route.removeUnresponsiveCalls(unresponsiveCalls);
    unresponsiveCalls = 0;
  }

  void recordFailure(final int classIndex, final double part) {
    failureRuns[classIndex] += part;
  }

  double failureRun(final int classIndex) {
    return failureRuns[classIndex];
  }

  /** Returns whether a call to this endpoint has succeeded at or after a time. */
  boolean hasSucceededSince(final long sinceUs) {
    return lastSuccessUs >= sinceUs;
  }

  long lastSuccessUs() {
    return lastSuccessUs;
  }

  EndpointClassStatistics classStatistics(final int classIndex) {
    return classStatistics[classIndex];
  }

  /**
   * Returns the load, in calls in flight, that its rejections add in the selection for a message.
   */
  double rejectionLoad(final int classIndex, final EndpointHealth rejectedBy) {
    return classStatistics[classIndex].consecutiveRejections()
        + (this == rejectedBy ? REJECTED_MESSAGE_LOAD : 0);
  }

  // ---------------------------------------------------------------- unresponsive calls

  boolean isUnresponsive() {
    return unresponsiveCalls > 0;
  }

  /** Counts an overdue call after which no other call has succeeded at this endpoint. */
  void addUnresponsiveCall(final long tick) {
    route.addUnresponsiveCall();
    if (unresponsiveCalls++ == 0) {
      unresponsiveSinceTick = tick;
    }
  }

  void removeUnresponsiveCall() {
    unresponsiveCalls--;
    route.removeUnresponsiveCalls(1);
  }

  long unresponsiveSinceTick() {
    return unresponsiveSinceTick;
  }

  void restartUnresponsivePeriod(final long tick) {
    unresponsiveSinceTick = tick;
  }

  // ---------------------------------------------------------------- learned state

  int classCount() {
    return failureRuns.length;
  }

  double[] failureRuns() {
    return failureRuns.clone();
  }

  long[] avoidUntilUs() {
    return avoidUntilUs.clone();
  }

  /** Restores the state learned by another process of this courier. */
  void restore(
      final double[] restoredFailureRuns,
      final long[] restoredAvoidUntilUs,
      final long restoredLastSendUs,
      final long restoredLastSuccessUs) {
    System.arraycopy(restoredFailureRuns, 0, failureRuns, 0, failureRuns.length);
    System.arraycopy(restoredAvoidUntilUs, 0, avoidUntilUs, 0, avoidUntilUs.length);
    lastSendUs = restoredLastSendUs;
    lastSuccessUs = restoredLastSuccessUs;
  }
}

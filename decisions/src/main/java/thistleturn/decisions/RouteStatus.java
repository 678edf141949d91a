package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.EndpointState;

/**
 * One destination (or route) as operators see it.
 *
 * @param destinationId its number
 * @param endpoints the numbers of its endpoints
 * @param circuitState how it is: {@code WELL}, {@code OUT} or {@code RAMP}
 * @param window calls in flight that it may have
 * @param callsInFlight those it has; {@code overdueCalls} of them are overdue
 * @param waitingMessages messages of the destination that wait
 * @param callsPerSecond calls, a slow average
 * @param permittedPerSecond sends allowed a second, after refusals or as this courier's part of a
 *     told rate; infinite: any number
 * @param rejectionCause what its refusals are taken to answer to: {@code UNSURE}, {@code LOAD} or
 *     {@code NOISE}
 * @param noiseEvidence nats for noise (above 0) or load (below); 3 settle it
 * @param rejectedShare share of recent calls that were refused
 * @param retryBudget further calls at once that its budget leaves
 * @param inInitialGrowth true in its first seconds, until the first sign of crowding
 * @param blockedReason what keeps the next message, in a sentence
 * @param constraints what binds it from outside: the limit told and by whom, this courier's part of
 *     it, and other subsystems' words
 */
public record RouteStatus(
    long destinationId,
    List<Long> endpoints,
    String circuitState,
    double window,
    int callsInFlight,
    int overdueCalls,
    int waitingMessages,
    double callsPerSecond,
    double permittedPerSecond,
    String rejectionCause,
    double noiseEvidence,
    double rejectedShare,
    double retryBudget,
    boolean inInitialGrowth,
    String blockedReason,
    List<Constraint> constraints) {
  private static final long US_PER_MS = 1000;

  /** What the limit of all couriers together is called among what is said. */
  private static final String LIMIT_CONSTRAINT = "LIMIT";

  /**
   * Something said from outside.
   *
   * @param endpointId the endpoint that is meant; below 0: the whole destination
   * @param type what is said
   * @param value how much
   * @param source who says it
   * @param untilUs until when, us; {@link Long#MAX_VALUE}: until it is taken back
   */
  public record Constraint(
      long endpointId, String type, double value, String source, long untilUs) {
    private static Constraint of(final long endpoint, final Directive word) {
      return new Constraint(
          endpoint, word.kind().name(), word.value(), word.source(), word.expiresUs());
    }
  }

  static RouteStatus of(final Route lane, final long nowUs, final long openAtUs, final int cap) {
    return new RouteStatus(
        lane.destination.id,
        lane.endpoints.stream().map(EndpointHealth::id).toList(),
        lane.circuitState.name(),
        lane.window,
        lane.callsInFlight,
        lane.overdueCalls,
        lane.destination.waitingMessages,
        lane.callRate,
        lane.rateShare.isLimited() ? lane.rateShare.ratePerSecond() : lane.permittedRate,
        lane.rejectionClassifier.cause(nowUs).name(),
        lane.rejectionClassifier.evidence(nowUs),
        lane.rejectionClassifier.rejectedShare(),
        lane.retryBudget.available(),
        lane.initialGrowth.isGrowing(),
        blockedReason(lane, nowUs, openAtUs, cap),
        constraints(lane, nowUs));
  }

  private static List<Constraint> constraints(final Route lane, final long nowUs) {
    final List<Constraint> said = new ArrayList<>();
    if (lane.reportedLimit > 0) {
      said.add(
          new Constraint(
              -1,
              LIMIT_CONSTRAINT,
              lane.reportedLimit,
              lane.limitSource,
              OverloadController.NEVER));
    }
    if (lane.rateShare.isLimited()) {
      said.add(
          new Constraint(
              -1,
              Directive.Kind.RATE.name(),
              lane.rateShare.ratePerSecond(),
              "even part",
              OverloadController.NEVER));
    }
    if (nowUs < lane.retryAfterUntilUs) {
      said.add(
          new Constraint(
              -1, Directive.Kind.WAIT.name(), 0, Route.SOURCE_DESTINATION, lane.retryAfterUntilUs));
    }
    lane.destination.directives.active(nowUs).forEach(word -> said.add(Constraint.of(-1, word)));
    lane.endpoints.forEach(
        node ->
            node.directives
                .active(nowUs)
                .forEach(word -> said.add(Constraint.of(node.id(), word))));
    return said;
  }

  private static String blockedReason(
      final Route lane, final long nowUs, final long openAtUs, final int cap) {
    if (lane.destination.waitingMessages == 0) {
      return "nothing waits";
    }
    if (lane.endpoints.stream().noneMatch(node -> node.state == EndpointState.LISTED)) {
      return "none of its endpoints is listed for use";
    }
    if (lane.endpoints.stream().noneMatch(node -> node.acceptsCalls(nowUs))) {
      return "its endpoints are left out: "
          + sources(
              lane.endpoints.stream()
                  .flatMap(node -> node.directives.active(nowUs).stream())
                  .toList());
    }
    if (nowUs < lane.retryAfterUntilUs) {
      return "it told to wait: " + inMillis(lane.retryAfterUntilUs - nowUs) + " are left";
    }
    if (lane.circuitState == CircuitState.OUT) {
      return lane.callsInFlight > 0
          ? "it is out, and a trial is under way"
          : "it is out: the next trial goes in " + inMillis(lane.nextTrialUs - nowUs);
    }
    if (lane.callsInFlight >= cap) {
      return "its window is full: " + lane.callsInFlight + " of " + cap + " calls are in flight";
    }
    if (lane.destination.directives.earliestCallUs(lane.lastSendUs, nowUs) > nowUs) {
      return "it is held back by " + sources(lane.destination.directives.active(nowUs));
    }
    if (openAtUs > nowUs) {
      return lane.circuitState == CircuitState.RAMP
          ? "it returns from an outage: the next call goes in " + inMillis(openAtUs - nowUs)
          : nowUs < lane.effectiveBackoffUntilUs()
              ? "it pauses after a refusal: " + inMillis(openAtUs - nowUs) + " are left"
              : lane.rateShare.isLimited()
                  ? "this courier's part of the rate told is used up: the next one goes in "
                      + inMillis(openAtUs - nowUs)
                  : "its sends are spaced after refusals: the next one goes in "
                      + inMillis(openAtUs - nowUs);
    }
    if (lane.endpoints.stream().allMatch(node -> node.isAvoided(nowUs))) {
      return "all of its endpoints are avoided for trouble with them";
    }
    return "the next message may go as soon as a slot is free, unless its class is avoided or another of its key is out";
  }

  private static String sources(final List<Directive> words) {
    return String.join(", ", words.stream().map(Directive::source).distinct().toList());
  }

  private static String inMillis(final long us) {
    return Math.max(0, us) / US_PER_MS + " ms";
  }
}

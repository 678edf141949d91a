package thistleturn.decisions;

import java.util.List;
import java.util.stream.Stream;
import thistleturn.decisions.directives.Directive;

/** Says in a sentence what keeps the next message of a route; the texts are shown to operators. */
final class BlockedReason {
  private static final long US_PER_MS = 1000;

  private final Route route;
  private final long nowUs;
  private final long sendAllowedAtUs;
  private final int limit;

  /**
   * Looks at a route.
   *
   * @param sendAllowedAtUs when its next call may go
   * @param limit the calls that it may have in flight now
   */
  BlockedReason(final Route route, final long nowUs, final long sendAllowedAtUs, final int limit) {
    this.route = route;
    this.nowUs = nowUs;
    this.sendAllowedAtUs = sendAllowedAtUs;
    this.limit = limit;
  }

  /** Returns the first reason that holds. */
  String describe() {
    if (route.destination().waitingMessages() == 0) {
      return "nothing waits";
    }
    if (route.endpoints().stream().noneMatch(EndpointHealth::isListed)) {
      return "none of its endpoints is listed for use";
    }
    if (route.endpoints().stream().noneMatch(endpoint -> endpoint.acceptsCalls(nowUs))) {
      return "its endpoints are left out: " + sources(endpointDirectives());
    }
    if (nowUs < route.pacing().retryAfterUntilUs()) {
      final long remainingUs = route.pacing().retryAfterUntilUs() - nowUs;
      return "it told to wait: " + inMillis(remainingUs) + " are left";
    }
    if (route.circuit().isOpen()) {
      return describeOpenCircuit();
    }
    if (route.callsInFlight() >= limit) {
      return "its window is full: "
          + route.callsInFlight()
          + " of "
          + limit
          + " calls are in flight";
    }
    if (isHeldBackByDirective()) {
      return "it is held back by "
          + sources(route.destination().directives().active(nowUs).stream());
    }
    if (sendAllowedAtUs > nowUs) {
      return describePacing(inMillis(sendAllowedAtUs - nowUs));
    }
    if (route.endpoints().stream().allMatch(endpoint -> endpoint.isAvoided(nowUs))) {
      return "all of its endpoints are avoided for trouble with them";
    }
    return "the next message may go as soon as a slot is free, unless its class is avoided or"
        + " another of its key is out";
  }

  private String describeOpenCircuit() {
    return route.callsInFlight() > 0
        ? "it is out, and a trial is under way"
        : "it is out: the next trial goes in " + inMillis(route.circuit().nextTrialUs() - nowUs);
  }

  private boolean isHeldBackByDirective() {
    final long lastSendUs = route.pacing().lastSendUs();
    return route.destination().directives().earliestCallUs(lastSendUs, nowUs) > nowUs;
  }

  private String describePacing(final String remaining) {
    if (route.circuit().isRecovering()) {
      return "it returns from an outage: the next call goes in " + remaining;
    }
    if (nowUs < route.effectiveBackoffUntilUs()) {
      return "it pauses after a refusal: " + remaining + " are left";
    }
    if (route.pacing().rateShare().isLimited()) {
      return "this courier's part of the rate told is used up: the next one goes in " + remaining;
    }
    return "its sends are spaced after refusals: the next one goes in " + remaining;
  }

  private Stream<Directive> endpointDirectives() {
    return route.endpoints().stream()
        .flatMap(endpoint -> endpoint.directives().active(nowUs).stream());
  }

  private static String sources(final Stream<Directive> directives) {
    final List<String> names = directives.map(Directive::source).distinct().toList();
    return String.join(", ", names);
  }

  private static String inMillis(final long durationUs) {
    return Math.max(0, durationUs) / US_PER_MS + " ms";
  }
}

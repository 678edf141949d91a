package thistleturn.decisions;

import java.util.List;
import java.util.stream.Stream;
import thistleturn.decisions.directives.Directive;

/** Describes in a sentence why the next message of a route is not sent; operators see the texts. */
final class BlockedReason {
  private static final long US_PER_MS = 1000;

  private final Route route;
  private final long nowUs;
  private final long sendAllowedAtUs;
  private final int limit;

  /**
   * Creates the description of one route.
   *
   * @param sendAllowedAtUs when its next call may be sent
   * @param limit its concurrency limit now
   */
  BlockedReason(final Route route, final long nowUs, final long sendAllowedAtUs, final int limit) {
    this.route = route;
    this.nowUs = nowUs;
    this.sendAllowedAtUs = sendAllowedAtUs;
    this.limit = limit;
  }

  /** Returns the first reason that applies. */
  String describe() {
    if (route.destination().waitingMessages() == 0) {
      return "nothing waits";
    }
    if (route.endpoints().stream().noneMatch(EndpointHealth::isListed)) {
      return "none of its endpoints is listed for use";
    }
    if (route.endpoints().stream().noneMatch(endpoint -> endpoint.acceptsCalls(nowUs))) {
      return "its endpoints are excluded by " + sources(endpointDirectives());
    }
    if (nowUs < route.pacing().retryAfterUntilUs()) {
      final long remainingUs = route.pacing().retryAfterUntilUs() - nowUs;
      return "its Retry-After has not expired: " + inMillis(remainingUs) + " are left";
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
      return "all of its endpoints are avoided after recent faults";
    }
    return "the next message may go as soon as a slot is free, unless its class is avoided or"
        + " another message of its key is in flight";
  }

  private String describeOpenCircuit() {
    return route.callsInFlight() > 0
        ? "it is out, and a trial is in flight"
        : "it is out: the next trial goes in " + inMillis(route.circuit().nextTrialUs() - nowUs);
  }

  private boolean isHeldBackByDirective() {
    final long lastSendUs = route.pacing().lastSendUs();
    return route.destination().directives().earliestCallUs(lastSendUs, nowUs) > nowUs;
  }

  private String describePacing(final String remaining) {
    if (route.circuit().isRecovering()) {
      return "it recovers from an outage: the next call goes in " + remaining;
    }
    if (nowUs < route.effectiveBackoffUntilUs()) {
      return "it backs off after a rejection: " + remaining + " are left";
    }
    if (route.pacing().rateShare().isLimited()) {
      return "this courier's share of the reported rate is used up: the next call goes in "
          + remaining;
    }
    return "its calls are paced after rejections: the next call goes in " + remaining;
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

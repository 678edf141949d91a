package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.directives.Directive;

/**
 * One destination (or route) as operators see it.
 *
 * @param destination its number
 * @param endpoints the numbers of its endpoints
 * @param phase how it is: {@code WELL}, {@code OUT} or {@code RAMP}
 * @param window calls in flight that it may have
 * @param inFlight those it has; {@code silent} of them are overdue
 * @param waiting messages of the destination that wait
 * @param servedPerSecond calls, a slow average
 * @param spacingPerSecond sends allowed a second, after refusals or as this courier's part of a
 *     told rate; infinite: any number
 * @param cause what its refusals are taken to answer to: {@code UNSURE}, {@code LOAD} or {@code
 *     NOISE}
 * @param evidence nats for noise (above 0) or load (below); 3 settle it
 * @param refusedShare share of recent calls that were refused
 * @param furtherCalls further calls at once that its budget leaves
 * @param growing true in its first seconds, until the first sign of crowding
 * @param why what keeps the next message, in a sentence
 * @param said what binds it from outside: the limit told and by whom, this courier's part of it,
 *     and other subsystems' words
 */
public record LaneView(
    long destination,
    List<Long> endpoints,
    String phase,
    double window,
    int inFlight,
    int silent,
    int waiting,
    double servedPerSecond,
    double spacingPerSecond,
    String cause,
    double evidence,
    double refusedShare,
    double furtherCalls,
    boolean growing,
    String why,
    List<Said> said) {
  private static final long US_PER_MS = 1000;

  /** What the limit of all couriers together is called among what is said. */
  private static final String LIMIT = "LIMIT";

  /**
   * Something said from outside.
   *
   * @param endpoint the endpoint that is meant; below 0: the whole destination
   * @param what what is said
   * @param value how much
   * @param by who says it
   * @param untilUs until when, us; {@link Long#MAX_VALUE}: until it is taken back
   */
  public record Said(long endpoint, String what, double value, String by, long untilUs) {
    private static Said of(final long endpoint, final Directive word) {
      return new Said(endpoint, word.kind().name(), word.value(), word.source(), word.expiresUs());
    }
  }

  static LaneView of(final Lane lane, final long nowUs, final long openAtUs, final int cap) {
    return new LaneView(
        lane.destination.id,
        lane.nodes.stream().map(Node::id).toList(),
        lane.phase.name(),
        lane.window,
        lane.calls,
        lane.fallen,
        lane.destination.waiting,
        lane.callRate,
        lane.share.isLimited() ? lane.share.ratePerSecond() : lane.spacing,
        lane.reading.cause(nowUs).name(),
        lane.reading.evidence(nowUs),
        lane.reading.rejectedShare(),
        lane.budget.available(),
        lane.growth.isGrowing(),
        why(lane, nowUs, openAtUs, cap),
        said(lane, nowUs));
  }

  private static List<Said> said(final Lane lane, final long nowUs) {
    final List<Said> said = new ArrayList<>();
    if (lane.told > 0) {
      said.add(new Said(-1, LIMIT, lane.told, lane.toldBy, Control.NEVER));
    }
    if (lane.share.isLimited()) {
      said.add(
          new Said(
              -1,
              Directive.Kind.RATE.name(),
              lane.share.ratePerSecond(),
              "even part",
              Control.NEVER));
    }
    if (nowUs < lane.waitUntilUs) {
      said.add(new Said(-1, Directive.Kind.WAIT.name(), 0, Lane.PARTNER, lane.waitUntilUs));
    }
    lane.destination.words.active(nowUs).forEach(word -> said.add(Said.of(-1, word)));
    lane.nodes.forEach(
        node -> node.words.active(nowUs).forEach(word -> said.add(Said.of(node.id(), word))));
    return said;
  }

  private static String why(final Lane lane, final long nowUs, final long openAtUs, final int cap) {
    if (lane.destination.waiting == 0) {
      return "nothing waits";
    }
    if (lane.nodes.stream().noneMatch(node -> node.condition == Courier.Condition.LISTED)) {
      return "none of its endpoints is listed for use";
    }
    if (lane.nodes.stream().noneMatch(node -> node.isOpen(nowUs))) {
      return "its endpoints are left out: "
          + speakers(
              lane.nodes.stream().flatMap(node -> node.words.active(nowUs).stream()).toList());
    }
    if (nowUs < lane.waitUntilUs) {
      return "it told to wait: " + in(lane.waitUntilUs - nowUs) + " are left";
    }
    if (lane.phase == Phase.OUT) {
      return lane.calls > 0
          ? "it is out, and a trial is under way"
          : "it is out: the next trial goes in " + in(lane.nextTrialUs - nowUs);
    }
    if (lane.calls >= cap) {
      return "its window is full: " + lane.calls + " of " + cap + " calls are in flight";
    }
    if (lane.destination.words.earliestCallUs(lane.lastSendUs, nowUs) > nowUs) {
      return "it is held back by " + speakers(lane.destination.words.active(nowUs));
    }
    if (openAtUs > nowUs) {
      return lane.phase == Phase.RAMP
          ? "it returns from an outage: the next call goes in " + in(openAtUs - nowUs)
          : nowUs < lane.pausedUntilUs()
              ? "it pauses after a refusal: " + in(openAtUs - nowUs) + " are left"
              : lane.share.isLimited()
                  ? "this courier's part of the rate told is used up: the next one goes in "
                      + in(openAtUs - nowUs)
                  : "its sends are spaced after refusals: the next one goes in "
                      + in(openAtUs - nowUs);
    }
    if (lane.nodes.stream().allMatch(node -> node.isAvoided(nowUs))) {
      return "all of its endpoints are avoided for trouble with them";
    }
    return "the next message may go as soon as a slot is free, unless its class is avoided or another of its key is out";
  }

  private static String speakers(final List<Directive> words) {
    return String.join(", ", words.stream().map(Directive::source).distinct().toList());
  }

  private static String in(final long us) {
    return Math.max(0, us) / US_PER_MS + " ms";
  }
}

package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.fleet.FairShare;
import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.rejections.InitialWindowGrowth;
import thistleturn.decisions.rejections.RejectionClassifier;
import thistleturn.decisions.rejections.RetryBudget;

/** The unit of the window: a destination, or a route of it. */
final class Lane {
  /**
   * Steps of an idle lane that are taken one by one; further ones at once, since little is left by
   * then.
   */
  private static final long STEPS_TAKEN = 200;

  /** Messages, the refused one too, that must wait for a call to be made only to learn. */
  private static final int LEAST_LINE = 3;

  private static final int LONG_LINE = 10;

  /** A new lane's window in a large fleet, calls: clumps come first. */
  private static final double WINDOW_RARE = 4;

  /**
   * Who tells of a limit: the list by its weights, a partner with an answer, what an earlier
   * process knew.
   */
  static final String LIST = "list";

  static final String PARTNER = "partner";
  static final String MEMORY = "memory";

  final Destination destination;
  final Courier.Kind kind;
  final List<Node> nodes = new ArrayList<>();
  final List<Ready> ready = List.of(new Ready(this, 0), new Ready(this, 1));
  final LaneTimer look = new LaneTimer(this), rampEnd = new LaneTimer(this);
  double window;

  /** What its refusals answer to, what may be tried again at once, its first seconds. */
  final RejectionClassifier reading = new RejectionClassifier();

  final RetryBudget budget = new RetryBudget();
  final InitialWindowGrowth growth = new InitialWindowGrowth();

  /**
   * This courier's part of the rate told; never told of it in a fleet so small that it need not be
   * kept to.
   */
  final FairShare share;

  /** One of so many that its part of a rate may be thin. */
  final boolean vast;

  private final int sharers;
  private final Courier.Settings settings;

  /**
   * Drawn once: an idle connection is kept where the share of the fleet that may keep one is above
   * it.
   */
  private final double keepsBelow;

  /**
   * Calls in flight, those of them that are overdue, and of these those with no success on their
   * endpoint since.
   */
  int calls, fallen, silent;

  /** Calls served and refused in all. */
  long servedCalls, refusedCalls;

  /** Of these, calls served before its first step: until then, all that is known of its rate. */
  int firstCalls;

  /** Until when the rate that it had before its last outage grows by a fifth a second only. */
  long freeFromUs;

  /** When the first refusal came of those that are one sign. */
  long refusedUs;

  /** Window and spacing before its refusals were taken for noise. */
  double windowBefore, spacingBefore;

  /** One call may go in spite of the pause, to learn what the refusal answered to. */
  boolean mayProbe;

  boolean active;
  long stepsTaken, lookTick, lookUs;

  /** This step's counts and sum of latency ratios. */
  int peak, refused, delivered;

  /** Of these, in calls. */
  double served, bad, errors;

  double ratioSum;
  Courier.Allowance allowance;

  /**
   * Slow averages: steps seen, messages and calls served a second, step means, pace by other lanes.
   */
  int steps, paceSamples;

  double rate, callRate, slowRatio = 1, pace = 1, stretch = 1;

  /** What the last call weighs on a cold destination. */
  double lastWeight = 1;

  /** The limit told (0: none), and the sends allowed now, a second. */
  double told, spacing = Double.POSITIVE_INFINITY;

  /** Who told the limit last. */
  String toldBy = "";

  boolean slow;
  Phase phase = Phase.WELL;
  double badRun, failShare, rampSpanUs;

  /** Since when nothing was served there; never, while all is well. */
  long troubleFromUs = Control.NEVER;

  long waitUntilUs, pauseUntilUs, nextTrialUs, rampFromUs, lastSendUs;

  Lane(final Destination destination, final Courier.Kind kind, final State state) {
    this.settings = state.settings;
    final boolean large = FleetSize.isLarge(settings.couriers());
    final boolean sharing = large && state.shares;
    this.destination = destination;
    this.kind = kind;
    this.keepsBelow = sharing ? state.random.nextDouble() : Double.POSITIVE_INFINITY;
    this.sharers =
        sharing && settings.weights() == Courier.Weights.NOMINAL ? settings.couriers() : 0;
    this.vast = state.thin && FleetSize.isVast(settings.couriers());
    this.share = new FairShare(vast);
    this.window = large ? WINDOW_RARE : Window.START;
    this.stepsTaken = state.steps;
  }

  /**
   * The rate that it takes from all couriers is told, calls a second; the last word on it counts,
   * whoever says it.
   */
  void tell(final double ratePerSecond, final String by, final long nowUs) {
    told = ratePerSecond;
    toldBy = by;
    share.setEvenRate(sharers == 0 ? 0 : told / sharers, nowUs);
  }

  /**
   * True if this courier is one of those that keep a connection of this lane open, and it is this
   * endpoint's. In a vast fleet none does: a kept one is hardly used again, and those in use want
   * the room.
   */
  boolean keepsConnection(final Node node) {
    return !vast
        && keepsBelow < FleetSize.idleConnectionShare(nodes.size(), settings.couriers())
        && node.connections == 1
        && nodes.stream()
            .allMatch(
                other ->
                    other == node
                        || (isNear(node) == isNear(other) ? other.connections == 0 : isNear(node)));
  }

  /** True for an endpoint in this courier's own zone. */
  boolean isNear(final Node node) {
    return node.entry.zone().equals(settings.zone());
  }

  /**
   * When its rate lets the next call go: so many a second at most, and this courier's part of what
   * is told.
   */
  long spacedUntilUs(final double ratePerSecond, final long atUs) {
    return share.isLimited()
        ? share.earliestCallUs(atUs)
        : lastSendUs + (long) (Control.SECOND_US / ratePerSecond);
  }

  /**
   * Its pause; one call may go sooner, to learn, where more waits than one refusal more would cost.
   */
  long pausedUntilUs() {
    return mayProbe && destination.waiting >= LEAST_LINE
        ? Math.min(pauseUntilUs, reading.nextProbeUs())
        : pauseUntilUs;
  }

  /** True if the call that goes now does so to learn. */
  boolean takeProbe(final long nowUs) {
    if (pauseUntilUs <= nowUs) {
      return false;
    }
    mayProbe = false;
    return true;
  }

  /** A call was served whole: what that says of its refusals. */
  void served(final Call call, final long nowUs) {
    servedCalls++;
    firstCalls += steps == 0 && phase == Phase.WELL ? 1 : 0;
    reading.recordServed(call.sentUs, nowUs);
    budget.recordServed();
    if (call.probe) {
      reading.recordProbe(true, nowUs);
      pauseUntilUs = nowUs;
    }
    if (reading.hasJustSettledOnNoise()) {
      takeForNoise(nowUs);
    }
  }

  /** There was room: the pause was for nothing, and so was all else that refusals brought. */
  private void takeForNoise(final long nowUs) {
    windowBefore = window;
    spacingBefore = spacing;
    pauseUntilUs = nowUs;
    spacing = nowUs < freeFromUs ? spacing : Double.POSITIVE_INFINITY;
    growth.restart();
  }

  /**
   * True for the refusal of a call that was sent before the last refusal came: it says the same as
   * that one.
   */
  boolean isSameSign(final long sentUs, final long nowUs) {
    final boolean same = sentUs < refusedUs;
    refusedUs = same ? refusedUs : nowUs;
    return same;
  }

  /**
   * It has returned from an outage, and is surely warm: what its refusals answered to is past. All
   * that waited meanwhile does not go at once: that could still push it over.
   */
  void returned(final long pacedUntilUs) {
    freeFromUs = pacedUntilUs;
    reading.reset();
    spacing = Window.SPACING * Math.max(1, callsPerSecond());
    growth.restart();
  }

  /**
   * This courier had no way out from a moment on, and has one again: if it is out for what came
   * after that, it is as it was before, at the rate that it had, since all that waited meanwhile
   * shall not go at once.
   *
   * @return whether it was out for that
   */
  boolean reached(final long sinceUs, final long nowUs) {
    if (phase != Phase.OUT || troubleFromUs < sinceUs) {
      return false;
    }
    phase = Phase.WELL;
    badRun = failShare = 0;
    troubleFromUs = Control.NEVER;
    pauseUntilUs = nowUs;
    window = Math.max(window, Window.START);
    spacing = Window.SPACING * Math.max(1, callsPerSecond());
    nodes.forEach(node -> node.reached(nowUs));
    return true;
  }

  /**
   * Calls served a second, by what is known for certain: this step's so far, and what was served
   * before the first one.
   */
  double callsPerSecond() {
    return Math.max(callRate, Math.max(served, steps == 0 ? firstCalls : 0));
  }

  /** It was load after all: back to what was known before. */
  void takeForLoad(final long nowUs) {
    reading.onRetryBudgetExhausted(nowUs);
    window = Math.min(window, windowBefore);
    spacing = Math.min(spacing, spacingBefore);
  }

  /**
   * True where a long line waits after a step without a refusal, and no outage is so near that it
   * might be tipped.
   */
  boolean mayRegain(final long nowUs) {
    return refused == 0 && destination.waiting >= LONG_LINE && nowUs >= freeFromUs;
  }

  /** What is counted within a step begins anew. */
  void beginStep() {
    peak = calls;
    ratioSum = refused = delivered = 0;
    served = bad = errors = 0;
    allowance = null;
  }

  /**
   * Makes up for the steps that it was idle for: nothing was served, and nothing stood in the way.
   */
  void catchUp(final long stepsNow) {
    final long missed = stepsNow - stepsTaken;
    stepsTaken = stepsNow;
    for (long step = 0; step < Math.min(missed, STEPS_TAKEN); step++) {
      stepIdle(1);
    }
    if (missed > STEPS_TAKEN) {
      stepIdle(missed - STEPS_TAKEN);
    }
    peak = missed > 0 ? calls : peak;
  }

  private void stepIdle(final long count) {
    if (phase == Phase.WELL) {
      steps = (int) (steps + count);
      final double weight = Math.max(Window.SAMPLE_WEIGHT, 1.0 / steps);
      rate = count == 1 ? rate + weight * (0 - rate) : 0;
      callRate = count == 1 ? callRate + weight * (0 - callRate) : 0;
    }
    spacing = count == 1 ? Window.SPACING * spacing : Double.POSITIVE_INFINITY;
  }
}

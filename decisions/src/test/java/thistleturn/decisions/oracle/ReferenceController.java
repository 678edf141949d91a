package thistleturn.decisions.oracle;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;
import thistleturn.decisions.rejections.EndpointClassStatistics;
import thistleturn.decisions.rejections.InitialWindowGrowth;
import thistleturn.decisions.rejections.RejectionClassifier;
import thistleturn.decisions.rejections.RetryBudget;

/**
 * The decisions as they were on 2026-12-01, but for changes made on purpose: three that {@code
 * docs/design/scale.md} names (class means are noted once a second where messages are compared; a
 * route's pick keeps its own urgency; rates are added up plainly), and what {@code
 * docs/design/noise.md} names, where it {@code learns}: the oracle for every later {@link
 * thistleturn.decisions.OverloadController} that is to decide the same with less work. It is not
 * changed; when decisions are changed on purpose, that change is made here too and named in the
 * commit.
 */
final class ReferenceController implements DeliveryController {

  private static final long SECOND_US = 1_000_000;

  // The window (DESIGN; the paper's section V).
  /** Floor of a window, calls: a lane must always be able to learn. */
  private static final double WINDOW_FLOOR = 1;

  /**
   * A new lane's window, calls: one slow answer may not block it; in a large fleet clumps come
   * first.
   */
  private static final double WINDOW_START = 2;

  private static final double WINDOW_RARE = 4;

  /** Shares of the slots that one lane may hold, healthy and sick: the design's. */
  private static final double HEALTHY_SHARE = 0.75;

  private static final double SICK_SHARE = 0.5;

  /** A share, nearer High than Medium: an input above it makes a lane sick for a step. */
  private static final double SLOW_INPUT = 0.75;

  /** Samples at the average, mixed into a step's mean latency: two or three answers say little. */
  private static final double LATENCY_PRIOR = 2;

  /** Share of a window that must be used for it to grow: unused room has proved nothing. */
  private static final double USED_SHARE = 0.5;

  // Service times.
  /** Least weight of a new sample, or of a step, in a slow average: about ten of memory. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Service time of a class before any was seen, as a share of its aim: the aim was set to be met.
   */
  private static final double UNSEEN_SHARE = 0.25;

  /**
   * Least pace of a lane, times the usual: no answer is so quick that the next must be quicker
   * still.
   */
  private static final double PACE_LEAST = 0.1;

  /**
   * A call is overdue after so many times what is expected (one in 150, by chance), and so long,
   * us.
   */
  private static final double OVERDUE_TIMES = 5;

  private static final long OVERDUE_LEAST_US = SECOND_US;

  /**
   * A call begun before a stop has so many times what is expected left (chance cuts off one in
   * seven).
   */
  private static final double STOP_TIMES = 2;

  /** What shares a call has so many times what is expected left, and what a hold-up takes, us. */
  private static final double SHARE_TIMES = 2;

  private static final long HOLD_UP_US = 150_000;

  /**
   * A time-out, in times what is expected, and at least so long, us: wide enough for a long tail.
   */
  private static final double TIMEOUT_TIMES = 8;

  private static final long TIMEOUT_LEAST_US = 2 * SECOND_US;

  /**
   * After a time-out, the next ones are so many times as wide: it may have been slowness, not
   * silence.
   */
  private static final double STRETCH = 3;

  // Refusals and outages.
  /** Least pause of a lane after a refusal, us: limits are counted over spans of about a second. */
  private static final long PAUSE_US = SECOND_US / 2;

  /**
   * After refusals, sends go at so many times the rate served and so many a second more: room may
   * come.
   */
  private static final double SPACING = 1.2;

  private static final double SPACING_LEAST = 0.5;

  /** A told wait above this, us, is no limit's, whose spans are a second or two: it is shut. */
  private static final long LIMIT_WAIT_US = 5 * SECOND_US / 2;

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
   * Messages a second: a limit where none is told (a default); least rate at which a line is
   * reckoned.
   */
  private static final double UNTOLD_LIMIT = 1;

  private static final double LEAST_RATE = 0.25;

  /** What each further message in a call weighs on a cold destination, in calls. A default. */
  private static final double FURTHER_WEIGHT = 0.2;

  /**
   * An endpoint that failed is left alone so long, us; after that its failures in a row count as
   * calls.
   */
  private static final long AVOID_US = SECOND_US;

  /** Share by which gaps are drawn longer or shorter, so that couriers do not keep step. */
  private static final double JITTER = 0.2;

  // Choice.
  /**
   * What a handshake and a crossing of zones weigh in the choice of an endpoint, in calls in
   * flight.
   */
  private static final double HANDSHAKE_LOAD = 0.8;

  private static final double CROSS_LOAD = 0.6;
  private static final double REFUSED_LOAD = 2;
  private static final double SINGLE_SHARE = 0.3;
  private static final double FEW_REFUSED = 0.05;
  private static final int LEAST_LINE = 3;
  private static final int LONG_LINE = 10;
  private static final double REGAIN = 2;

  /**
   * Chance that a message put off is served after all, in a short line; half of it in a long one.
   */
  private static final double KEPT = 0.9;

  /** How far ahead a line is looked along, us: the next call at least, and what fades at most. */
  private static final long HORIZON_LEAST_US = SECOND_US;

  private static final long HORIZON_MOST_US = 10 * SECOND_US;

  /** A line that stands for less, us, tells no rate; what it told longer ago weighs half. */
  private static final long BACKLOG_LEAST_US = SECOND_US / 2;

  private static final long BACKLOG_MEMORY_US = 4 * SECOND_US;

  /**
   * Share of worth beyond a quota, of which we see a part; messages in a burst that chance may
   * bring.
   */
  private static final double OVER_QUOTA = 0.25;

  private static final double QUOTA_BURST = 10;

  /**
   * Share of the store that is kept free by refusing what has least to gain: the door refuses
   * blindly.
   */
  private static final double STORE_RESERVE = 0.05;

  /**
   * A message ends so long before its time, us: two rounds; share of a key's window not used:
   * clocks.
   */
  private static final long END_MARGIN_US = 12_000;

  private static final double KEY_MARGIN = 0.05;

  /** Growth a second of the idle time that connections are trusted to bear: a minute trebles it. */
  private static final double TRUST_GROWTH = 1.02;

  /** Idle for less, us, a connection dies of something else than its idleness. */
  private static final long TRUST_LEAST_US = SECOND_US;

  /**
   * Couriers that each meet all destinations often, and may all keep idle connections. A default.
   */
  private static final int FEW_COURIERS = 6;

  /**
   * Calls' time within which a connection waits for its next use: a few for each call in flight.
   */
  private static final double REUSE_CALLS = 2;

  /**
   * First and longest back-off of asking for the list again, us: soon, but without burdening it.
   */
  private static final long ASK_LEAST_US = SECOND_US / 2;

  private static final long ASK_MOST_US = 3 * SECOND_US;

  /** How soon a message that an endpoint or a key holds back is looked at again, us. */
  private static final long POLL_US = 20_000;

  /**
   * A destination or route without an endpoint is forgotten so long after its last use, us. A
   * default.
   */
  private static final long FORGET_US = 60 * SECOND_US;

  private static final long NEVER = Long.MAX_VALUE;

  private final DeliverySettings settings;
  private final DeliveryActions actions;
  private final Random random;
  private final boolean learns;
  private final Map<Long, Destination> destinations = new LinkedHashMap<>();

  /** Destinations with messages: all that a decision looks at, however long the list is. */
  private final Map<Long, Destination> busy = new TreeMap<>();

  private final Map<Long, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, KeyLine> keys = new LinkedHashMap<>();
  private final double[] classMeanUs;
  private final double[] notedMeanUs;
  private Lane bestLane;
  private final int[] classSamples;
  private final long[] quotaUs;
  private final TreeSet<Long> wakes = new TreeSet<>();
  private int callsOut, open;
  private double trustUs;
  private long nowUs, nextStepUs, stopUs = NEVER;
  private boolean subscribed;
  private long askAgainUs = NEVER, askBackOffUs = ASK_LEAST_US;

  /**
   * A courier that knows nothing yet but its settings; {@code seed} is its only source of chance.
   */
  ReferenceController(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    this(settings, seed, actions, true);
  }

  ReferenceController(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final boolean learns) {
    this.learns = learns;
    this.settings = settings;
    this.actions = actions;
    this.random = new Random(seed);
    this.classMeanUs =
        settings.classes().stream()
            .mapToDouble(k -> UNSEEN_SHARE * k.latencyObjectiveUs())
            .toArray();
    this.notedMeanUs = classMeanUs.clone();
    this.classSamples = new int[classMeanUs.length];
    this.trustUs = settings.limits().idleTimeoutUs();
    this.quotaUs = new long[settings.tenants().size()];
  }

  // ---------------------------------------------------------------- events

  @Override
  public void onMessage(final long now, final Message message) {
    nowUs = now;
    final Job job = new Job(message, settings.classes().get(message.classIndex()));
    jobs.put(message.id(), job);
    open++;
    job.overQuota = overQuota(message.tenantIndex());
    job.destination = destination(message.destinationId());
    job.destination.enqueue(job);
    job.destination.jobs++;
    busy.put(message.destinationId(), job.destination);
    if (job.kind.orderedByKey() && message.key() != null) {
      job.line = keys.computeIfAbsent(message.key(), key -> new KeyLine());
      job.line.jobs.add(job);
    }
  }

  @Override
  public void onMessageResumed(final long now, final Message message, final PriorAttempts past) {
    onMessage(now, message);
    final Job job = jobs.get(message.id());
    job.attempts = past.attempts();
    job.mayHaveRun = past.mayHaveExecuted();
    if (job.mayHaveRun) {
      job.firstRunUs = past.firstExecutionUs();
      job.runZone = past.executionZone();
      if (job.line != null) {
        job.line.restUntilUs = nowUs + settings.guarantees().settleDelayUs();
      }
    }
  }

  @Override
  public void onStopping(final long now, final long atUs) {
    nowUs = now;
    stopUs = atUs;
    System.arraycopy(classMeanUs, 0, notedMeanUs, 0, classMeanUs.length);
  }

  @Override
  public void onCapacityChanged(final long now, final int slotsNow, final int maxOpenNow) {
    throw new UnsupportedOperationException("it was decided before couriers were divided");
  }

  @Override
  public void onOutcome(final long now, final AttemptOutcome outcome) {
    nowUs = now;
    final Job job = jobs.get(outcome.messageId());
    if (job == null || job.call == null) {
      return;
    }
    final Call call = job.call;
    final Node node = call.node;
    job.call = null;
    if (!outcome.result().neverExecuted()) {
      job.mayHaveRun = true;
      job.firstRunUs = Math.min(job.firstRunUs, call.sentUs);
      job.runZone = node.entry.zone();
      if (job.line != null && !outcome.result().hasAnswer()) {
        job.line.restUntilUs = nowUs + settings.guarantees().settleDelayUs();
      }
    }
    if (--call.messages == 0) {
      callsOut--;
      node.inFlight--;
      node.lane.calls.remove(call);
      node.lastUseUs = nowUs;
      shareConnections(node, call);
    }
    judge(node, call, job, outcome);
    if (outcome.isFinal() || job.over) {
      end(job);
    } else {
      job.destination.enqueue(job);
    }
  }

  @Override
  public void onMessageAbandoned(final long now, final String messageId) {
    nowUs = now;
    Optional.ofNullable(jobs.get(messageId)).ifPresent(this::end);
  }

  @Override
  public void decide(final long now) {
    nowUs = now;
    nextStepUs = nextStepUs == 0 ? nowUs + SECOND_US : nextStepUs;
    if (nowUs >= nextStepUs) {
      destinations.values().forEach(d -> d.lanes.forEach(this::step));
      for (int kind = 0; kind < notedMeanUs.length; kind++) {
        if (Math.abs(classMeanUs[kind] - notedMeanUs[kind]) > 0.25 * notedMeanUs[kind]) {
          notedMeanUs[kind] = classMeanUs[kind];
        }
      }
      trustUs = Math.min((double) settings.limits().idleTimeoutUs(), TRUST_GROWTH * trustUs);
      forget();
      keys.values().removeIf(line -> line.jobs.isEmpty() && line.restUntilUs <= nowUs);
      nextStepUs += SECOND_US * ((nowUs - nextStepUs) / SECOND_US + 1);
    }
    keepList();
    watch();
    dispatch();
    reclaimSlot();
    makeRoom();
    sleep();
  }

  // ---------------------------------------------------------------- dispatch

  /** Sends, best first, until no slot is free or no message may go. */
  private void dispatch() {
    while (callsOut < settings.limits().concurrencyLimit()) {
      final Job best = best(true);
      if (best == null) {
        return;
      }
      send(best, bestLane);
    }
  }

  /**
   * Of the messages that windows and guards let go (with trials or without), the most urgent, or
   * null.
   */
  private Job best(final boolean trials) {
    Job best = null;
    double bestUrgency = 0;
    for (final Destination destination : busy.values()) {
      for (final Lane lane : destination.lanes) {
        final boolean open = openAtUs(lane) <= nowUs && (trials || lane.phase == Phase.WELL);
        final Job job = open ? pick(destination, lane, null) : null;
        if (job != null && (best == null || job.urgency > bestUrgency)) {
          best = job;
          bestUrgency = job.urgency;
          bestLane = lane;
        }
      }
    }
    return best;
  }

  /** When a lane's waits and guards let a call go; never, while its window is full. */
  private long openAtUs(final Lane lane) {
    final long stray =
        learns
            ? lane.calls.stream()
                .filter(call -> nowUs >= call.overdueUs() && call.node.lastServedUs >= call.sentUs)
                .count()
            : 0;
    if (lane.calls.size() - stray >= cap(lane) || lane.calls.size() >= most(lane)) {
      return NEVER;
    }
    final boolean exact = settings.weightMeaning() == WeightMeaning.NOMINAL && lane.told > 0;
    final double rate = exact ? Math.min(lane.told, lane.spacing) : lane.spacing;
    final long guardUs =
        switch (lane.phase) {
          case WELL -> lane.lastSendUs + (long) (SECOND_US / rate);
          case OUT -> lane.calls.isEmpty() ? lane.nextTrialUs : NEVER;
          case RAMP ->
              lane.lastSendUs
                  + (long)
                      (lane.rampSpanUs * lane.lastWeight / tippingShare(nowUs - lane.rampFromUs));
        };
    final long pausedUntilUs =
        lane.mayProbe && destinations.get(lane.destination).waiting.size() >= LEAST_LINE
            ? Math.min(lane.pauseUntilUs, lane.reading.nextProbeUs())
            : lane.pauseUntilUs;
    return Math.max(guardUs, Math.max(lane.waitUntilUs, pausedUntilUs));
  }

  /** Calls that a lane may have in flight now: its window, within its share of the slots. */
  private int cap(final Lane lane) {
    return (int) Math.max(1, Math.min(Math.floor(lane.window), most(lane)));
  }

  private int most(final Lane lane) {
    final double share = lane.phase == Phase.WELL && !lane.slow ? HEALTHY_SHARE : SICK_SHARE;
    return (int) Math.max(1, Math.floor(share * settings.limits().concurrencyLimit()));
  }

  /**
   * The most urgent message for a lane (a node, if given); trials risk first what is lost anyway.
   */
  private Job pick(final Destination destination, final Lane lane, final Node node) {
    Job best = null;
    int bestRisk = 0;
    double bestUrgency = 0;
    final long lineUs = destination.lineUs();
    for (final Job job : destination.waiting) {
      if (!mayGo(lane, node, job)) {
        continue;
      }
      final double urgency = urgency(lane, job, lineUs);
      final int risk =
          lane.phase != Phase.OUT || job.mayHaveRun ? 0 : 1 + job.kind.idempotence().ordinal();
      if (best == null || risk < bestRisk || (risk == bestRisk && urgency > bestUrgency)) {
        best = job;
        bestRisk = risk;
        bestUrgency = urgency;
        // With the store over half full some will not be served: slots go where they serve most.
        job.urgency =
            urgency / (2 * open > settings.limits().maxPendingMessages() ? notedUs(lane, job) : 1);
      }
    }
    if (best == null) {
      return null;
    }
    final Job first = firstInTurn(destination, lane, node, best);
    first.urgency = best.urgency;
    return first;
  }

  /**
   * Of late messages worth as much as the most urgent one, the first whose time is up and that may
   * share a call, where all that waits is served before half of the most urgent one's time is over.
   */
  private Job firstInTurn(
      final Destination destination, final Lane lane, final Node node, final Job urgent) {
    final boolean late = urgent.aimUs <= nowUs + (long) notedUs(lane, urgent);
    final double drainUs =
        destination.backlog.drainUs(destination.waiting.size(), notedUs(lane, urgent));
    if (!late || lane.phase != Phase.WELL || 2 * drainUs > urgent.keyEndUs() - nowUs) {
      return urgent;
    }
    Job first = urgent;
    for (final Job job : destination.waiting) {
      if (worthAsMuch(job, urgent)
          && job.keyEndUs() == job.message.validUntilUs()
          && mayGo(lane, node, job)
          && job.message.validUntilUs()
              >= nowUs + (long) (HOLD_UP_US + SHARE_TIMES * expectedUs(lane, job))
          && endsBefore(destination, job, first)) {
        first = job;
      }
    }
    return first;
  }

  private static boolean endsBefore(final Destination destination, final Job job, final Job other) {
    final long until = job.message.validUntilUs();
    final long otherUntil = other.message.validUntilUs();
    return until < otherUntil
        || (until == otherUntil
            && destination.waiting.indexOf(job) < destination.waiting.indexOf(other));
  }

  private static boolean worthAsMuch(final Job job, final Job other) {
    return job.overQuota == other.overQuota
        && job.kind.priorityWeight() == other.kind.priorityWeight()
        && job.kind.lateWeight() == other.kind.lateWeight()
        && job.kind.latencyObjectiveUs() == other.kind.latencyObjectiveUs()
        && job.kind.deadlineUs() == other.kind.deadlineUs();
  }

  private boolean mayGo(final Lane lane, final Node node, final Job job) {
    return inTurn(job)
        && endsInTime(lane, job)
        && (node != null || choose(lane, job, null) != null)
        && (node == null
            || (zoneAllows(job, node) && job.kind.idempotence() != Idempotence.NON_IDEMPOTENT));
  }

  /** What a message loses by waiting for as long as its destination's line takes. */
  private double urgency(final Lane lane, final Job job, final long lineUs) {
    final long horizonUs = (long) clamp((double) lineUs, HORIZON_LEAST_US, HORIZON_MOST_US);
    final long doneUs = nowUs + (long) notedUs(lane, job);
    final double kept = KEPT / (1 + (double) horizonUs / HORIZON_MOST_US);
    return worth(job, doneUs) - kept * worth(job, doneUs + horizonUs);
  }

  /**
   * The worth of a message delivered at a given time; a key's window ends it like the deadline
   * does.
   */
  private double worth(final Job job, final long atUs) {
    final MessageClass kind = job.kind;
    if (atUs >= job.keyEndUs()) {
      return 0;
    }
    final double full = kind.priorityWeight() * (job.overQuota ? OVER_QUOTA : 1);
    final long lateUs = Math.max(0, atUs - job.aimUs);
    return full
        * (settings.valueDecay() == ValueDecay.HALVING
            ? Math.max(
                kind.lateWeight(),
                Math.pow(0.5, (double) lateUs / Math.max(1, kind.latencyObjectiveUs())))
            : 1
                - (1 - kind.lateWeight())
                    * lateUs
                    / Math.max(1, kind.deadlineUs() - kind.latencyObjectiveUs()));
  }

  /** The best endpoint of a lane for a message now, or null. */
  private Node choose(final Lane lane, final Job job, final Node refusedBy) {
    Node best = null;
    double bestLoad = 0;
    final int kind = job.message.classIndex();
    for (final Node node : lane.nodes) {
      if (node.condition != EndpointState.LISTED
          || !zoneAllows(job, node)
          || (lane.phase == Phase.WELL && nowUs < node.avoidUntilUs[kind])) {
        continue;
      }
      final boolean handshake =
          node.inFlight >= node.connections * settings.limits().streamsPerConnection()
              || (node.inFlight == 0
                  && nowUs - node.lastUseUs >= settings.limits().idleTimeoutUs());
      final boolean cross = !node.entry.zone().equals(settings.zone());
      final double load =
          lane.phase == Phase.OUT
              ? node.lastSendUs
              : node.inFlight
                  + node.badRun[kind]
                  + (handshake ? HANDSHAKE_LOAD : 0)
                  + (cross ? CROSS_LOAD : 0)
                  + (node == refusedBy ? REFUSED_LOAD : 0)
                  + (learns ? node.cells[kind].consecutiveRejections() : 0);
      if (best == null || load < bestLoad) {
        best = node;
        bestLoad = load;
      }
    }
    return best;
  }

  /** False where an earlier attempt may have run and this endpoint would not know the repeat. */
  private static boolean zoneAllows(final Job job, final Node node) {
    return !job.mayHaveRun || !job.kind.keyScopedToZone() || node.entry.zone().equals(job.runZone);
  }

  /**
   * Rule on order: the first of its key goes, and only after the rest that an open attempt asks
   * for.
   */
  private boolean inTurn(final Job job) {
    return job.line == null
        || (job.line.jobs.get(0) == job && (job.mayHaveRun || job.line.restUntilUs <= nowUs));
  }

  /**
   * False for a call that the end of this process would likely cut off: the next one may send it.
   */
  private boolean endsInTime(final Lane lane, final Job job) {
    return stopUs == NEVER
        || nowUs
                + (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT
                        ? OVERDUE_TIMES
                        : STOP_TIMES)
                    * notedUs(lane, job)
            < stopUs;
  }

  /** Sends a message and, where calls are shared, those that wait with it. */
  private void send(final Job first, final Lane lane) {
    final Node node = choose(lane, first, first.refusedBy);
    final Call call = new Call();
    call.node = node;
    call.sentUs = nowUs;
    call.probe = lane.pauseUntilUs > nowUs;
    lane.mayProbe &= !call.probe;
    callsOut++;
    lane.calls.add(call);
    lane.peak = Math.max(lane.peak, lane.calls.size());
    if (node.inFlight++ == 0) {
      checkIdle(call, node, first);
    }
    final int streams = settings.limits().streamsPerConnection();
    call.reused = node.connections * streams >= node.inFlight;
    node.connections = Math.max(node.connections, (node.inFlight + streams - 1) / streams);
    node.lastSendUs = lane.lastSendUs = nowUs;
    if (lane.phase == Phase.OUT) {
      lane.nextTrialUs = trialUs(lane);
    }
    Job job = first;
    final boolean alone =
        lane.phase == Phase.OUT
            || first.kind.idempotence() == Idempotence.NON_IDEMPOTENT
            || endsSoon(lane, first);
    while (job != null) {
      call.messages++;
      call.expectedUs = Math.max(call.expectedUs, (long) expectedUs(lane, job));
      job.call = call;
      job.attempts++;
      job.destination.waiting.remove(job);
      job.destination.backlog.endIfEmpty(job.destination);
      actions.send(job.message.id(), node.entry.id(), timeoutUs(lane, node, job));
      final boolean full = alone || call.messages >= lane.kind.messagesPerCall();
      job = full ? null : pick(job.destination, lane, node);
      job = job == null || endsSoon(lane, job) ? null : job;
    }
    call.size = call.messages;
    lane.lastWeight = 1 + FURTHER_WEIGHT * (call.size - 1);
  }

  /**
   * An idle connection may be dead without a sign, wherever it died: when a call over one fails
   * where all was well, none idle half as long is used for a while (a quarter, for unsafe ones).
   * Costs handshakes.
   */
  private void checkIdle(final Call call, final Node node, final Job job) {
    final long idleUs = nowUs - node.lastUseUs;
    if (node.connections > 0
        && idleUs >= trustUs / (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT ? 2 : 1)) {
      node.connections = 0;
      actions.closeIdleConnections(node.entry.id());
    } else if (node.connections > 0) {
      call.idleUs = idleUs;
    }
  }

  /**
   * An idle connection takes the place of another courier's: where they are many, it is closed
   * unless its next use is near. Guards against refused connections at well endpoints; costs a
   * handshake a call.
   */
  private void shareConnections(final Node node, final Call call) {
    final double usesInReach = node.lane.callRate * REUSE_CALLS * call.expectedUs / SECOND_US;
    if (settings.courierCount() > FEW_COURIERS && usesInReach < node.lane.nodes.size()) {
      node.connections = 0;
      actions.closeIdleConnections(node.entry.id());
    }
  }

  // ---------------------------------------------------------------- the fuzzy step

  /** Moves a lane's window by Table I. */
  private void step(final Lane lane) {
    final double bad = lane.bad + overdue(lane);
    final double read = lane.served + lane.errors + bad;
    if (lane.phase == Phase.WELL) {
      final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++lane.steps);
      lane.rate += weight * (lane.delivered - lane.rate);
      lane.callRate += weight * (lane.served - lane.callRate);
    }
    if (read > 0) {
      double latency = 0;
      if (lane.delivered > 0) {
        final double mean = lane.ratioSum / lane.delivered;
        final double trust = lane.delivered / (lane.delivered + LATENCY_PRIOR);
        latency = clamp(trust * (mean / lane.slowRatio - 1), 0, 1);
        lane.slowRatio += SAMPLE_WEIGHT * trust * (mean - lane.slowRatio);
      }
      double refusal = bad / read;
      if (lane.allowance != null && lane.allowance.callsPerSecond() > 0) {
        refusal = Math.max(refusal, 1 - lane.allowance.remainingShare());
      }
      final double change = Math.max(bad == 0 ? 0 : -1, tableOne(latency, clamp(refusal, 0, 1)));
      if (change < 0 || lane.peak >= USED_SHARE * Math.floor(lane.window)) {
        lane.window =
            clamp(
                lane.window * (1 + change),
                WINDOW_FLOOR,
                Math.max(1, Math.floor(HEALTHY_SHARE * settings.limits().concurrencyLimit())));
      }
      lane.slow = latency > SLOW_INPUT || refusal > SLOW_INPUT;
    }
    final double refusing = SPACING_LEAST + SPACING * Math.max(lane.served, lane.callRate);
    final boolean heeded =
        lane.refused > (learns ? FEW_REFUSED * read : 0)
            && lane.reading.cause(nowUs) != RejectionClassifier.Cause.NOISE;
    final boolean regains =
        learns
            && lane.refused == 0
            && nowUs >= lane.freeFromUs
            && destinations.get(lane.destination).waiting.size() >= LONG_LINE;
    lane.spacing = heeded ? refusing : (regains ? REGAIN : SPACING) * lane.spacing;
    lane.peak = lane.calls.size();
    lane.ratioSum = lane.refused = lane.delivered = 0;
    lane.served = lane.bad = lane.errors = 0;
    lane.allowance = null;
  }

  /**
   * Table I, rows by latency, columns by refusals, each Low, Medium, High: places in the outputs.
   */
  private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

  private static final int[][] TABLE_ONE = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

  /**
   * The paper's Mamdani controller: triangles, min for AND, max for an output's rules, central
   * average.
   */
  static double tableOne(final double latency, final double refusal) {
    final double[] union = new double[OUTPUTS.length];
    for (int row = 0; row < TABLE_ONE.length; row++) {
      for (int column = 0; column < TABLE_ONE.length; column++) {
        final double both = Math.min(member(row, latency), member(column, refusal));
        union[TABLE_ONE[row][column]] = Math.max(union[TABLE_ONE[row][column]], both);
      }
    }
    double sum = 0;
    double weights = 0;
    for (int output = 0; output < OUTPUTS.length; output++) {
      sum += OUTPUTS[output] * union[output];
      weights += union[output];
    }
    return sum / weights;
  }

  /** Triangles with their peaks at 0, 0.5 and 1: how Low, Medium or High an input is. */
  private static double member(final int set, final double input) {
    return Math.max(0, 1 - Math.abs(2 * input - set));
  }

  // ---------------------------------------------------------------- health and return from outage

  /**
   * Reads one outcome: service times, the step's inputs, waits, health of endpoint and lane. What
   * is counted in calls gets a message's part of its call: five messages turned away together are
   * one refusal.
   */
  private void judge(
      final Node node, final Call call, final Job job, final AttemptOutcome outcome) {
    final Lane lane = node.lane;
    if (outcome.loadReport() != null) {
      lane.allowance = outcome.loadReport();
      lane.told = lane.allowance.callsPerSecond();
    }
    final int kind = job.message.classIndex();
    final double part = 1.0 / call.size;
    final boolean first = lane.troubleFromUs == NEVER;
    lane.troubleFromUs = Math.min(lane.troubleFromUs, nowUs);
    // A wait may stand in any answer, also one that delivers some of a call's messages.
    lane.waitUntilUs = Math.max(lane.waitUntilUs, nowUs + outcome.retryAfterUs());
    switch (outcome.result()) {
      case DELIVERED -> {
        final double ratio = learn(lane, job, outcome.durationUs());
        lane.delivered++;
        lane.served += part;
        destinations.get(lane.destination).backlog.served();
        node.lastServedUs = nowUs;
        node.badRun[kind] = 0;
        node.avoidUntilUs[kind] = 0;
        node.cells[kind].recordServed(outcome.durationUs());
        if (learns) {
          readServed(lane, call, part, ratio);
        }
        lane.badRun = 0;
        lane.stretch = Math.max(1, lane.stretch - STRETCH * SAMPLE_WEIGHT);
        lane.failShare -= part * FAIL_WEIGHT * lane.failShare;
        if (lane.phase == Phase.OUT) {
          lane.phase = Phase.RAMP;
          lane.rampFromUs = nowUs;
          lane.rampSpanUs = patienceUs(lane, nowUs);
          lane.failShare = 0;
        }
        lane.troubleFromUs = NEVER;
      }
      case REFUSED -> {
        if (learns && outcome.retryAfterUs() == 0 && isStray(lane, node, job, call)) {
          lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
          return;
        }
        lane.bad += part;
        lane.refused++;
        final long fromUs = Math.max(nowUs, lane.waitUntilUs);
        final long gapUs = patienceUs(lane, fromUs);
        final boolean told = outcome.retryAfterUs() > 0;
        lane.pauseUntilUs = fromUs + (told ? (long) (random.nextDouble() * gapUs) : jitter(gapUs));
        final boolean same = learns && call.sentUs < lane.refusedUs;
        lane.refusedUs = same ? lane.refusedUs : nowUs;
        suspect(
            lane,
            outcome.retryAfterUs() > LIMIT_WAIT_US ? OUT_WEIGHT : same ? 0 : part * REFUSED_WEIGHT);
      }
      case ERROR -> {
        lane.errors += part;
        lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
        suspect(lane, part * ERROR_WEIGHT);
      }
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE -> {
        final boolean told = outcome.result() == AttemptResult.STALE;
        call.stale |=
            told
                || (outcome.result() == AttemptResult.RESET
                    && call.reused
                    && node.badRun[kind] == 0);
        if (call.stale) {
          // A kept connection was dead: that says nothing of its endpoint, but of others like it.
          lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
          node.badRun[kind] += told ? 0 : part;
          node.connections = 0;
          actions.closeIdleConnections(node.entry.id());
          return;
        }
        final boolean among =
            node.lastServedUs >= call.sentUs
                || (outcome.result() != AttemptResult.TIMED_OUT
                    && lane.badRun == 0
                    && node.lastServedUs > 0);
        if (learns
            && among
            && lane.phase == Phase.WELL
            && node.badRun[kind] == 0
            && lane.failShare < SINGLE_SHARE) {
          lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
          node.badRun[kind] += part;
          node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
          lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
          suspect(lane, part);
          return;
        }
        lane.bad += part;
        if (outcome.result() == AttemptResult.TIMED_OUT
            || outcome.result() == AttemptResult.CANCELLED) {
          lane.stretch = STRETCH;
        }
        if (first
            && call.idleUs >= TRUST_LEAST_US
            && !call.calledOff
            && outcome.result() != AttemptResult.NO_CONNECTION) {
          final long halfUs = call.idleUs / 2;
          trustUs = Math.max(TRUST_LEAST_US, Math.min(trustUs, (double) halfUs));
        }
        node.badRun[kind] += part;
        if (node.lastServedUs < call.sentUs) {
          Arrays.fill(node.avoidUntilUs, nowUs + jitter(AVOID_US));
        }
        node.avoidUntilUs[kind] = nowUs + jitter(AVOID_US);
        node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
        if (outcome.result() != AttemptResult.NO_CONNECTION || node.lastServedUs <= call.sentUs) {
          lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
          if (lane.failShare > SINGLE_SHARE) {
            lane.growth.stop();
          }
          suspect(lane, part);
        }
      }
      case NOT_SENT -> lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
    }
  }

  private void readServed(final Lane lane, final Call call, final double part, final double ratio) {
    if (lane.growth.recordServed(ratio)
        && lane.phase == Phase.WELL
        && !destinations.get(lane.destination).waiting.isEmpty()
        && lane.calls.size() + 1 >= Math.floor(lane.window)) {
      lane.window =
          Math.min(
              lane.window + part,
              Math.max(1, Math.floor(HEALTHY_SHARE * settings.limits().concurrencyLimit())));
    }
    if (call.messages > 0) {
      return;
    }
    lane.servedCalls++;
    lane.firstCalls += lane.steps == 0 && lane.phase == Phase.WELL ? 1 : 0;
    lane.reading.recordServed(call.sentUs, nowUs);
    lane.budget.recordServed();
    if (call.probe) {
      lane.reading.recordProbe(true, nowUs);
      lane.pauseUntilUs = nowUs;
    }
    if (lane.reading.hasJustSettledOnNoise()) {
      lane.windowBefore = lane.window;
      lane.spacingBefore = lane.spacing;
      lane.pauseUntilUs = nowUs;
      lane.spacing = nowUs < lane.freeFromUs ? lane.spacing : Double.POSITIVE_INFINITY;
      lane.growth.restart();
    }
  }

  private boolean isStray(final Lane lane, final Node node, final Job job, final Call call) {
    job.refusedBy = node;
    if (!call.refused && lane.phase == Phase.WELL) {
      call.refused = true;
      call.stray = reads(lane, node, job.message.classIndex(), call);
    }
    return call.stray;
  }

  private boolean reads(final Lane lane, final Node node, final int kind, final Call call) {
    final long restUs = node.cells[kind].recordRejected(lane.servedCalls, ++lane.refusedCalls);
    if (restUs > 0) {
      node.avoidUntilUs[kind] = nowUs + jitter(restUs);
      return true;
    }
    lane.reading.recordRejected(call.sentUs, nowUs);
    if (lane.reading.cause(nowUs) == RejectionClassifier.Cause.NOISE) {
      if (lane.budget.tryAcquire()) {
        return true;
      }
      lane.reading.onRetryBudgetExhausted(nowUs);
      lane.window = Math.min(lane.window, lane.windowBefore);
      lane.spacing = Math.min(lane.spacing, lane.spacingBefore);
    }
    if (lane.growth.recordRejected()) {
      lane.window = Math.max(Math.min(lane.window, WINDOW_START), lane.window / 2);
    }
    if (call.probe) {
      lane.reading.recordProbe(false, nowUs);
    }
    lane.mayProbe = true;
    return false;
  }

  /**
   * Adds to a lane's run of bad outcomes; a long run, or a high share of failures, is an outage.
   */
  private void suspect(final Lane lane, final double weight) {
    lane.badRun += weight;
    final boolean out = lane.badRun + overdue(lane) >= OUT_WEIGHT || lane.failShare > OUT_SHARE;
    if (out && lane.phase != Phase.OUT) {
      lane.phase = Phase.OUT;
      lane.window = WINDOW_FLOOR;
      lane.troubleFromUs = Math.min(lane.troubleFromUs, nowUs);
      lane.nextTrialUs = trialUs(lane);
    }
  }

  /** Attempts out far longer than expected with no success on their endpoint since: silence. */
  private int overdue(final Lane lane) {
    int count = 0;
    for (final Call call : lane.calls) {
      if (nowUs >= call.overdueUs() && call.node.lastServedUs < call.sentUs) {
        Arrays.fill(call.node.avoidUntilUs, nowUs + AVOID_US);
        count++;
      }
    }
    return count;
  }

  /**
   * Silence may not eat the slots: while all are taken and a message could go elsewhere, the call
   * longest overdue is called off. Covers hung, stalled and very slow ones; hurts where one would
   * have answered.
   */
  private void reclaimSlot() {
    if (callsOut < settings.limits().concurrencyLimit()
        || !settings.limits().cancellationAllowed()) {
      return;
    }
    final Job worst =
        jobs.values().stream()
            .filter(job -> job.call != null && !job.call.calledOff && nowUs >= job.call.overdueUs())
            .min(Comparator.comparingLong(job -> job.call.sentUs))
            .orElse(null);
    if (worst != null && best(false) != null) {
      worst.call.calledOff = true;
      jobs.values().stream()
          .filter(job -> job.call == worst.call)
          .forEach(job -> actions.cancel(job.message.id(), job.attempts - 1));
    }
  }

  /**
   * A lane in trouble looks again after as long as its trouble has lasted, but no longer than its
   * messages (or this courier's even part of the limit) are apart. So all couriers, however many,
   * come no more often than messages do; it hurts a message whose wait outlasts the trouble.
   */
  private long patienceUs(final Lane lane, final long atUs) {
    return (long) Math.min((double) Math.max(PAUSE_US, atUs - lane.troubleFromUs), apartUs(lane));
  }

  /** How far apart this courier's calls to a lane are, or calls at its even part of the limit. */
  private double apartUs(final Lane lane) {
    final double limit = lane.told > 0 ? lane.told : UNTOLD_LIMIT;
    return SECOND_US / Math.max(lane.callRate, limit / settings.courierCount());
  }

  /**
   * When a lane that is out is tried again: at any moment as likely as the share that tips a cold
   * one, over the outage's age. So the trials of all couriers stay near that share of the messages,
   * however many.
   */
  private long trialUs(final Lane lane) {
    final long fromUs = Math.max(nowUs, lane.waitUntilUs);
    final double ageUs = Math.max(PAUSE_US, fromUs - lane.troubleFromUs);
    final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / tippingShare(0)) - 1);
    return fromUs
        + (long)
            Math.min(
                gapUs,
                (double)
                    jitter(
                        (long)
                            Math.max(
                                learns ? SECOND_US / 10.0 : 0, apartUs(lane) / tippingShare(0))));
  }

  /** What tips a destination so far on its way to being warm, as a share of its whole capacity. */
  private double tippingShare(final long warmingUs) {
    final double coldFrom = settings.guarantees().coldCapacityShare();
    final double warm = (double) warmingUs / Math.max(1, settings.guarantees().warmUpUs());
    return settings.guarantees().overloadMultiple()
        * (coldFrom + (1 - coldFrom) * clamp(warm, 0, 1));
  }

  private double learn(final Lane lane, final Job job, final long durationUs) {
    final int kind = job.message.classIndex();
    final double ratio = durationUs / Math.max(1, classMeanUs[kind]);
    lane.ratioSum += ratio;
    final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++classSamples[kind]);
    classMeanUs[kind] +=
        weight * (durationUs / Math.max(PACE_LEAST, lane.pace) - classMeanUs[kind]);
    lane.pace += Math.max(SAMPLE_WEIGHT, 1.0 / (1 + ++lane.paceSamples)) * (ratio - lane.pace);
    return ratio;
  }

  private double notedUs(final Lane lane, final Job job) {
    return notedMeanUs[job.message.classIndex()] * Math.max(PACE_LEAST, lane.pace);
  }

  private double expectedUs(final Lane lane, final Job job) {
    return classMeanUs[job.message.classIndex()] * Math.max(PACE_LEAST, lane.pace);
  }

  /** Its end would likely be the end of a call that it shares, for all messages in it. */
  private boolean endsSoon(final Lane lane, final Job job) {
    return job.message.validUntilUs() - nowUs < HOLD_UP_US + SHARE_TIMES * expectedUs(lane, job);
  }

  private long jitter(final long us) {
    return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }

  private static double clamp(final double value, final double least, final double most) {
    return Math.max(least, Math.min(most, value));
  }

  // ---------------------------------------------------------------- deadlines and further attempts

  /** How long an attempt may take. */
  private long timeoutUs(final Lane lane, final Node node, final Job job) {
    final double expectedUs = expectedUs(lane, job);
    final long leftUs = job.message.validUntilUs() - nowUs;
    long timeoutUs = (long) Math.max(TIMEOUT_LEAST_US, TIMEOUT_TIMES * lane.stretch * expectedUs);
    if (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
      return leftUs;
    }
    timeoutUs =
        learns
            ? node.cells[job.message.classIndex()].timeoutUs(timeoutUs, lane.stretch)
            : timeoutUs;
    if (job.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !job.mayHaveRun) {
      final long againUs =
          (long) ((1 - KEY_MARGIN) * job.kind.idempotencyWindowUs()) - OVERDUE_LEAST_US / 2;
      timeoutUs = Math.min(timeoutUs, Math.max(OVERDUE_LEAST_US, againUs));
    }
    return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
  }

  /**
   * Looks for silence and ramps that are over; ends what may not be sent again, or has no time
   * left.
   */
  private void watch() {
    for (final Destination destination : List.copyOf(busy.values())) {
      for (final Lane lane : destination.lanes) {
        suspect(lane, 0);
        if (lane.phase == Phase.RAMP
            && nowUs - lane.rampFromUs > settings.guarantees().warmUpUs()) {
          lane.phase = Phase.WELL;
          if (learns) {
            lane.freeFromUs = nowUs + settings.guarantees().warmUpUs();
            lane.reading.reset();
            lane.spacing =
                SPACING
                    * Math.max(
                        Math.max(1, lane.served),
                        Math.max(lane.callRate, lane.steps == 0 ? lane.firstCalls : 0));
            lane.growth.restart();
          }
        }
      }
      for (final Job job : List.copyOf(destination.waiting)) {
        if (nowUs >= endUs(job) || !maySend(job)) {
          // Given up: come again when the line that stands there now has gone, and no sooner.
          finish(job, Math.max(PAUSE_US, destination.lineUs()));
        }
      }
    }
  }

  /** When a message that waits is ended: its time or its key's window is up. */
  private long endUs(final Job job) {
    return Math.min(job.message.validUntilUs() - END_MARGIN_US, job.keyEndUs());
  }

  /** Rule on effects, and the most attempts. */
  private boolean maySend(final Job job) {
    final Idempotence effect = job.kind.idempotence();
    return job.attempts < settings.limits().maxAttempts()
        && (!job.mayHaveRun
            || effect == Idempotence.IDEMPOTENT
            || (effect == Idempotence.IDEMPOTENT_BY_KEY && nowUs < job.keyEndUs()));
  }

  private static boolean mayRefuse(final Job job) {
    return !job.mayHaveRun
        || job.kind.idempotence() == Idempotence.IDEMPOTENT
        || (job.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !job.kind.keyScopedToZone());
  }

  /** Gives the final answer: a refusal where that is harmless, or a failure. */
  private void finish(final Job job, final long retryAfterUs) {
    if (mayRefuse(job)) {
      actions.shed(job.message.id(), Math.min(retryAfterUs, settings.limits().maxRetryAfterUs()));
    } else {
      actions.fail(job.message.id());
    }
    end(job);
  }

  private void end(final Job job) {
    open -= job.over ? 0 : 1;
    job.over = true;
    job.destination.waiting.remove(job);
    job.destination.backlog.endIfEmpty(job.destination);
    if (job.call == null) {
      if (job.line != null) {
        job.line.jobs.remove(job);
      }
      jobs.remove(job.message.id());
      if (--job.destination.jobs == 0) {
        busy.remove(job.message.destinationId());
      }
    }
  }

  /**
   * Refuses what has least to gain before the store is full: nothing is turned away at the door.
   */
  private void makeRoom() {
    final int reserve = (int) Math.max(1, STORE_RESERVE * settings.limits().maxPendingMessages());
    while (open > settings.limits().maxPendingMessages() - reserve) {
      final Job least =
          busy.values().stream()
              .flatMap(destination -> destination.waiting.stream())
              .filter(ReferenceController::mayRefuse)
              .min(
                  Comparator.comparingDouble(
                      job ->
                          worth(
                              job, Math.min(nowUs + job.destination.lineUs(), job.keyEndUs() - 1))))
              .orElse(null);
      if (least == null) {
        return;
      }
      finish(least, SECOND_US);
    }
  }

  /** Meters a tenant at this courier's even part of its quota; true for a message beyond it. */
  private boolean overQuota(final int tenant) {
    final double whole = tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerSecond();
    final double quota = whole / settings.courierCount();
    if (quota <= 0 || quotaUs[tenant] > nowUs + QUOTA_BURST * SECOND_US / quota) {
      return quota > 0;
    }
    quotaUs[tenant] = Math.max(quotaUs[tenant], nowUs) + (long) (SECOND_US / quota);
    return false;
  }

  /**
   * Asks to be woken when something can change by time alone: a guard, a deadline, a silence, a
   * step.
   */
  private void sleep() {
    long next = Math.min(nextStepUs, askAgainUs);
    for (final Destination destination : busy.values()) {
      for (final Lane lane : destination.lanes) {
        for (final Call call : lane.calls) {
          next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
        }
        if (!destination.waiting.isEmpty()) {
          next = Math.min(next, Math.max(openAtUs(lane), nowUs + POLL_US));
        }
      }
      for (final Job job : destination.waiting) {
        next = Math.min(next, endUs(job));
      }
    }
    wakes.headSet(nowUs + 1).clear();
    if (wakes.isEmpty() || wakes.first() > next) {
      wakes.add(Math.max(nowUs + 1, next));
      actions.scheduleDecision(wakes.first() - nowUs);
    }
  }

  // ---------------------------------------------------------------- membership

  @Override
  public void onEndpointList(
      final long now, final EndpointUpdate update, final List<Endpoint> entries) {
    nowUs = now;
    if (update == EndpointUpdate.UNAVAILABLE) {
      subscribed = false;
      askAgainUs = nowUs + jitter(askBackOffUs);
      askBackOffUs = Math.min(2 * askBackOffUs, ASK_MOST_US);
      return;
    }
    if (update != EndpointUpdate.SUPPLEMENT) {
      askAgainUs = NEVER;
      askBackOffUs = ASK_LEAST_US;
    }
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      nodes.values().forEach(node -> node.condition = EndpointState.GONE);
    }
    for (final Endpoint entry : entries) {
      Node node = nodes.get(entry.id());
      if (node == null) {
        node = new Node(entry, lane(entry), classMeanUs.length);
        node.lane.nodes.add(node);
        // A new endpoint has no part in an outage of those before it: it may be tried at once.
        node.lane.nextTrialUs = Math.min(node.lane.nextTrialUs, nowUs);
        nodes.put(entry.id(), node);
      }
      node.condition = entry.state();
      node.lane.told =
          settings.weightMeaning() == WeightMeaning.NONE ? node.lane.told : entry.weight();
    }
    // A route apart is not forgotten soon: listed again, it still has its wait and its outage.
    nodes
        .values()
        .removeIf(
            node ->
                node.condition == EndpointState.GONE
                    && node.inFlight == 0
                    && !node.lane.kind.separateRoutes()
                    && node.lane.nodes.remove(node));
  }

  /** Endpoints and destinations come and go for good: what has long been of no use is not kept. */
  private void forget() {
    final long beforeUs = nowUs - FORGET_US;
    nodes
        .values()
        .removeIf(
            node ->
                node.condition == EndpointState.GONE
                    && node.inFlight == 0
                    && node.lane.lastSendUs < beforeUs
                    && node.lane.nodes.remove(node));
    destinations
        .values()
        .removeIf(
            destination -> {
              if (destination.jobs == 0) {
                destination.lanes.removeIf(
                    lane -> lane.nodes.isEmpty() && lane.lastSendUs < beforeUs);
              }
              return destination.jobs == 0 && destination.lanes.isEmpty();
            });
  }

  private Lane lane(final Endpoint entry) {
    final Destination destination = destination(entry.destinationId());
    final DestinationKind kind =
        entry.kindIndex() < 0
            ? new DestinationKind("", false, 1)
            : settings.kinds().get(entry.kindIndex());
    if (kind.separateRoutes() || destination.lanes.isEmpty()) {
      final boolean few = settings.courierCount() <= FEW_COURIERS;
      destination.lanes.add(
          new Lane(kind, entry.destinationId(), few ? WINDOW_START : WINDOW_RARE));
    }
    return destination.lanes.get(destination.lanes.size() - 1);
  }

  /** How many destinations are kept in mind. */
  int destinationsKnown() {
    return destinations.size();
  }

  private Destination destination(final long id) {
    return destinations.computeIfAbsent(id, unused -> new Destination());
  }

  /** Where the list must be asked for: once at the start, and again after a loss. */
  private void keepList() {
    if (settings.subscribesToEndpointList()
        && (askAgainUs == NEVER ? !subscribed : nowUs >= askAgainUs)) {
      subscribed = true;
      askAgainUs =
          nowUs + Math.min(ASK_MOST_US, settings.guarantees().subscriptionDeadlineUs() / 2);
      actions.subscribeToEndpointList();
    }
  }

  // ---------------------------------------------------------------- state

  private enum Phase {
    WELL,
    OUT,
    RAMP
  }

  /** A destination: what waits for it, and its lanes (one, unless its routes are apart). */
  private final class Destination {
    private final List<Job> waiting = new ArrayList<>();
    private final Backlog backlog = new Backlog();
    private final List<Lane> lanes = new ArrayList<>();

    /** Its messages, waiting or out. */
    private int jobs;

    private void enqueue(final Job job) {
      if (waiting.isEmpty()) {
        backlog.begin();
      }
      waiting.add(job);
    }

    /** How long its line takes at the rate that it was served, us. */
    private long lineUs() {
      double sum = 0;
      for (final Lane lane : lanes) {
        sum += lane.rate;
      }
      final double rate = Math.max(LEAST_RATE, sum);
      return (long) (waiting.size() / rate * SECOND_US);
    }
  }

  /** What is served of a line while it stands, and how long the rest takes at that rate. */
  private final class Backlog {
    private long sinceUs = NEVER;
    private double served;

    private void begin() {
      sinceUs = nowUs;
      served = 0;
    }

    private void endIfEmpty(final Destination destination) {
      sinceUs = destination.waiting.isEmpty() ? NEVER : sinceUs;
    }

    private void served() {
      if (sinceUs == NEVER) {
        return;
      }
      served++;
      if (nowUs - sinceUs > BACKLOG_MEMORY_US) {
        sinceUs += (nowUs - sinceUs) / 2;
        served /= 2;
      }
    }

    private double drainUs(final int messages, final double callUs) {
      return sinceUs == NEVER || nowUs - sinceUs < BACKLOG_LEAST_US + 2 * callUs
          ? 0
          : messages * ((nowUs - sinceUs) / served);
    }
  }

  /** The unit of the window: a destination, or a route of it. */
  private static final class Lane {
    private final DestinationKind kind;
    private final long destination;
    private final RejectionClassifier reading = new RejectionClassifier();
    private final RetryBudget budget = new RetryBudget();
    private final InitialWindowGrowth growth = new InitialWindowGrowth();
    private long servedCalls, refusedCalls;
    private int firstCalls;
    private boolean mayProbe;
    private double windowBefore, spacingBefore;
    private long refusedUs, freeFromUs;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private double window;

    /** This step's counts and sum of latency ratios. */
    private int peak, refused, delivered;

    /** Of these, in calls. */
    private double served, bad, errors;

    private double ratioSum;
    private LoadReport allowance;

    /**
     * Slow averages: steps seen, messages and calls served a second, step means, pace by other
     * lanes.
     */
    private int steps, paceSamples;

    private double rate, callRate, slowRatio = 1, pace = 1, stretch = 1;

    /** What the last call weighs on a cold destination. */
    private double lastWeight = 1;

    /** The limit told (0: none), and the sends allowed now, a second. */
    private double told, spacing = Double.POSITIVE_INFINITY;

    private boolean slow;
    private Phase phase = Phase.WELL;
    private double badRun, failShare, rampSpanUs;

    /** Since when nothing was served there; never, while all is well. */
    private long troubleFromUs = NEVER;

    private long waitUntilUs, pauseUntilUs, nextTrialUs, rampFromUs, lastSendUs;

    private Lane(final DestinationKind kind, final long destination, final double window) {
      this.kind = kind;
      this.destination = destination;
      this.window = window;
    }
  }

  /** An endpoint. */
  private static final class Node {
    private final Endpoint entry;
    private final Lane lane;
    private EndpointState condition;
    private int inFlight, connections;

    /** Failures in a row of each class, and until when that class goes elsewhere. */
    private final double[] badRun;

    private final long[] avoidUntilUs;
    private final EndpointClassStatistics[] cells;
    private long lastUseUs, lastSendUs, lastServedUs;

    private Node(final Endpoint entry, final Lane lane, final int classes) {
      this.badRun = new double[classes];
      this.avoidUntilUs = new long[classes];
      this.cells = new EndpointClassStatistics[classes];
      Arrays.setAll(cells, kind -> new EndpointClassStatistics());
      this.entry = entry;
      this.lane = lane;
    }
  }

  /** A call in flight, with one or more messages. */
  private static final class Call {
    private Node node;

    /** Messages sent with it, and those without an outcome yet. */
    private int size, messages;

    private long sentUs, expectedUs, idleUs;

    /**
     * It went over a connection that was kept, as far as is known here; and that alone made it
     * fail.
     */
    private boolean reused, stale;

    private boolean calledOff, probe, refused, stray;

    private long overdueUs() {
      return sentUs + Math.max(OVERDUE_LEAST_US, (long) (OVERDUE_TIMES * expectedUs));
    }
  }

  /** A message that is owed an answer, or still has an attempt out. */
  private static final class Job {
    private final Message message;
    private final MessageClass kind;
    private final long aimUs;
    private Destination destination;
    private KeyLine line;
    private Call call;
    private Node refusedBy;

    /** How urgently it may go, when last looked at. */
    private double urgency;

    private int attempts;
    private boolean overQuota, mayHaveRun, over;
    private long firstRunUs = NEVER;
    private String runZone = "";

    private Job(final Message message, final MessageClass kind) {
      this.message = message;
      this.kind = kind;
      this.aimUs = message.validUntilUs() - kind.deadlineUs() + kind.latencyObjectiveUs();
    }

    /**
     * Until when it may be sent: a key that may be in use ends a message like its own deadline
     * does.
     */
    private long keyEndUs() {
      final long windowUs = (long) ((1 - KEY_MARGIN) * kind.idempotencyWindowUs());
      return !mayHaveRun || kind.idempotence() != Idempotence.IDEMPOTENT_BY_KEY
          ? message.validUntilUs()
          : Math.min(message.validUntilUs(), firstRunUs + windowUs);
    }
  }

  /** The messages of one key, in the order taken. */
  private static final class KeyLine {
    private final List<Job> jobs = new ArrayList<>();
    private long restUntilUs;
  }
}

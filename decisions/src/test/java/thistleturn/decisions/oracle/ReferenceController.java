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
 * The decisions as of 2026-12-01, the reference that every later {@link
 * thistleturn.decisions.OverloadController} must match with less work. It differs from that state
 * only by intended changes: three that {@code docs/design/scale.md} names (class means are sampled
 * once a second for comparisons between messages; the message selected for a route keeps its own
 * urgency; rates are summed without corrections), and those that {@code docs/design/noise.md}
 * names, which apply if {@code classifiesRejections} is set. It stays frozen: an intended change of
 * decisions is also made here and named in the commit.
 */
final class ReferenceController implements DeliveryController {

  private static final long SECOND_US = 1_000_000;

  // Concurrency window (design documents; section V of the paper).
  /** Minimum window, calls: a route must always be able to gather observations. */
  private static final double WINDOW_FLOOR = 1;

  /**
   * Window of a new route, calls: one slow response must not block it. The larger value is for a
   * large fleet, where the first messages arrive in bursts.
   */
  private static final double WINDOW_START = 2;

  private static final double WINDOW_RARE = 4;

  /** Shares of the concurrency limit that one route may use, healthy and unhealthy, by design. */
  private static final double HEALTHY_SHARE = 0.75;

  private static final double UNHEALTHY_SHARE = 0.5;

  /** An input above this, nearer High than Medium, makes a route unhealthy for a step. */
  private static final double SLOW_INPUT = 0.75;

  /** Weight of the average in a step's mean latency, in samples: few responses are unreliable. */
  private static final double LATENCY_PRIOR = 2;

  /** Share of a window that must be used for it to grow: unused capacity is untested. */
  private static final double USED_SHARE = 0.5;

  // Service times.
  /** Least weight of a new sample or step in a slow average, which spans about ten of them. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Initial service time of a class as a share of its latency objective, which is assumed to be
   * achievable.
   */
  private static final double UNSEEN_SHARE = 0.25;

  /**
   * Least pace of a route relative to the class mean: a very quick response must not make the
   * expectation for the next one unrealistic.
   */
  private static final double PACE_LEAST = 0.1;

  /**
   * A call is overdue after this multiple of its expected time (by chance, one in 150 is), and
   * after at least this time, us.
   */
  private static final double OVERDUE_TIMES = 5;

  private static final long OVERDUE_LEAST_US = SECOND_US;

  /**
   * A call before a shutdown must have this multiple of its expected time left (by chance, one in
   * seven is cut off).
   */
  private static final double STOP_TIMES = 2;

  /**
   * A message that shares a call must have this multiple of its expected time left, plus this
   * delay, us.
   */
  private static final double SHARE_TIMES = 2;

  private static final long SHARED_CALL_DELAY_US = 150_000;

  /** A timeout as a multiple of the expected time, and its minimum, us: allows for a long tail. */
  private static final double TIMEOUT_TIMES = 8;

  private static final long TIMEOUT_LEAST_US = 2 * SECOND_US;

  /**
   * Factor by which the timeouts after a timeout are longer: the endpoint may have been slow rather
   * than unresponsive.
   */
  private static final double STRETCH = 3;

  // Rejections and outages.
  /** Least backoff of a route after a rejection, us: limits count calls over about a second. */
  private static final long PAUSE_US = SECOND_US / 2;

  /**
   * After rejections, the permitted rate is this multiple of the rate served plus this many calls a
   * second, to detect returning capacity.
   */
  private static final double SPACING = 1.2;

  private static final double SPACING_LEAST = 0.5;

  /** A Retry-After above this, us, means an outage: rate limits span a second or two. */
  private static final long LIMIT_WAIT_US = 5 * SECOND_US / 2;

  /**
   * Weights in the sequence of bad outcomes, where a failure weighs 1: overload rejects calls too,
   * and errors have various causes.
   */
  private static final double REFUSED_WEIGHT = 0.5;

  private static final double ERROR_WEIGHT = 0.4;

  /**
   * A sequence of this weight without success is an outage; so is this share of failures, a
   * majority with a margin for chance.
   */
  private static final double OUT_WEIGHT = 3;

  private static final double OUT_SHARE = 0.6;

  /** Weight of a call in that share, which spans about eight calls. */
  private static final double FAIL_WEIGHT = 0.12;

  /**
   * Messages a second: the assumed limit where none is reported; the least rate at which the time
   * for a queue is computed.
   */
  private static final double ASSUMED_LIMIT = 1;

  private static final double LEAST_RATE = 0.25;

  /** Load of each further message in a call on a cold destination, in calls. */
  private static final double FURTHER_WEIGHT = 0.2;

  /**
   * Time for which a failed endpoint is excluded, us; after that its consecutive failures count as
   * calls in flight.
   */
  private static final long EXCLUSION_US = SECOND_US;

  /** Random variation of intervals, as a share, so that couriers do not synchronize. */
  private static final double JITTER = 0.2;

  // Endpoint selection.
  /**
   * Costs of a handshake and of a call to another zone in the selection of an endpoint, in calls in
   * flight.
   */
  private static final double HANDSHAKE_LOAD = 0.8;

  private static final double CROSS_LOAD = 0.6;
  private static final double REFUSED_LOAD = 2;
  private static final double SINGLE_SHARE = 0.3;
  private static final double FEW_REFUSED = 0.05;
  private static final int LEAST_QUEUE = 3;
  private static final int LONG_QUEUE = 10;
  private static final double RATE_RECOVERY = 2;

  /**
   * Probability that a postponed message is still served, with a short queue; half with a long one.
   */
  private static final double SERVED_LATER = 0.9;

  /** Bounds of the horizon for the queue, us: from the next call to the decay of the value. */
  private static final long HORIZON_LEAST_US = SECOND_US;

  private static final long HORIZON_MOST_US = 10 * SECOND_US;

  /** Least age of a queue that yields a rate, us; older observations have half the weight. */
  private static final long BACKLOG_LEAST_US = SECOND_US / 2;

  private static final long BACKLOG_MEMORY_US = 4 * SECOND_US;

  /**
   * Share of the value of messages beyond a quota, of which a courier sees a part; messages in a
   * burst that may occur by chance.
   */
  private static final double OVER_QUOTA = 0.25;

  private static final double QUOTA_BURST = 10;

  /**
   * Share of the store that is kept free by shedding the messages of least value, because the
   * ingress rejects regardless of value.
   */
  private static final double STORE_RESERVE = 0.05;

  /**
   * A message ends this long before its deadline, us: two rounds. Share of a key's window that is
   * not used, for clock differences.
   */
  private static final long END_MARGIN_US = 12_000;

  private static final double KEY_MARGIN = 0.05;

  /** Growth a second of the trusted idle time of connections: it triples in a minute. */
  private static final double TRUST_GROWTH = 1.02;

  /** A connection idle for less, us, is lost for other reasons than its idleness. */
  private static final long TRUST_LEAST_US = SECOND_US;

  /**
   * Number of couriers up to which each calls all destinations often, and all may keep idle
   * connections.
   */
  private static final int FEW_COURIERS = 6;

  /** Time for which an idle connection is kept for its next use, in expected call times. */
  private static final double REUSE_CALLS = 2;

  /**
   * First and longest backoff before the next subscription to the endpoint list, us: soon, but
   * without overloading its source.
   */
  private static final long SUBSCRIBE_LEAST_US = SECOND_US / 2;

  private static final long SUBSCRIBE_MOST_US = 3 * SECOND_US;

  /** Interval of polls for a message that an endpoint or its key holds back, us. */
  private static final long POLL_US = 20_000;

  /** A destination or route without an endpoint is removed this long after its last use, us. */
  private static final long RETENTION_US = 60 * SECOND_US;

  private static final long NEVER = Long.MAX_VALUE;

  private final DeliverySettings settings;
  private final DeliveryActions actions;
  private final Random random;
  private final boolean classifiesRejections;
  private final Map<Long, Destination> destinations = new LinkedHashMap<>();

  /** Destinations with messages: the only ones that a decision considers. */
  private final Map<Long, Destination> busy = new TreeMap<>();

  private final Map<Long, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, KeyQueue> keys = new LinkedHashMap<>();
  private final double[] classMeanUs;
  private final double[] notedMeanUs;
  private Route bestRoute;
  private final int[] classSamples;
  private final long[] quotaUs;
  private final TreeSet<Long> scheduledRoundsUs = new TreeSet<>();
  private int callsInFlight, open;
  private double trustedIdleUs;
  private long nowUs, nextStepUs, stopUs = NEVER;
  private boolean subscribed;
  private long subscribeAgainUs = NEVER, subscribeBackoffUs = SUBSCRIBE_LEAST_US;

  /** Creates a controller without observations; {@code seed} is its only source of randomness. */
  ReferenceController(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    this(settings, seed, actions, true);
  }

  ReferenceController(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final boolean classifiesRejections) {
    this.classifiesRejections = classifiesRejections;
    this.settings = settings;
    this.actions = actions;
    this.random = new Random(seed);
    this.classMeanUs =
        settings.classes().stream()
            .mapToDouble(k -> UNSEEN_SHARE * k.latencyObjectiveUs())
            .toArray();
    this.notedMeanUs = classMeanUs.clone();
    this.classSamples = new int[classMeanUs.length];
    this.trustedIdleUs = settings.limits().idleTimeoutUs();
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
      job.keyQueue = keys.computeIfAbsent(message.key(), key -> new KeyQueue());
      job.keyQueue.jobs.add(job);
    }
  }

  @Override
  public void onMessageResumed(
      final long now, final Message message, final PriorAttempts priorAttempts) {
    onMessage(now, message);
    final Job job = jobs.get(message.id());
    job.attempts = priorAttempts.attempts();
    job.mayHaveExecuted = priorAttempts.mayHaveExecuted();
    if (job.mayHaveExecuted) {
      job.firstExecutionUs = priorAttempts.firstExecutionUs();
      job.executionZone = priorAttempts.executionZone();
      if (job.keyQueue != null) {
        job.keyQueue.settledFromUs = nowUs + settings.guarantees().settleDelayUs();
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
    throw new UnsupportedOperationException("the reference controller predates sharding");
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
      job.mayHaveExecuted = true;
      job.firstExecutionUs = Math.min(job.firstExecutionUs, call.sentUs);
      job.executionZone = node.entry.zone();
      if (job.keyQueue != null && !outcome.result().hasAnswer()) {
        job.keyQueue.settledFromUs = nowUs + settings.guarantees().settleDelayUs();
      }
    }
    if (--call.messages == 0) {
      callsInFlight--;
      node.inFlight--;
      node.route.calls.remove(call);
      node.lastUseUs = nowUs;
      shareConnections(node, call);
    }
    recordOutcome(node, call, job, outcome);
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
      destinations.values().forEach(d -> d.routes.forEach(this::step));
      for (int kind = 0; kind < notedMeanUs.length; kind++) {
        if (Math.abs(classMeanUs[kind] - notedMeanUs[kind]) > 0.25 * notedMeanUs[kind]) {
          notedMeanUs[kind] = classMeanUs[kind];
        }
      }
      trustedIdleUs =
          Math.min((double) settings.limits().idleTimeoutUs(), TRUST_GROWTH * trustedIdleUs);
      removeUnused();
      keys.values()
          .removeIf(keyQueue -> keyQueue.jobs.isEmpty() && keyQueue.settledFromUs <= nowUs);
      nextStepUs += SECOND_US * ((nowUs - nextStepUs) / SECOND_US + 1);
    }
    subscribeIfDue();
    checkHealthAndDeadlines();
    dispatch();
    reclaimSlot();
    shedLeastValuable();
    scheduleNextRound();
  }

  // ---------------------------------------------------------------- dispatch

  /** Sends messages, best first, until the concurrency limit is reached or none may be sent. */
  private void dispatch() {
    while (callsInFlight < settings.limits().concurrencyLimit()) {
      final Job best = best(true);
      if (best == null) {
        return;
      }
      send(best, bestRoute);
    }
  }

  /**
   * Returns the most urgent message that windows and waits allow to send (with or without trials),
   * or null.
   */
  private Job best(final boolean trials) {
    Job best = null;
    double bestUrgency = 0;
    for (final Destination destination : busy.values()) {
      for (final Route route : destination.routes) {
        final boolean open = openAtUs(route) <= nowUs && (trials || route.phase == Phase.WELL);
        final Job job = open ? pick(destination, route, null) : null;
        if (job != null && (best == null || job.urgency > bestUrgency)) {
          best = job;
          bestUrgency = job.urgency;
          bestRoute = route;
        }
      }
    }
    return best;
  }

  /** Returns when the waits of a route permit a call; never while its window is full. */
  private long openAtUs(final Route route) {
    final long overtakenCalls =
        classifiesRejections
            ? route.calls.stream()
                .filter(call -> nowUs >= call.overdueUs() && call.node.lastServedUs >= call.sentUs)
                .count()
            : 0;
    if (route.calls.size() - overtakenCalls >= cap(route) || route.calls.size() >= most(route)) {
      return NEVER;
    }
    final boolean exact =
        settings.weightMeaning() == WeightMeaning.NOMINAL && route.reportedLimit > 0;
    final double rate = exact ? Math.min(route.reportedLimit, route.spacing) : route.spacing;
    final long guardUs =
        switch (route.phase) {
          case WELL -> route.lastSendUs + (long) (SECOND_US / rate);
          case OUT -> route.calls.isEmpty() ? route.nextTrialUs : NEVER;
          case RAMP ->
              route.lastSendUs
                  + (long)
                      (route.rampSpanUs
                          * route.lastWeight
                          / tippingShare(nowUs - route.rampFromUs));
        };
    final long pausedUntilUs =
        route.mayProbe && destinations.get(route.destination).waiting.size() >= LEAST_QUEUE
            ? Math.min(route.pauseUntilUs, route.classifier.nextProbeUs())
            : route.pauseUntilUs;
    return Math.max(guardUs, Math.max(route.waitUntilUs, pausedUntilUs));
  }

  /** Calls that a route may have in flight now: its window, within its share of the limit. */
  private int cap(final Route route) {
    return (int) Math.max(1, Math.min(Math.floor(route.window), most(route)));
  }

  private int most(final Route route) {
    final double share = route.phase == Phase.WELL && !route.slow ? HEALTHY_SHARE : UNHEALTHY_SHARE;
    return (int) Math.max(1, Math.floor(share * settings.limits().concurrencyLimit()));
  }

  /**
   * Returns the most urgent message for a route (for a node, if given); trials prefer messages for
   * which a failure costs least.
   */
  private Job pick(final Destination destination, final Route route, final Node node) {
    Job best = null;
    int bestRisk = 0;
    double bestUrgency = 0;
    final long queueUs = destination.queueUs();
    for (final Job job : destination.waiting) {
      if (!mayGo(route, node, job)) {
        continue;
      }
      final double urgency = urgency(route, job, queueUs);
      final int risk =
          route.phase != Phase.OUT || job.mayHaveExecuted
              ? 0
              : 1 + job.kind.idempotence().ordinal();
      if (best == null || risk < bestRisk || (risk == bestRisk && urgency > bestUrgency)) {
        best = job;
        bestRisk = risk;
        bestUrgency = urgency;
        // With the store over half full some messages will expire: prefer those that take least
        // time.
        job.urgency =
            urgency / (2 * open > settings.limits().maxPendingMessages() ? notedUs(route, job) : 1);
      }
    }
    if (best == null) {
      return null;
    }
    final Job first = firstToExpire(destination, route, node, best);
    first.urgency = best.urgency;
    return first;
  }

  /**
   * If the most urgent message is late and the queue is served within half of its remaining time,
   * returns the message of equal value that expires first and may share a call.
   */
  private Job firstToExpire(
      final Destination destination, final Route route, final Node node, final Job urgent) {
    final boolean late = urgent.objectiveUs <= nowUs + (long) notedUs(route, urgent);
    final double drainUs =
        destination.backlog.drainUs(destination.waiting.size(), notedUs(route, urgent));
    if (!late || route.phase != Phase.WELL || 2 * drainUs > urgent.keyEndUs() - nowUs) {
      return urgent;
    }
    Job first = urgent;
    for (final Job job : destination.waiting) {
      if (hasEqualValue(job, urgent)
          && job.keyEndUs() == job.message.validUntilUs()
          && mayGo(route, node, job)
          && job.message.validUntilUs()
              >= nowUs + (long) (SHARED_CALL_DELAY_US + SHARE_TIMES * expectedUs(route, job))
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

  private static boolean hasEqualValue(final Job job, final Job other) {
    return job.overQuota == other.overQuota
        && job.kind.priorityWeight() == other.kind.priorityWeight()
        && job.kind.lateWeight() == other.kind.lateWeight()
        && job.kind.latencyObjectiveUs() == other.kind.latencyObjectiveUs()
        && job.kind.deadlineUs() == other.kind.deadlineUs();
  }

  private boolean mayGo(final Route route, final Node node, final Job job) {
    return isFirstOfKey(job)
        && endsInTime(route, job)
        && (node != null || choose(route, job, null) != null)
        && (node == null
            || (zoneAllows(job, node) && job.kind.idempotence() != Idempotence.NON_IDEMPOTENT));
  }

  /** Returns the value that a message loses by waiting for its destination's queue. */
  private double urgency(final Route route, final Job job, final long queueUs) {
    final long horizonUs = (long) clamp((double) queueUs, HORIZON_LEAST_US, HORIZON_MOST_US);
    final long doneUs = nowUs + (long) notedUs(route, job);
    final double servedLater = SERVED_LATER / (1 + (double) horizonUs / HORIZON_MOST_US);
    return value(job, doneUs) - servedLater * value(job, doneUs + horizonUs);
  }

  /**
   * Returns the value of a message delivered at a given time; the end of a key's window ends it
   * like the deadline.
   */
  private double value(final Job job, final long atUs) {
    final MessageClass kind = job.kind;
    if (atUs >= job.keyEndUs()) {
      return 0;
    }
    final double full = kind.priorityWeight() * (job.overQuota ? OVER_QUOTA : 1);
    final long lateUs = Math.max(0, atUs - job.objectiveUs);
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

  /** Returns the best endpoint of a route for a message now, or null. */
  private Node choose(final Route route, final Job job, final Node refusedBy) {
    Node best = null;
    double bestLoad = 0;
    final int kind = job.message.classIndex();
    for (final Node node : route.nodes) {
      if (node.state != EndpointState.LISTED
          || !zoneAllows(job, node)
          || (route.phase == Phase.WELL && nowUs < node.avoidUntilUs[kind])) {
        continue;
      }
      final boolean handshake =
          node.inFlight >= node.connections * settings.limits().streamsPerConnection()
              || (node.inFlight == 0
                  && nowUs - node.lastUseUs >= settings.limits().idleTimeoutUs());
      final boolean cross = !node.entry.zone().equals(settings.zone());
      final double load =
          route.phase == Phase.OUT
              ? node.lastSendUs
              : node.inFlight
                  + node.badRun[kind]
                  + (handshake ? HANDSHAKE_LOAD : 0)
                  + (cross ? CROSS_LOAD : 0)
                  + (node == refusedBy ? REFUSED_LOAD : 0)
                  + (classifiesRejections ? node.statistics[kind].consecutiveRejections() : 0);
      if (best == null || load < bestLoad) {
        best = node;
        bestLoad = load;
      }
    }
    return best;
  }

  /** Returns false if this endpoint would not recognize the repeat of an executed attempt. */
  private static boolean zoneAllows(final Job job, final Node node) {
    return !job.mayHaveExecuted
        || !job.kind.keyScopedToZone()
        || node.entry.zone().equals(job.executionZone);
  }

  /**
   * Ordering rule: the first message of its key may be sent, and only after the settle delay of an
   * unanswered attempt.
   */
  private boolean isFirstOfKey(final Job job) {
    return job.keyQueue == null
        || (job.keyQueue.jobs.get(0) == job
            && (job.mayHaveExecuted || job.keyQueue.settledFromUs <= nowUs));
  }

  /**
   * Returns false for a call that the shutdown of this process would likely cut off: the next
   * process may send it.
   */
  private boolean endsInTime(final Route route, final Job job) {
    return stopUs == NEVER
        || nowUs
                + (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT
                        ? OVERDUE_TIMES
                        : STOP_TIMES)
                    * notedUs(route, job)
            < stopUs;
  }

  /** Sends a message and, where calls carry several, other waiting messages with it. */
  private void send(final Job first, final Route route) {
    final Node node = choose(route, first, first.refusedBy);
    final Call call = new Call();
    call.node = node;
    call.sentUs = nowUs;
    call.probe = route.pauseUntilUs > nowUs;
    route.mayProbe &= !call.probe;
    callsInFlight++;
    route.calls.add(call);
    route.peak = Math.max(route.peak, route.calls.size());
    if (node.inFlight++ == 0) {
      checkIdle(call, node, first);
    }
    final int streams = settings.limits().streamsPerConnection();
    call.reused = node.connections * streams >= node.inFlight;
    node.connections = Math.max(node.connections, (node.inFlight + streams - 1) / streams);
    node.lastSendUs = route.lastSendUs = nowUs;
    if (route.phase == Phase.OUT) {
      route.nextTrialUs = trialUs(route);
    }
    Job job = first;
    final boolean alone =
        route.phase == Phase.OUT
            || first.kind.idempotence() == Idempotence.NON_IDEMPOTENT
            || endsSoon(route, first);
    while (job != null) {
      call.messages++;
      call.expectedUs = Math.max(call.expectedUs, (long) expectedUs(route, job));
      job.call = call;
      job.attempts++;
      job.destination.waiting.remove(job);
      job.destination.backlog.endIfEmpty(job.destination);
      actions.send(job.message.id(), node.entry.id(), timeoutUs(route, node, job));
      final boolean full = alone || call.messages >= route.kind.messagesPerCall();
      job = full ? null : pick(job.destination, route, node);
      job = job == null || endsSoon(route, job) ? null : job;
    }
    call.size = call.messages;
    route.lastWeight = 1 + FURTHER_WEIGHT * (call.size - 1);
  }

  /**
   * Avoids idle connections that may be closed without notice: after a call on one fails without
   * other faults, connections that were idle for half that time (a quarter, for non-idempotent
   * messages) are not used for a while. This costs handshakes.
   */
  private void checkIdle(final Call call, final Node node, final Job job) {
    final long idleUs = nowUs - node.lastUseUs;
    if (node.connections > 0
        && idleUs
            >= trustedIdleUs / (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT ? 2 : 1)) {
      node.connections = 0;
      actions.closeIdleConnections(node.entry.id());
    } else if (node.connections > 0) {
      call.idleUs = idleUs;
    }
  }

  /**
   * In a large fleet, closes an idle connection unless its next use is near, because it occupies a
   * connection that another courier may need. Prevents refused connections at healthy endpoints;
   * costs a handshake for each call.
   */
  private void shareConnections(final Node node, final Call call) {
    final double usesInReach = node.route.callRate * REUSE_CALLS * call.expectedUs / SECOND_US;
    if (settings.courierCount() > FEW_COURIERS && usesInReach < node.route.nodes.size()) {
      node.connections = 0;
      actions.closeIdleConnections(node.entry.id());
    }
  }

  // ---------------------------------------------------------------- fuzzy window control

  /** Adjusts the window of a route by Table I. */
  private void step(final Route route) {
    final double bad = route.bad + overdue(route);
    final double read = route.served + route.errors + bad;
    if (route.phase == Phase.WELL) {
      final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++route.steps);
      route.rate += weight * (route.delivered - route.rate);
      route.callRate += weight * (route.served - route.callRate);
    }
    if (read > 0) {
      double latency = 0;
      if (route.delivered > 0) {
        final double mean = route.ratioSum / route.delivered;
        final double trust = route.delivered / (route.delivered + LATENCY_PRIOR);
        latency = clamp(trust * (mean / route.slowRatio - 1), 0, 1);
        route.slowRatio += SAMPLE_WEIGHT * trust * (mean - route.slowRatio);
      }
      double refusal = bad / read;
      if (route.allowance != null && route.allowance.callsPerSecond() > 0) {
        refusal = Math.max(refusal, 1 - route.allowance.remainingShare());
      }
      final double change =
          Math.max(bad == 0 ? 0 : -1, windowChange(latency, clamp(refusal, 0, 1)));
      if (change < 0 || route.peak >= USED_SHARE * Math.floor(route.window)) {
        route.window =
            clamp(
                route.window * (1 + change),
                WINDOW_FLOOR,
                Math.max(1, Math.floor(HEALTHY_SHARE * settings.limits().concurrencyLimit())));
      }
      route.slow = latency > SLOW_INPUT || refusal > SLOW_INPUT;
    }
    final double refusing = SPACING_LEAST + SPACING * Math.max(route.served, route.callRate);
    final boolean limitsRate =
        route.refused > (classifiesRejections ? FEW_REFUSED * read : 0)
            && route.classifier.cause(nowUs) != RejectionClassifier.Cause.NOISE;
    final boolean raisesRate =
        classifiesRejections
            && route.refused == 0
            && nowUs >= route.freeFromUs
            && destinations.get(route.destination).waiting.size() >= LONG_QUEUE;
    route.spacing = limitsRate ? refusing : (raisesRate ? RATE_RECOVERY : SPACING) * route.spacing;
    route.peak = route.calls.size();
    route.ratioSum = route.refused = route.delivered = 0;
    route.served = route.bad = route.errors = 0;
    route.allowance = null;
  }

  /**
   * Table I: rows by latency, columns by rejections, each Low, Medium, High; indexes of the
   * outputs.
   */
  private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

  private static final int[][] TABLE_ONE = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

  /**
   * The Mamdani controller of the paper: triangular membership functions, minimum for AND, maximum
   * over the rules of an output, and the weighted average of the outputs' centres.
   */
  static double windowChange(final double latency, final double refusal) {
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

  // ---------------------------------------------------------------- health and recovery

  /**
   * Records one outcome: service times, the inputs of the step, waits, health of endpoint and
   * route. Counts of calls get a message's part of its call: five messages rejected together are
   * one rejection.
   */
  private void recordOutcome(
      final Node node, final Call call, final Job job, final AttemptOutcome outcome) {
    final Route route = node.route;
    if (outcome.loadReport() != null) {
      route.allowance = outcome.loadReport();
      route.reportedLimit = route.allowance.callsPerSecond();
    }
    final int kind = job.message.classIndex();
    final double part = 1.0 / call.size;
    final boolean first = route.failingSinceUs == NEVER;
    route.failingSinceUs = Math.min(route.failingSinceUs, nowUs);
    // Any response may contain a wait, also one that delivers some messages of a call.
    route.waitUntilUs = Math.max(route.waitUntilUs, nowUs + outcome.retryAfterUs());
    switch (outcome.result()) {
      case DELIVERED -> {
        final double ratio = learn(route, job, outcome.durationUs());
        route.delivered++;
        route.served += part;
        destinations.get(route.destination).backlog.served();
        node.lastServedUs = nowUs;
        node.badRun[kind] = 0;
        node.avoidUntilUs[kind] = 0;
        node.statistics[kind].recordServed(outcome.durationUs());
        if (classifiesRejections) {
          recordServedCall(route, call, part, ratio);
        }
        route.badRun = 0;
        route.stretch = Math.max(1, route.stretch - STRETCH * SAMPLE_WEIGHT);
        route.failShare -= part * FAIL_WEIGHT * route.failShare;
        if (route.phase == Phase.OUT) {
          route.phase = Phase.RAMP;
          route.rampFromUs = nowUs;
          route.rampSpanUs = backoffUs(route, nowUs);
          route.failShare = 0;
        }
        route.failingSinceUs = NEVER;
      }
      case REFUSED -> {
        if (classifiesRejections
            && outcome.retryAfterUs() == 0
            && isIsolatedRejection(route, node, job, call)) {
          route.failingSinceUs = first ? NEVER : route.failingSinceUs;
          return;
        }
        route.bad += part;
        route.refused++;
        final long fromUs = Math.max(nowUs, route.waitUntilUs);
        final long gapUs = backoffUs(route, fromUs);
        final boolean hasRetryAfter = outcome.retryAfterUs() > 0;
        route.pauseUntilUs =
            fromUs + (hasRetryAfter ? (long) (random.nextDouble() * gapUs) : jitter(gapUs));
        final boolean same = classifiesRejections && call.sentUs < route.refusedUs;
        route.refusedUs = same ? route.refusedUs : nowUs;
        addBadOutcome(
            route,
            outcome.retryAfterUs() > LIMIT_WAIT_US ? OUT_WEIGHT : same ? 0 : part * REFUSED_WEIGHT);
      }
      case ERROR -> {
        route.errors += part;
        route.failShare += part * FAIL_WEIGHT * (1 - route.failShare);
        addBadOutcome(route, part * ERROR_WEIGHT);
      }
      case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED, STALE -> {
        final boolean isStale = outcome.result() == AttemptResult.STALE;
        call.stale |=
            isStale
                || (outcome.result() == AttemptResult.RESET
                    && call.reused
                    && node.badRun[kind] == 0);
        if (call.stale) {
          // An idle connection was closed: no sign of a fault of its endpoint, but of its other
          // idle ones.
          route.failingSinceUs = first ? NEVER : route.failingSinceUs;
          node.badRun[kind] += isStale ? 0 : part;
          node.connections = 0;
          actions.closeIdleConnections(node.entry.id());
          return;
        }
        final boolean among =
            node.lastServedUs >= call.sentUs
                || (outcome.result() != AttemptResult.TIMED_OUT
                    && route.badRun == 0
                    && node.lastServedUs > 0);
        if (classifiesRejections
            && among
            && route.phase == Phase.WELL
            && node.badRun[kind] == 0
            && route.failShare < SINGLE_SHARE) {
          route.failingSinceUs = first ? NEVER : route.failingSinceUs;
          node.badRun[kind] += part;
          node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
          route.failShare += part * FAIL_WEIGHT * (1 - route.failShare);
          addBadOutcome(route, part);
          return;
        }
        route.bad += part;
        if (outcome.result() == AttemptResult.TIMED_OUT
            || outcome.result() == AttemptResult.CANCELLED) {
          route.stretch = STRETCH;
        }
        if (first
            && call.idleUs >= TRUST_LEAST_US
            && !call.cancelled
            && outcome.result() != AttemptResult.NO_CONNECTION) {
          final long halfUs = call.idleUs / 2;
          trustedIdleUs = Math.max(TRUST_LEAST_US, Math.min(trustedIdleUs, (double) halfUs));
        }
        node.badRun[kind] += part;
        if (node.lastServedUs < call.sentUs) {
          Arrays.fill(node.avoidUntilUs, nowUs + jitter(EXCLUSION_US));
        }
        node.avoidUntilUs[kind] = nowUs + jitter(EXCLUSION_US);
        node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
        if (outcome.result() != AttemptResult.NO_CONNECTION || node.lastServedUs <= call.sentUs) {
          route.failShare += part * FAIL_WEIGHT * (1 - route.failShare);
          if (route.failShare > SINGLE_SHARE) {
            route.growth.stop();
          }
          addBadOutcome(route, part);
        }
      }
      case NOT_SENT -> route.failingSinceUs = first ? NEVER : route.failingSinceUs;
    }
  }

  private void recordServedCall(
      final Route route, final Call call, final double part, final double ratio) {
    if (route.growth.recordServed(ratio)
        && route.phase == Phase.WELL
        && !destinations.get(route.destination).waiting.isEmpty()
        && route.calls.size() + 1 >= Math.floor(route.window)) {
      route.window =
          Math.min(
              route.window + part,
              Math.max(1, Math.floor(HEALTHY_SHARE * settings.limits().concurrencyLimit())));
    }
    if (call.messages > 0) {
      return;
    }
    route.servedCalls++;
    route.firstCalls += route.steps == 0 && route.phase == Phase.WELL ? 1 : 0;
    route.classifier.recordServed(call.sentUs, nowUs);
    route.budget.recordServed();
    if (call.probe) {
      route.classifier.recordProbe(true, nowUs);
      route.pauseUntilUs = nowUs;
    }
    if (route.classifier.hasJustSettledOnNoise()) {
      route.windowBefore = route.window;
      route.spacingBefore = route.spacing;
      route.pauseUntilUs = nowUs;
      route.spacing = nowUs < route.freeFromUs ? route.spacing : Double.POSITIVE_INFINITY;
      route.growth.restart();
    }
  }

  private boolean isIsolatedRejection(
      final Route route, final Node node, final Job job, final Call call) {
    job.refusedBy = node;
    if (!call.refused && route.phase == Phase.WELL) {
      call.refused = true;
      call.isolated = classifyRejection(route, node, job.message.classIndex(), call);
    }
    return call.isolated;
  }

  private boolean classifyRejection(
      final Route route, final Node node, final int kind, final Call call) {
    final long restUs =
        node.statistics[kind].recordRejected(route.servedCalls, ++route.refusedCalls);
    if (restUs > 0) {
      node.avoidUntilUs[kind] = nowUs + jitter(restUs);
      return true;
    }
    route.classifier.recordRejected(call.sentUs, nowUs);
    if (route.classifier.cause(nowUs) == RejectionClassifier.Cause.NOISE) {
      if (route.budget.tryAcquire()) {
        return true;
      }
      route.classifier.onRetryBudgetExhausted(nowUs);
      route.window = Math.min(route.window, route.windowBefore);
      route.spacing = Math.min(route.spacing, route.spacingBefore);
    }
    if (route.growth.recordRejected()) {
      route.window = Math.max(Math.min(route.window, WINDOW_START), route.window / 2);
    }
    if (call.probe) {
      route.classifier.recordProbe(false, nowUs);
    }
    route.mayProbe = true;
    return false;
  }

  /**
   * Adds to the sequence of bad outcomes of a route; a long one, or a high share of failures, is an
   * outage.
   */
  private void addBadOutcome(final Route route, final double weight) {
    route.badRun += weight;
    final boolean out = route.badRun + overdue(route) >= OUT_WEIGHT || route.failShare > OUT_SHARE;
    if (out && route.phase != Phase.OUT) {
      route.phase = Phase.OUT;
      route.window = WINDOW_FLOOR;
      route.failingSinceUs = Math.min(route.failingSinceUs, nowUs);
      route.nextTrialUs = trialUs(route);
    }
  }

  /** Counts overdue calls whose endpoint has served none since: it is unresponsive. */
  private int overdue(final Route route) {
    int count = 0;
    for (final Call call : route.calls) {
      if (nowUs >= call.overdueUs() && call.node.lastServedUs < call.sentUs) {
        Arrays.fill(call.node.avoidUntilUs, nowUs + EXCLUSION_US);
        count++;
      }
    }
    return count;
  }

  /**
   * Frees capacity from unresponsive endpoints: at the concurrency limit, while a message could be
   * sent elsewhere, the call that is overdue longest is cancelled. Covers hung, stalled and very
   * slow endpoints, at the cost of calls that would still have been answered.
   */
  private void reclaimSlot() {
    if (callsInFlight < settings.limits().concurrencyLimit()
        || !settings.limits().cancellationAllowed()) {
      return;
    }
    final Job worst =
        jobs.values().stream()
            .filter(job -> job.call != null && !job.call.cancelled && nowUs >= job.call.overdueUs())
            .min(Comparator.comparingLong(job -> job.call.sentUs))
            .orElse(null);
    if (worst != null && best(false) != null) {
      worst.call.cancelled = true;
      jobs.values().stream()
          .filter(job -> job.call == worst.call)
          .forEach(job -> actions.cancel(job.message.id(), job.attempts - 1));
    }
  }

  /**
   * Returns the backoff of a failing route: the duration of the fault so far, but at most the
   * interval between its messages (or between calls at this courier's even part of the limit). So
   * all couriers, however many, call no more often than messages arrive; the cost is a message
   * whose wait outlasts the fault.
   */
  private long backoffUs(final Route route, final long atUs) {
    return (long)
        Math.min((double) Math.max(PAUSE_US, atUs - route.failingSinceUs), callIntervalUs(route));
  }

  /** Interval between this courier's calls to a route, or of calls at its part of the limit. */
  private double callIntervalUs(final Route route) {
    final double limit = route.reportedLimit > 0 ? route.reportedLimit : ASSUMED_LIMIT;
    return SECOND_US / Math.max(route.callRate, limit / settings.courierCount());
  }

  /**
   * Returns the time of the next trial of a route in an outage. The probability at any moment is
   * the share that overloads a cold destination, divided by the age of the outage. So the trials of
   * all couriers, however many, stay near that share of the messages.
   */
  private long trialUs(final Route route) {
    final long fromUs = Math.max(nowUs, route.waitUntilUs);
    final double ageUs = Math.max(PAUSE_US, fromUs - route.failingSinceUs);
    final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / tippingShare(0)) - 1);
    return fromUs
        + (long)
            Math.min(
                gapUs,
                (double)
                    jitter(
                        (long)
                            Math.max(
                                classifiesRejections ? SECOND_US / 10.0 : 0,
                                callIntervalUs(route) / tippingShare(0))));
  }

  /** Load that overloads a destination warmed up for that time, as a share of full capacity. */
  private double tippingShare(final long warmingUs) {
    final double coldFrom = settings.guarantees().coldCapacityShare();
    final double warm = (double) warmingUs / Math.max(1, settings.guarantees().warmUpUs());
    return settings.guarantees().overloadMultiple()
        * (coldFrom + (1 - coldFrom) * clamp(warm, 0, 1));
  }

  private double learn(final Route route, final Job job, final long durationUs) {
    final int kind = job.message.classIndex();
    final double ratio = durationUs / Math.max(1, classMeanUs[kind]);
    route.ratioSum += ratio;
    final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++classSamples[kind]);
    classMeanUs[kind] +=
        weight * (durationUs / Math.max(PACE_LEAST, route.pace) - classMeanUs[kind]);
    route.pace += Math.max(SAMPLE_WEIGHT, 1.0 / (1 + ++route.paceSamples)) * (ratio - route.pace);
    return ratio;
  }

  private double notedUs(final Route route, final Job job) {
    return notedMeanUs[job.message.classIndex()] * Math.max(PACE_LEAST, route.pace);
  }

  private double expectedUs(final Route route, final Job job) {
    return classMeanUs[job.message.classIndex()] * Math.max(PACE_LEAST, route.pace);
  }

  /** Returns true if its deadline would likely cut off a call that it shares with others. */
  private boolean endsSoon(final Route route, final Job job) {
    return job.message.validUntilUs() - nowUs
        < SHARED_CALL_DELAY_US + SHARE_TIMES * expectedUs(route, job);
  }

  private long jitter(final long us) {
    return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }

  private static double clamp(final double value, final double least, final double most) {
    return Math.max(least, Math.min(most, value));
  }

  // ---------------------------------------------------------------- deadlines and retries

  /** Returns the timeout of an attempt. */
  private long timeoutUs(final Route route, final Node node, final Job job) {
    final double expectedUs = expectedUs(route, job);
    final long leftUs = job.message.validUntilUs() - nowUs;
    long timeoutUs = (long) Math.max(TIMEOUT_LEAST_US, TIMEOUT_TIMES * route.stretch * expectedUs);
    if (job.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
      return leftUs;
    }
    timeoutUs =
        classifiesRejections
            ? node.statistics[job.message.classIndex()].timeoutUs(timeoutUs, route.stretch)
            : timeoutUs;
    if (job.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !job.mayHaveExecuted) {
      final long againUs =
          (long) ((1 - KEY_MARGIN) * job.kind.idempotencyWindowUs()) - OVERDUE_LEAST_US / 2;
      timeoutUs = Math.min(timeoutUs, Math.max(OVERDUE_LEAST_US, againUs));
    }
    return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
  }

  /**
   * Detects unresponsive endpoints and completed ramps; ends messages that must not be sent again
   * or have no time left.
   */
  private void checkHealthAndDeadlines() {
    for (final Destination destination : List.copyOf(busy.values())) {
      for (final Route route : destination.routes) {
        addBadOutcome(route, 0);
        if (route.phase == Phase.RAMP
            && nowUs - route.rampFromUs > settings.guarantees().warmUpUs()) {
          route.phase = Phase.WELL;
          if (classifiesRejections) {
            route.freeFromUs = nowUs + settings.guarantees().warmUpUs();
            route.classifier.reset();
            route.spacing =
                SPACING
                    * Math.max(
                        Math.max(1, route.served),
                        Math.max(route.callRate, route.steps == 0 ? route.firstCalls : 0));
            route.growth.restart();
          }
        }
      }
      for (final Job job : List.copyOf(destination.waiting)) {
        if (nowUs >= endUs(job) || !maySend(job)) {
          // Clients are to retry once the present queue is served, and no sooner.
          finish(job, Math.max(PAUSE_US, destination.queueUs()));
        }
      }
    }
  }

  /** Returns when a waiting message is ended: at its deadline or the end of its key's window. */
  private long endUs(final Job job) {
    return Math.min(job.message.validUntilUs() - END_MARGIN_US, job.keyEndUs());
  }

  /** Rule on repeated effects, and the maximum of attempts. */
  private boolean maySend(final Job job) {
    final Idempotence effect = job.kind.idempotence();
    return job.attempts < settings.limits().maxAttempts()
        && (!job.mayHaveExecuted
            || effect == Idempotence.IDEMPOTENT
            || (effect == Idempotence.IDEMPOTENT_BY_KEY && nowUs < job.keyEndUs()));
  }

  private static boolean mayRefuse(final Job job) {
    return !job.mayHaveExecuted
        || job.kind.idempotence() == Idempotence.IDEMPOTENT
        || (job.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !job.kind.keyScopedToZone());
  }

  /** Ends a message: shed where that is safe, otherwise failed. */
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
      if (job.keyQueue != null) {
        job.keyQueue.jobs.remove(job);
      }
      jobs.remove(job.message.id());
      if (--job.destination.jobs == 0) {
        busy.remove(job.message.destinationId());
      }
    }
  }

  /**
   * Sheds the messages of least value before the store is full, so that the ingress rejects none.
   */
  private void shedLeastValuable() {
    final int reserve = (int) Math.max(1, STORE_RESERVE * settings.limits().maxPendingMessages());
    while (open > settings.limits().maxPendingMessages() - reserve) {
      final Job least =
          busy.values().stream()
              .flatMap(destination -> destination.waiting.stream())
              .filter(ReferenceController::mayRefuse)
              .min(
                  Comparator.comparingDouble(
                      job ->
                          value(
                              job,
                              Math.min(nowUs + job.destination.queueUs(), job.keyEndUs() - 1))))
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
   * Schedules the next decision round for when something can change by time alone: a wait, a
   * deadline, an overdue call, a step.
   */
  private void scheduleNextRound() {
    long next = Math.min(nextStepUs, subscribeAgainUs);
    for (final Destination destination : busy.values()) {
      for (final Route route : destination.routes) {
        for (final Call call : route.calls) {
          next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
        }
        if (!destination.waiting.isEmpty()) {
          next = Math.min(next, Math.max(openAtUs(route), nowUs + POLL_US));
        }
      }
      for (final Job job : destination.waiting) {
        next = Math.min(next, endUs(job));
      }
    }
    scheduledRoundsUs.headSet(nowUs + 1).clear();
    if (scheduledRoundsUs.isEmpty() || scheduledRoundsUs.first() > next) {
      scheduledRoundsUs.add(Math.max(nowUs + 1, next));
      actions.scheduleDecision(scheduledRoundsUs.first() - nowUs);
    }
  }

  // ---------------------------------------------------------------- membership

  @Override
  public void onEndpointList(
      final long now, final EndpointUpdate update, final List<Endpoint> entries) {
    nowUs = now;
    if (update == EndpointUpdate.UNAVAILABLE) {
      subscribed = false;
      subscribeAgainUs = nowUs + jitter(subscribeBackoffUs);
      subscribeBackoffUs = Math.min(2 * subscribeBackoffUs, SUBSCRIBE_MOST_US);
      return;
    }
    if (update != EndpointUpdate.SUPPLEMENT) {
      subscribeAgainUs = NEVER;
      subscribeBackoffUs = SUBSCRIBE_LEAST_US;
    }
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      nodes.values().forEach(node -> node.state = EndpointState.GONE);
    }
    for (final Endpoint entry : entries) {
      Node node = nodes.get(entry.id());
      if (node == null) {
        node = new Node(entry, route(entry), classMeanUs.length);
        node.route.nodes.add(node);
        // An outage of the earlier endpoints does not concern a new one: it may be tried at once.
        node.route.nextTrialUs = Math.min(node.route.nextTrialUs, nowUs);
        nodes.put(entry.id(), node);
      }
      node.state = entry.state();
      node.route.reportedLimit =
          settings.weightMeaning() == WeightMeaning.NONE
              ? node.route.reportedLimit
              : entry.weight();
    }
    // A separate route is kept for a while: if it is listed again, its wait and outage still
    // apply.
    nodes
        .values()
        .removeIf(
            node ->
                node.state == EndpointState.GONE
                    && node.inFlight == 0
                    && !node.route.kind.separateRoutes()
                    && node.route.nodes.remove(node));
  }

  /** Removes endpoints and destinations that have not been used for long. */
  private void removeUnused() {
    final long beforeUs = nowUs - RETENTION_US;
    nodes
        .values()
        .removeIf(
            node ->
                node.state == EndpointState.GONE
                    && node.inFlight == 0
                    && node.route.lastSendUs < beforeUs
                    && node.route.nodes.remove(node));
    destinations
        .values()
        .removeIf(
            destination -> {
              if (destination.jobs == 0) {
                destination.routes.removeIf(
                    route -> route.nodes.isEmpty() && route.lastSendUs < beforeUs);
              }
              return destination.jobs == 0 && destination.routes.isEmpty();
            });
  }

  private Route route(final Endpoint entry) {
    final Destination destination = destination(entry.destinationId());
    final DestinationKind kind =
        entry.kindIndex() < 0
            ? new DestinationKind("", false, 1)
            : settings.kinds().get(entry.kindIndex());
    if (kind.separateRoutes() || destination.routes.isEmpty()) {
      final boolean few = settings.courierCount() <= FEW_COURIERS;
      destination.routes.add(
          new Route(kind, entry.destinationId(), few ? WINDOW_START : WINDOW_RARE));
    }
    return destination.routes.get(destination.routes.size() - 1);
  }

  /** Returns the number of known destinations. */
  int destinationsKnown() {
    return destinations.size();
  }

  private Destination destination(final long id) {
    return destinations.computeIfAbsent(id, unused -> new Destination());
  }

  /** Subscribes to the endpoint list, at the start and again after a loss. */
  private void subscribeIfDue() {
    if (settings.subscribesToEndpointList()
        && (subscribeAgainUs == NEVER ? !subscribed : nowUs >= subscribeAgainUs)) {
      subscribed = true;
      subscribeAgainUs =
          nowUs + Math.min(SUBSCRIBE_MOST_US, settings.guarantees().subscriptionDeadlineUs() / 2);
      actions.subscribeToEndpointList();
    }
  }

  // ---------------------------------------------------------------- state

  private enum Phase {
    WELL,
    OUT,
    RAMP
  }

  /** A destination: its waiting messages and its routes (one, unless they are separate). */
  private final class Destination {
    private final List<Job> waiting = new ArrayList<>();
    private final Backlog backlog = new Backlog();
    private final List<Route> routes = new ArrayList<>();

    /** Number of its messages, waiting or in flight. */
    private int jobs;

    private void enqueue(final Job job) {
      if (waiting.isEmpty()) {
        backlog.begin();
      }
      waiting.add(job);
    }

    /** Time to serve the queue at the recent rate, us. */
    private long queueUs() {
      double sum = 0;
      for (final Route route : routes) {
        sum += route.rate;
      }
      final double rate = Math.max(LEAST_RATE, sum);
      return (long) (waiting.size() / rate * SECOND_US);
    }
  }

  /** Messages served from a nonempty queue, and the time for the rest at that rate. */
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

  /** The unit of a concurrency window: a destination, or one of its separate routes. */
  private static final class Route {
    private final DestinationKind kind;
    private final long destination;
    private final RejectionClassifier classifier = new RejectionClassifier();
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

    /** Counts of this step. */
    private int peak, refused, delivered;

    /** Of these, in calls. */
    private double served, bad, errors;

    private double ratioSum;
    private LoadReport allowance;

    /** Inputs of the slow averages: steps and samples seen. */
    private int steps, paceSamples;

    /** Messages and calls served a second, latency, and pace relative to other routes. */
    private double rate, callRate, slowRatio = 1, pace = 1, stretch = 1;

    /** Load of the last call on a cold destination, in calls. */
    private double lastWeight = 1;

    /** The reported limit (0: none), and the rate permitted now, calls a second. */
    private double reportedLimit, spacing = Double.POSITIVE_INFINITY;

    private boolean slow;
    private Phase phase = Phase.WELL;
    private double badRun, failShare, rampSpanUs;

    /** Since when no call has been served after a fault; never while there is none. */
    private long failingSinceUs = NEVER;

    private long waitUntilUs, pauseUntilUs, nextTrialUs, rampFromUs, lastSendUs;

    private Route(final DestinationKind kind, final long destination, final double window) {
      this.kind = kind;
      this.destination = destination;
      this.window = window;
    }
  }

  /** An endpoint. */
  private static final class Node {
    private final Endpoint entry;
    private final Route route;
    private EndpointState state;
    private int inFlight, connections;

    /** Consecutive failures of each class, and until when the class avoids this endpoint. */
    private final double[] badRun;

    private final long[] avoidUntilUs;
    private final EndpointClassStatistics[] statistics;
    private long lastUseUs, lastSendUs, lastServedUs;

    private Node(final Endpoint entry, final Route route, final int classes) {
      this.badRun = new double[classes];
      this.avoidUntilUs = new long[classes];
      this.statistics = new EndpointClassStatistics[classes];
      Arrays.setAll(statistics, kind -> new EndpointClassStatistics());
      this.entry = entry;
      this.route = route;
    }
  }

  /** A call in flight, with one or more messages. */
  private static final class Call {
    private Node node;

    /** Number of its messages, and of those without an outcome yet. */
    private int size, messages;

    private long sentUs, expectedUs, idleUs;

    /** Whether it used an idle connection, as far as known, and failed because that was closed. */
    private boolean reused, stale;

    private boolean cancelled, probe, refused, isolated;

    private long overdueUs() {
      return sentUs + Math.max(OVERDUE_LEAST_US, (long) (OVERDUE_TIMES * expectedUs));
    }
  }

  /** A message without a final outcome, or with an attempt still in flight. */
  private static final class Job {
    private final Message message;
    private final MessageClass kind;
    private final long objectiveUs;
    private Destination destination;
    private KeyQueue keyQueue;
    private Call call;
    private Node refusedBy;

    /** Its urgency when it was last evaluated. */
    private double urgency;

    private int attempts;
    private boolean overQuota, mayHaveExecuted, over;
    private long firstExecutionUs = NEVER;
    private String executionZone = "";

    private Job(final Message message, final MessageClass kind) {
      this.message = message;
      this.kind = kind;
      this.objectiveUs = message.validUntilUs() - kind.deadlineUs() + kind.latencyObjectiveUs();
    }

    /**
     * Until when it may be sent: after a possible execution, the end of the key's window ends it
     * like its deadline.
     */
    private long keyEndUs() {
      final long windowUs = (long) ((1 - KEY_MARGIN) * kind.idempotencyWindowUs());
      return !mayHaveExecuted || kind.idempotence() != Idempotence.IDEMPOTENT_BY_KEY
          ? message.validUntilUs()
          : Math.min(message.validUntilUs(), firstExecutionUs + windowUs);
    }
  }

  /** The messages of one key, in the order of acceptance. */
  private static final class KeyQueue {
    private final List<Job> jobs = new ArrayList<>();
    private long settledFromUs;
  }
}

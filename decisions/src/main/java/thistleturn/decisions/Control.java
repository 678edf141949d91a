package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.index.TimeHeap;

/**
 * Every decision of one courier; its interface is {@code Courier.java}. A pass is read here from
 * top to bottom, and what it consists of stands in rooms of one concern each:
 *
 * <ol>
 *   <li>A message waits here until its destination lets it go; one attempt at a time, ended once
 *       and in time.
 *   <li>Each destination (each route, where routes are apart) is a {@link Lane}. Once a second the
 *       paper's Table I moves its {@link Window} on calls in flight from latency and refusals.
 *   <li>Of the messages that may go, the one that loses most by waiting goes first ({@link Picks}),
 *       to the endpoint with least of ours in flight, recent trouble, handshakes and zones to cross
 *       ({@link Choice}).
 *   <li>What keeps a lane from sending is its {@link Gate}: a told wait is heeded by the whole
 *       lane; after a refusal without one it pauses, unless that is read as noise ({@code
 *       decisions.noise}). What other subsystems say of it ({@link Directive}) binds here too.
 *   <li>A lane that returns nothing but trouble is OUT: single trials, as many as a cold one bears;
 *       after the first success it is on a RAMP, paced under the tipping rate until it is surely
 *       warm ({@link Judgement}).
 *   <li>Silence is counted before a time-out and may not eat the slots ({@link Silence}).
 *   <li>What can be in time no more, or gains least when the store is full, is refused where that
 *       is harmless.
 *   <li>The list is followed ({@link Listing}); nothing new goes to an endpoint that drains or is
 *       gone.
 * </ol>
 *
 * A pass costs what has changed since the last one, not what there is: time is kept in heaps,
 * messages that wait in ordered lines, lanes in a ranking; what an event changes about a
 * destination is told by {@link State#touch}. The rooms and their invariants: {@code
 * docs/design/decisions.md}, {@code scale.md}.
 */
public final class Control implements Courier {
  static final long SECOND_US = 1_000_000;
  static final long NEVER = Long.MAX_VALUE;

  /** What each further message in a call weighs on a cold destination, in calls. A default. */
  private static final double FURTHER_WEIGHT = 0.2;

  /**
   * Share of the store that is kept free by refusing what has least to gain: the door refuses
   * blindly.
   */
  private static final double STORE_RESERVE = 0.05;

  /**
   * A class's mean time, as the choice among messages reckons with it, is noted anew at such a
   * change.
   */
  private static final double NOTED_CHANGE = 0.25;

  /**
   * Time for a look at one lane whose urgency has changed by time alone, us: some percent of a
   * core.
   */
  private static final long LOOK_US = 20;

  private final State state;
  private final Window window;
  private final Gate gate;
  private final Choice choice;
  private final Attempts attempts;
  private final Picks picks;
  private final Idle idle;
  private final Silence silence;
  private final Judgement judgement;
  private final Turns turns;
  private final Listing listing;
  private final Quotas quotas;
  private final Map<String, Job> jobs = new HashMap<>();

  /** When messages that wait are ended. */
  private final TimeHeap<Deadline> ends = new TimeHeap<>();

  private final TreeSet<Long> wakes = new TreeSet<>();
  private Call adopted;
  private long nextStepUs;

  /** Messages taken; waits begun. */
  private long numbers, places;

  /**
   * A courier that knows nothing yet but its settings; {@code seed} is its only source of chance.
   */
  public Control(final Settings settings, final long seed, final Actions actions) {
    this(settings, seed, actions, LOOK_US, true, true, true);
  }

  /** One that takes refusals, failures and first seconds as they come: to compare with. */
  public static Courier withoutReading(
      final Settings settings, final long seed, final Actions actions) {
    return new Control(settings, seed, actions, LOOK_US, false, true, true);
  }

  /**
   * One that keeps to no even part, and keeps no connection for it is one of many: to compare with.
   */
  public static Courier withoutSharing(
      final Settings settings, final long seed, final Actions actions) {
    return new Control(settings, seed, actions, LOOK_US, true, false, true);
  }

  /** One that keeps to its even part in a vast fleet as in any other: to compare with. */
  public static Courier withStrictParts(
      final Settings settings, final long seed, final Actions actions) {
    return new Control(settings, seed, actions, LOOK_US, true, true, false);
  }

  /**
   * As told, with the time that is given to a look at what time alone has changed, us (0: all,
   * always), whether refusals and first seconds are read ({@code noise}), rates are shared, and
   * thin parts are deep.
   */
  Control(
      final Settings settings,
      final long seed,
      final Actions actions,
      final long lookUs,
      final boolean learns,
      final boolean shares,
      final boolean thin) {
    this.state = new State(settings, seed, actions, learns, shares, thin);
    this.window = new Window(state);
    this.gate = new Gate(state, window);
    this.choice = new Choice(state);
    this.attempts = new Attempts(state);
    this.picks = new Picks(state, gate, choice, attempts, lookUs);
    this.idle = new Idle(state, gate);
    this.silence = new Silence(state);
    this.judgement = new Judgement(state, window, idle);
    this.turns = new Turns(state);
    this.listing = new Listing(state);
    this.quotas = new Quotas(settings);
  }

  // ---------------------------------------------------------------- events

  @Override
  public void onMessage(final long now, final Message message) {
    state.nowUs = now;
    final Job job =
        new Job(message, state.settings.classes().get(message.messageClass()), numbers++);
    jobs.put(message.id(), job);
    state.open++;
    job.overQuota = quotas.exceededBy(message.tenant(), state.nowUs);
    job.destination = state.destination(message.destination());
    job.destination.jobs++;
    turns.join(job);
    await(job);
  }

  @Override
  public void onResumed(final long now, final Message message, final Past past) {
    onMessage(now, message);
    final Job job = jobs.get(message.id());
    leave(job);
    job.attempts = past.attempts();
    job.mayHaveRun = past.mayHaveRun();
    if (job.mayHaveRun) {
      job.firstRunUs = past.firstRunUs();
      job.runZone = past.runZone();
      turns.rest(job);
      turns.refile(job.line);
    }
    await(job);
  }

  /**
   * A message with a call that another process of this courier has out: its outcome is told here.
   * Those of one call come one behind the other; {@code past} does not reckon with it.
   */
  public void onAdopted(
      final long now,
      final Message message,
      final Past past,
      final long endpoint,
      final long sentUs,
      final boolean sameCall) {
    onResumed(now, message, past);
    final Job job = jobs.get(message.id());
    leave(job);
    final Node node = state.nodes.get(endpoint);
    final Call call = sameCall ? adopted : new Call();
    if (!sameCall) {
      adopted = call;
      call.node = node;
      call.sentUs = sentUs;
      state.callsOut++;
      node.lane.calls++;
      node.inFlight++;
    }
    call.size = ++call.messages;
    call.expectedUs = Math.max(call.expectedUs, (long) attempts.expectedUs(node.lane, job));
    call.jobs.add(job);
    job.call = call;
    silence.expect(call);
  }

  /** What was learnt so far. */
  public Memory memory() {
    return Memory.of(
        state.times.meanUs,
        state.times.samples,
        idle.trustUs,
        nextStepUs - SECOND_US,
        state.nodes.values());
  }

  /**
   * Takes over what another process of this courier had learnt; the list must have been told
   * before.
   */
  public void onMemory(final long now, final Memory memory) {
    state.nowUs = now;
    idle.trustUs = memory.recall(state.nodes, state.times.meanUs, state.times.samples, now);
    noteMeans(0);
    state.destinations.values().forEach(state::touch);
    final long coldUs = state.settings.guarantees().coldUs();
    state.nodes.values().stream()
        .map(node -> node.lane)
        .filter(lane -> lane.phase == Phase.RAMP)
        .forEach(lane -> state.looks.schedule(lane.rampEnd, lane.rampFromUs + coldUs + 1));
  }

  @Override
  public void onStopping(final long now, final long atUs) {
    state.nowUs = now;
    state.stopUs = atUs;
    noteMeans(0);
    state.destinations.values().forEach(state::touch);
  }

  @Override
  public void onRoom(final long now, final int slotsNow, final int maxOpenNow) {
    state.nowUs = now;
    state.slots = slotsNow;
    state.maxOpen = maxOpenNow;
    List.copyOf(state.active).forEach(lane -> state.touch(lane.destination));
  }

  @Override
  public void onList(final long now, final Update update, final List<Endpoint> entries) {
    state.nowUs = now;
    listing.told(update, entries);
  }

  @Override
  public void onOutcome(final long now, final Outcome outcome) {
    state.nowUs = now;
    final Job job = jobs.get(outcome.messageId());
    if (job == null || job.call == null) {
      return;
    }
    final Call call = job.call;
    final Node node = call.node;
    state.tick++;
    silence.fallOverdue();
    silence.avoidSilent(node);
    state.touch(node.lane.destination);
    job.call = null;
    silence.answered(call, job);
    if (!outcome.result().neverRan()) {
      job.mayHaveRun = true;
      job.firstRunUs = Math.min(job.firstRunUs, call.sentUs);
      job.runZone = node.entry.zone();
      if (!outcome.result().ended()) {
        turns.rest(job);
      }
    }
    if (--call.messages == 0) {
      state.callsOut--;
      node.inFlight--;
      node.lane.calls--;
      silence.over(call);
      node.lastUseUs = state.nowUs;
      idle.shareConnections(node, call);
    }
    judgement.judge(node, call, job, outcome);
    if (outcome.over() || job.over) {
      end(job);
    } else {
      await(job);
    }
  }

  /** An endpoint tells to wait from now on, in an answer that is no call's outcome any more. */
  public void onWait(final long now, final long endpoint, final long waitUs) {
    state.nowUs = now;
    final Node node = state.nodes.get(endpoint);
    if (node != null) {
      node.lane.waitUntilUs = Math.max(node.lane.waitUntilUs, now + waitUs);
      state.touch(node.lane.destination);
    }
  }

  /**
   * For so long before now this courier did not run: that is nobody's time-out. What would be
   * overdue falls due later by as much.
   */
  public void onAway(final long now, final long awayUs) {
    state.nowUs = now;
    silence.away(awayUs);
  }

  /**
   * This courier runs late: what waits and has no time left is ended before anything else is done,
   * since no answer can lie unread for it.
   */
  public void onLate(final long now) {
    state.nowUs = now;
    endDue();
  }

  /**
   * This courier's own way out was gone from a moment on, and is back: nobody was out for that
   * alone.
   */
  public void onReached(final long now, final long sinceUs) {
    state.nowUs = now;
    for (final Destination destination : state.destinations.values()) {
      if (destination.lanes.stream().filter(lane -> lane.reached(sinceUs, state.nowUs)).count()
          > 0) {
        state.turns++;
        state.touch(destination);
      }
    }
  }

  @Override
  public void onExpired(final long now, final String messageId) {
    state.nowUs = now;
    Optional.ofNullable(jobs.get(messageId)).ifPresent(this::end);
  }

  /**
   * An endpoint that was left out by hand comes back cold, and so does a destination without
   * others.
   */
  public void onReturned(final long now, final long endpoint) {
    state.nowUs = now;
    final Node node = state.nodes.get(endpoint);
    if (node != null
        && node.isOpen(now)
        && node.lane.phase == Phase.WELL
        && node.lane.nodes.stream().noneMatch(other -> other != node && other.isOpen(now))) {
      state.touch(node.lane.destination);
      judgement.ramp(node.lane);
    }
  }

  /** A subsystem's word on an endpoint; false if none of that number is known. */
  public boolean onEndpointWord(final long now, final long endpoint, final Directive word) {
    state.nowUs = now;
    final Node node = state.nodes.get(endpoint);
    if (node != null) {
      node.words = node.words.with(word, now);
      state.touch(node.lane.destination);
    }
    return node != null;
  }

  /** A subsystem's word on a destination; false if none of that number is known. */
  public boolean onWord(final long now, final long number, final Directive word) {
    state.nowUs = now;
    final Destination destination = state.destinations.get(number);
    if (destination == null || destination.lanes.isEmpty()) {
      return false;
    }
    destination.words = destination.words.with(word, now);
    if (word.isActive(now)) {
      destination.lanes.forEach(lane -> judgement.told(lane, word));
    }
    state.touch(destination);
    return true;
  }

  // ---------------------------------------------------------------- the pass

  @Override
  public void decide(final long now) {
    state.nowUs = now;
    state.tick++;
    silence.fallOverdue();
    nextStepUs = nextStepUs == 0 ? now + SECOND_US : nextStepUs;
    if (now >= nextStepUs) {
      stepAll();
      idle.step();
      listing.forget();
      turns.forget();
      nextStepUs += SECOND_US * ((now - nextStepUs) / SECOND_US + 1);
    }
    listing.keepList();
    watch();
    dispatch();
    silence.reclaimSlot();
    makeRoom();
    sleep();
  }

  /** Takes the step of each lane on which something went on; the others catch up when they wake. */
  private void stepAll() {
    state.steps++;
    final List<Lane> stepping = state.active;
    state.active = new ArrayList<>();
    for (final Lane lane : stepping) {
      lane.active = false;
      lane.stepsTaken = state.steps;
      window.step(lane);
    }
    for (final Lane lane : stepping) {
      // Its line is reckoned by its rate, its next send by its spacing: both go on changing.
      final boolean fading =
          lane.destination.waiting > 0
              && (lane.rate * lane.destination.lanes.size() >= Destination.LEAST_RATE
                  || lane.lastSendUs + (long) (SECOND_US / lane.spacing) > state.nowUs);
      if (lane.calls > 0 || fading) {
        state.touch(lane.destination);
      } else {
        state.lookAgain(lane.destination);
      }
    }
    noteMeans(NOTED_CHANGE);
  }

  /**
   * Notes the classes' mean times that have changed by more than a share; looks anew at what
   * follows.
   */
  private void noteMeans(final double change) {
    if (state.times.note(change)) {
      state.lookAtAll();
    }
  }

  /**
   * Looks for silence and ramps that are over; ends what may not be sent again, or has no time
   * left.
   */
  private void watch() {
    silence.look();
    final long now = state.nowUs;
    for (LaneTimer due = state.looks.poll(now); due != null; due = state.looks.poll(now)) {
      state.touch(due.lane.destination);
    }
    turns.wake();
    state.touched.sort(Destination.ORDER);
    for (final Destination destination : state.touched) {
      destination.touched = false;
      for (final Lane lane : destination.jobs == 0 ? List.<Lane>of() : destination.lanes) {
        judgement.watch(lane);
      }
    }
    state.touched.clear();
    endDue();
  }

  /** Ends what waits and has no time left, in the order of destinations and places. */
  private void endDue() {
    final List<Job> over = new ArrayList<>();
    for (Deadline due = ends.poll(state.nowUs); due != null; due = ends.poll(state.nowUs)) {
      over.add(due.job);
    }
    over.sort(
        Comparator.comparing((Job job) -> job.destination, Destination.ORDER)
            .thenComparingLong(job -> job.place));
    for (final Job job : over) {
      // Given up: come again when the line that stands there now has gone, and no sooner.
      job.destination.catchUp(state.steps);
      finish(job, Math.max(Pace.PAUSE_US, job.destination.lineUs()));
    }
  }

  /** Sends, best first, until no slot is free or no message may go. */
  private void dispatch() {
    state.againUs = NEVER;
    while (state.callsOut < state.slots) {
      final Ranking<Ready> ready = state.ready();
      final Ready best = ready.best(state.nowUs);
      if (best == null) {
        return;
      }
      if (attempts.endsInTime(best.lane, best.picked.group)) {
        send(best.picked, best.lane);
      } else {
        ready.invalidate(best);
      }
    }
  }

  /** Sends a message and, where calls are shared, those that wait with it. */
  private void send(final Job first, final Lane lane) {
    final Node node = choice.choose(lane, first.group, first.refusedBy);
    state.touch(lane.destination);
    final Call call = new Call();
    call.probe = lane.takeProbe(state.nowUs);
    call.node = node;
    call.sentUs = state.nowUs;
    state.callsOut++;
    lane.peak = Math.max(lane.peak, ++lane.calls);
    if (node.inFlight++ == 0) {
      idle.checkIdle(call, node, first);
    }
    final int streams = state.settings.limits().multiplex();
    call.reused = node.connections * streams >= node.inFlight;
    node.connections = Math.max(node.connections, (node.inFlight + streams - 1) / streams);
    node.lastSendUs = lane.lastSendUs = state.nowUs;
    if (lane.phase == Phase.OUT) {
      lane.nextTrialUs = state.pace.trialUs(lane, state.nowUs, state.learns);
    }
    Job job = first;
    final boolean alone = lane.phase == Phase.OUT || first.kind.effect() == Effect.UNSAFE;
    while (job != null) {
      call.messages++;
      call.expectedUs = Math.max(call.expectedUs, (long) attempts.expectedUs(lane, job));
      job.call = call;
      call.jobs.add(job);
      job.attempts++;
      leave(job);
      state.actions.send(
          job.message.id(),
          node.entry.id(),
          attempts.timeoutUs(lane, node.cells[job.message.messageClass()], job));
      final boolean full = alone || call.messages >= lane.kind.messagesPerCall();
      job = full ? null : picks.pick(job.destination, lane, node);
    }
    call.size = call.messages;
    call.jobs.sort(Comparator.comparingLong(sent -> sent.number));
    silence.expect(call);
    lane.lastWeight = 1 + FURTHER_WEIGHT * (call.size - 1);
    lane.share.recordCall(state.nowUs);
  }

  /**
   * Refuses what has least to gain before the store is full: nothing is turned away at the door.
   */
  private void makeRoom() {
    final int reserve = (int) Math.max(1, STORE_RESERVE * state.maxOpen);
    while (state.open > state.maxOpen - reserve) {
      final Destination destination = state.room().best(state.nowUs);
      if (destination == null) {
        return;
      }
      finish(destination.least, SECOND_US);
    }
  }

  /**
   * Asks to be woken when something can change by time alone: a guard, a deadline, a silence, a
   * step.
   */
  private void sleep() {
    long next = Math.min(nextStepUs, listing.askAgainUs());
    next = Math.min(next, Math.min(ends.earliestDueUs(), silence.firstUs()));
    next = Math.min(next, Math.min(state.looks.earliestDueUs(), turns.firstUs()));
    // A call that was called off may be slow to end; a message may have got its turn after the last
    // look.
    next = Math.min(next, state.againUs);
    wakes.headSet(state.nowUs + 1).clear();
    if (wakes.isEmpty() || wakes.first() > next) {
      wakes.add(Math.max(state.nowUs + 1, next));
      state.actions.wake(wakes.first() - state.nowUs);
    }
  }

  // ---------------------------------------------------------------- a message's way

  /** A message waits from now on; one that may not be sent again ends in the next pass. */
  private void await(final Job job) {
    state.touch(job.destination);
    job.waiting = true;
    job.place = places++;
    job.destination.waiting++;
    ends.schedule(job.end, attempts.maySend(job) ? attempts.endUs(job) : 0);
    job.destination.file(job, !turns.inTurn(job));
    turns.refile(job.line);
  }

  /** A message waits no longer, if it did. */
  private void leave(final Job job) {
    if (job.waiting) {
      state.touch(job.destination);
      job.waiting = false;
      job.destination.waiting--;
      ends.remove(job.end);
      job.destination.unfile(job);
    }
  }

  /** Gives the final answer: a refusal where that is harmless, or a failure. */
  private void finish(final Job job, final long retryAfterUs) {
    if (job.mayRefuse()) {
      state.actions.refuse(
          job.message.id(), Math.min(retryAfterUs, state.settings.limits().maxRetryAfterUs()));
    } else {
      state.actions.fail(job.message.id());
    }
    end(job);
  }

  private void end(final Job job) {
    state.open -= job.over ? 0 : 1;
    job.over = true;
    leave(job);
    if (job.call == null) {
      turns.over(job);
      jobs.remove(job.message.id());
      if (--job.destination.jobs == 0) {
        listing.empty(job.destination);
      }
    }
  }

  // ---------------------------------------------------------------- what others see

  /** Listed endpoints to which nothing goes now for trouble with them, or only single trials. */
  public List<Long> avoided() {
    return state.nodes.values().stream()
        .filter(node -> node.isAvoided(state.nowUs))
        .map(Node::id)
        .toList();
  }

  /**
   * Changes when a lane goes out or begins to return: what is remembered is then worth putting
   * down.
   */
  public long turns() {
    return state.turns;
  }

  /** Calls in flight. */
  public int callsOut() {
    return state.callsOut;
  }

  /** True if a message could go now that no slot is left for. */
  public boolean wantsSlots() {
    return state.callsOut >= state.slots && state.ready().size() > 0;
  }

  /**
   * How each destination (or route) is, and why nothing goes there now; of vacant ones, nothing.
   */
  public List<LaneView> lanes() {
    return state.destinations.values().stream()
        .flatMap(destination -> destination.lanes.stream())
        .map(lane -> LaneView.of(lane, state.nowUs, gate.openAtUs(lane), window.cap(lane)))
        .toList();
  }

  /** How many destinations are kept in mind. */
  int destinationsKnown() {
    return state.destinations.size();
  }
}

package thistleturn.courier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.Continuity;
import thistleturn.courier.handover.Heir;
import thistleturn.courier.handover.Inheritance;
import thistleturn.courier.handover.Predecessor;
import thistleturn.courier.handover.Remote;
import thistleturn.courier.health.Pulse;
import thistleturn.courier.operator.Figures;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Directory;
import thistleturn.courier.port.Ends;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store;
import thistleturn.courier.port.Way;
import thistleturn.courier.port.Witness;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.LoopTasks;
import thistleturn.courier.shard.Room;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.RouteStatus;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;

/**
 * The one that calls {@link OverloadController}: it tells it what the sockets brought in a pass of
 * the event loop, lets it decide once, and carries out what it asked for. It holds the open
 * messages, and keeps the journal ahead of every byte that promises something. All of it runs on
 * the event loop's thread.
 */
final class Host
    implements DeliveryActions,
        Front.Desk,
        Carrier.Listener,
        Ends.Listener,
        Room.Tenant,
        Predecessor.Listener {
  private static final long US_PER_MS = 1000;
  private static final double US_PER_S = 1_000_000;

  /**
   * An end that the platform confirms so late after its message's time is worth a line: the limit
   * is 300 ms.
   */
  private static final long LATE_US = 100_000;

  /** A store so full is pressed. */
  private static final double PRESSED_SHARE = 0.9;

  /**
   * When the journal is tried again that could not be written, ms: a client waits 400 ms for its
   * answer.
   */
  private static final long UNWRITABLE_RETRY_MS = 20;

  /**
   * A wake-up so late, us, comes from a process that did not run: first it looks at what has come
   * meanwhile.
   */
  private static final long LATE_WAKE_US = 10_000;

  /**
   * When the store is full: a message's time in it is some seconds, so that one place is free soon.
   */
  private static final long FULL_RETRY_US = 1_000_000;

  /** One message's part in a call. */
  private record Part(OpenMessage open, long timeoutUs, long goesUntilUs)
      implements Carrier.Parcel {
    @Override
    public Held held() {
      return open.held;
    }

    @Override
    public long validUntilUs() {
      return open.validUntilUs;
    }
  }

  /** A call that an older process of this courier has out. */
  private record RemoteCall(long number, long endpoint, long sentUs) implements Carrier.Call {}

  /** What is said of an endpoint that an operator has left out. */
  private static final Directive LEFT_OUT =
      Directive.of(Directive.Kind.EXCLUSION, "operator", Long.MAX_VALUE);

  /**
   * Endpoints of which what was learnt is put down: more would hold up the loop for over some
   * milliseconds a second.
   */
  private static final int MOST_REMEMBERED = 2000;

  private final Config config;
  private final EventLoop loop;
  private final Clock clock;
  private final Store store;
  private final OverloadController control;
  private final Carrier carrier;
  private final Directory directory;
  private final Ends ends;
  private final Roster roster;
  private final Wiring wiring;
  private final LocalHealth health;
  private final Pulse pulse;
  private final Map<String, OpenMessage> messages = new LinkedHashMap<>();
  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<Long, List<Part>> outbox = new LinkedHashMap<>();
  private final Promises promises;
  private boolean passDue;

  /** The journal could not be written, and is tried again soon. */
  private boolean retriesJournal;

  /**
   * How many messages it may hold now, and whether that, or its slots, have held it back of late.
   */
  private int maxOpen;

  private boolean openPressed;
  private boolean slotsPressed;

  /** What this process has done, by class where that says anything. */
  private final long[] served;

  private final long[] refused;
  private final long[] failed;
  private long attempts;

  /** The newer process that decides now; null while this one does. */
  private Heir heir;

  /** Nothing is decided or put down any more: what breaks from now on breaks with the process. */
  private boolean cut;

  /** Calls that were out when it took over, by their numbers. */
  private final Map<Long, Carrier.Call> given = new HashMap<>();

  private final IdentityHashMap<Carrier.Call, Long> givenNumbers = new IdentityHashMap<>();

  /**
   * The older process that this one took over from, or null; what it has out, by the messages' ids.
   */
  private Remote predecessor;

  private final Map<String, Part> remote = new HashMap<>();

  /** What an earlier process had learnt, until it is taken up; else null. */
  private Continuity recalled;

  /**
   * Who hears what is told and found out here; null: nobody. Which destinations it was last known
   * to be out.
   */
  private Witness witness;

  private final Set<Long> out = new HashSet<>();
  private long toldTurns;

  /** The ports that a host is wired to; those that tell the host something are made for it. */
  interface Wiring {
    Carrier carrier(Carrier.Listener listener);

    Ends ends(Ends.Listener listener);

    Directory directory();

    /**
     * Does something after a look at the sockets that began after that moment, us: what had come by
     * then is told first.
     */
    void afterLook(long us, Runnable action);
  }

  Host(
      final Config config,
      final EventLoop loop,
      final Clock clock,
      final Store store,
      final Wiring wiring) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.wiring = wiring;
    this.health = new LocalHealth(clock.nowUs());
    this.pulse = new Pulse(loop, clock, health, this::away);
    this.control = new OverloadController(config.settings(), config.seed(), this);
    this.maxOpen = config.settings().limits().maxPendingMessages();
    this.carrier = wiring.carrier(this);
    this.directory = wiring.directory();
    this.ends = wiring.ends(this);
    this.promises = new Promises(new PromiseKeeper(), ends);
    this.roster = new Roster(config.settings().kinds(), clock::nowUs);
    config.settings().classes().forEach(kind -> classes.put(kind.name(), classes.size()));
    this.served = new long[classes.size()];
    this.refused = new long[classes.size()];
    this.failed = new long[classes.size()];
  }

  /**
   * Takes up what an earlier process held, and begins to follow the list. Runs on the event loop.
   *
   * @return how many messages wait again
   */
  int start() {
    directory.start(this::listed);
    return takeUp();
  }

  /** The same, after an older process that goes on carrying out what it has begun. */
  int start(final Inheritance inheritance, final Remote from) {
    predecessor = from;
    directory.start(this::listed);
    listed(
        EndpointUpdate.RESTORED_SNAPSHOT,
        inheritance.endpoints().stream().map(Inheritance.Named::listing).toList());
    final Map<Long, Long> numbers = learn(inheritance);
    final Map<String, Held> held = new HashMap<>();
    store.live().forEach(one -> held.put(one.id(), one));
    final List<Endpoint> unlisted = new ArrayList<>();
    for (final Inheritance.CallOut out : inheritance.calls()) {
      final long endpoint =
          numbers.computeIfAbsent(
              out.endpoint(),
              gone -> {
                // Gone from the list, but not from the world: a call to it is still out.
                final long number = roster.unlisted();
                final Endpoint entry =
                    new Endpoint(number, EndpointState.DRAINING, "", 0, -1, out.destination());
                unlisted.add(entry);
                control.onEndpointList(clock.nowUs(), EndpointUpdate.SUPPLEMENT, List.of(entry));
                return number;
              });
      adopt(out, new RemoteCall(out.number(), endpoint, out.sentUs()), held);
    }
    control.onEndpointList(
        clock.nowUs(),
        EndpointUpdate.SUPPLEMENT,
        unlisted.stream()
            .map(
                entry ->
                    new Endpoint(entry.id(), EndpointState.GONE, "", 0, -1, entry.destinationId()))
            .toList());
    from.serve(this);
    return takeUp();
  }

  private void adopt(
      final Inheritance.CallOut out, final RemoteCall call, final Map<String, Held> live) {
    boolean sameCall = false;
    for (final String id : out.messageIds()) {
      final Held held = live.get(id);
      final Integer index = held == null ? null : classes.get(held.className());
      if (index == null || held.notice() != null || !held.isOut()) {
        continue;
      }
      final OpenMessage open =
          new OpenMessage(held, config.settings().classes().get(index), held.validUntilUs(), null);
      open.call = call;
      messages.put(id, open);
      remote.put(id, new Part(open, 0, 0));
      final boolean ran = held.firstRunUs() != Held.NEVER;
      control.onCallAdopted(
          clock.nowUs(),
          message(open, index),
          new PriorAttempts(held.attempts(), ran, ran ? held.firstRunUs() : 0, held.runZone()),
          call.endpoint(),
          call.sentUs(),
          sameCall);
      sameCall = true;
    }
  }

  /**
   * Takes up what an earlier process had learnt of endpoints that are here what they were there:
   * another one under the same name has nothing to do with it.
   *
   * @return their numbers there, and here
   */
  private Map<Long, Long> learn(final Continuity from) {
    final Map<String, Directory.Listing> now = new HashMap<>();
    roster.listed().forEach(named -> now.put(named.listing().name(), named.listing()));
    final Map<Long, Long> numbers = new HashMap<>();
    for (final Inheritance.Named named : from.endpoints()) {
      final Directory.Listing listing = now.get(named.listing().name());
      if (listing != null
          && listing.address().equals(named.listing().address())
          && listing.destination() == named.listing().destination()) {
        numbers.put(named.number(), roster.number(listing.name()));
      }
    }
    control.onLearnedState(clock.nowUs(), from.memory(numbers, clock));
    return numbers;
  }

  private int takeUp() {
    int resumed = 0;
    for (final Held held : store.live()) {
      if (messages.containsKey(held.id())) {
        continue;
      }
      final Integer index = classes.get(held.className());
      if (held.notice() != null) {
        ends.add(held);
      } else if (index == null) {
        end(new OpenMessage(held, null, 0, null), new Held.Notice(true, 0));
      } else {
        resume(held, index);
        resumed++;
      }
    }
    touch();
    return resumed;
  }

  private void resume(final Held held, final int index) {
    final OpenMessage open =
        new OpenMessage(held, config.settings().classes().get(index), held.validUntilUs(), null);
    final PriorAttempts past = held.past();
    if (held.isOut()) {
      store.settle(held, false);
    }
    messages.put(held.id(), open);
    control.onMessageResumed(clock.nowUs(), message(open, index), past);
  }

  private static Message message(final OpenMessage open, final int index) {
    return new Message(open.held.id(), index, -1, null, open.validUntilUs, open.held.destination());
  }

  // ---------------------------------------------------------------- its own health

  /** The process did not run for so long: what is out has that much more time. */
  private void away(final long awayUs) {
    if (decides()) {
      control.onHostPaused(clock.nowUs(), awayUs);
    }
  }

  /**
   * Somebody answered: if this courier was cut off until now, whoever was sent out for that is
   * back.
   */
  private void answered(final long nowUs) {
    if (health.isCutOff() && decides()) {
      final long sinceUs = health.cutOffSinceUs();
      Log.info(
          "this courier had no way out for "
              + (nowUs - sinceUs) / US_PER_MS
              + " ms: nobody's outage");
      control.onConnectivityRestored(nowUs, sinceUs);
    }
    health.recordResponse(nowUs);
  }

  /** How this courier itself is, and why that is said; as JSON for operators. */
  ObjectNode health() {
    final LocalHealth.Report report = health.report(clock.nowUs());
    return JsonNodeFactory.instance
        .objectNode()
        .put("state", report.state().name().toLowerCase(Locale.ROOT))
        .put("for_s", (clock.nowUs() - report.sinceUs()) / US_PER_S)
        .put("evidence", report.evidence())
        .put("away_share", report.pausedShare())
        .put("last_away_s", report.lastPauseUs() / US_PER_S)
        .put("holds", messages.size())
        .put("may_hold", health.maxPendingMessages(maxOpen))
        .put("ended", health.completedMessages());
  }

  // ---------------------------------------------------------------- what the sockets bring

  @Override
  public MessageClass kind(final String className) {
    final Integer index = classes.get(className);
    return index == null ? null : config.settings().classes().get(index);
  }

  @Override
  public boolean isOwn(final long destination) {
    return heir == null;
  }

  @Override
  public void offer(final Held held, final long validUntilUs, final Front.Reply reply) {
    if (heir != null) {
      heir.offer(held, held.validUntilUs(), reply);
      return;
    }
    pulse.feel();
    if (!roster.names(held.destination()) && directory.isFresh()) {
      reply.unusable(Front.Fault.NO_DESTINATION);
      return;
    }
    if (messages.containsKey(held.id()) || store.holds(held.id())) {
      reply.unusable(Front.Fault.HELD_ALREADY);
      return;
    }
    openPressed |= messages.size() >= PRESSED_SHARE * maxOpen;
    if (messages.size() >= health.maxPendingMessages(maxOpen) || !store.take(held)) {
      refused[classes.get(held.className())]++;
      Log.event(
          Event.REQUEST_REFUSED,
          "id",
          held.id(),
          "class",
          held.className(),
          "why",
          store.isWritable() ? "no_room" : "journal_unwritable",
          "holds",
          messages.size());
      reply.refused(Front.Refusal.NO_ROOM, FULL_RETRY_US);
      return;
    }
    final int index = classes.get(held.className());
    final OpenMessage open =
        new OpenMessage(held, config.settings().classes().get(index), validUntilUs, reply);
    messages.put(held.id(), open);
    promises.accept(open, clock.nowUs());
    held.way().taken(clock.nowUs());
    control.onMessage(clock.nowUs(), message(open, index));
    touch();
  }

  @Override
  public void withdraw(final String id, final long destination) {
    if (heir != null) {
      heir.withdraw(id, destination);
      return;
    }
    final OpenMessage open = messages.get(id);
    if (open != null) {
      forget(open);
      control.onMessageAbandoned(clock.nowUs(), id);
      touch();
    }
  }

  /** The list has changed, or could not be had. */
  private void listed(final EndpointUpdate update, final List<Directory.Listing> listings) {
    final long nowUs = pulse.feel();
    if (update == EndpointUpdate.UNAVAILABLE) {
      health.recordPlatformFailure(nowUs);
    } else if (update != EndpointUpdate.RESTORED_SNAPSHOT) {
      answered(nowUs);
    }
    final Roster.Applied applied = roster.apply(update, listings, carrier);
    if (heir != null) {
      // It is kept up to date all the same: should the newer process end, this one takes up again.
      applied.gone().forEach(roster::forget);
      return;
    }
    control.onEndpointList(clock.nowUs(), update, applied.changed());
    applied.changed().stream()
        .map(Endpoint::id)
        .filter(roster::isLeftOut)
        .forEach(endpoint -> control.onEndpointDirective(clock.nowUs(), endpoint, LEFT_OUT));
    if (recalled != null && roster.size() > 0) {
      Log.info("recalled what was learnt of " + learn(recalled).size() + " endpoints");
      recalled = null;
    }
    for (final long endpoint : applied.gone()) {
      carrier.removed(endpoint);
      roster.forget(endpoint);
    }
    if (update != EndpointUpdate.UNAVAILABLE) {
      roster.forgetVacant();
      if (witness != null) {
        witness.listed();
      }
    }
    touch();
  }

  @Override
  public void outcome(
      final Carrier.Parcel parcel, final Carrier.Call call, final Carrier.Answer answer) {
    if (cut) {
      return;
    }
    final OpenMessage open = ((Part) parcel).open();
    final long nowUs = pulse.feel();
    open.call = null;
    if (heir != null) {
      // A message that was over before the handover is nobody's any more.
      if (givenNumbers.containsKey(call) && messages.remove(open.held.id()) != null) {
        heir.outcome(givenNumbers.get(call), open.held.id(), answer);
      }
      return;
    }
    if (open.held.way() != null) {
      open.held.way().outcome(clock.nowUs());
    }
    final boolean delivered = answer.result() == AttemptResult.DELIVERED;
    if (!open.over) {
      if (delivered || answer.over()) {
        count(delivered ? served : failed, open);
        forget(open);
      } else {
        store.settle(open.held, answer.result().neverExecuted());
      }
    }
    if (!delivered) {
      Log.event(
          answer.result() == AttemptResult.NOT_SENT ? Event.ATTEMPT_NOT_SENT : Event.ATTEMPT_FAILED,
          "id",
          open.held.id(),
          "class",
          open.held.className(),
          "endpoint",
          roster.name(call.endpoint()),
          "result",
          answer.result(),
          "attempts",
          open.held.attempts(),
          "after_us",
          nowUs - call.sentUs(),
          "wait_us",
          answer.waitUs());
    }
    tellHealth(open.held.destination(), call, answer.result(), nowUs);
    control.onOutcome(
        nowUs,
        new AttemptOutcome(
            open.held.id(),
            answer.result(),
            open.over,
            call.endpoint(),
            health.wasRunningBetween(call.sentUs(), nowUs) ? nowUs - call.sentUs() : -1,
            answer.waitUs(),
            answer.allowance()));
    if (witness != null) {
      tellWitness(open.held.destination(), answer, nowUs);
    }
    touch();
  }

  private void tellWitness(final long destination, final Carrier.Answer answer, final long nowUs) {
    if (answer.waitUs() > 0) {
      witness.waits(destination, nowUs + answer.waitUs());
    }
    if (answer.allowance() != null && answer.allowance().callsPerSecond() > 0) {
      witness.limited(destination, answer.allowance().callsPerSecond());
    }
  }

  /** What a call's outcome says of this courier's own way out. */
  private void tellHealth(
      final long destination,
      final Carrier.Call call,
      final AttemptResult result,
      final long nowUs) {
    switch (result) {
      case DELIVERED, ERROR, REFUSED -> answered(nowUs);
      case NO_CONNECTION, TIMED_OUT -> health.recordNoResponse(destination, call.sentUs(), nowUs);
      // One that was given up by this courier's own will, or met a connection that was dead, says
      // nothing.
      default -> {}
    }
  }

  @Override
  public void toldToWait(final long endpoint, final long waitUs) {
    if (decides()) {
      control.onRetryAfter(clock.nowUs(), endpoint, waitUs);
      touch();
    }
  }

  @Override
  public void written(final int count) {
    attempts += count;
  }

  @Override
  public void confirmed(final List<Held> known) {
    if (!decides()) {
      // The newer process tells them once more, which does no harm.
      return;
    }
    final long nowUs = clock.nowUs();
    for (final Held held : known) {
      if (held.way() != null && held.way().lateUs(nowUs) > LATE_US) {
        Log.event(
            Event.MESSAGE_ENDED_LATE,
            "id",
            held.id(),
            "class",
            held.className(),
            "attempts",
            held.attempts(),
            "way",
            held.way().story(nowUs));
      }
      store.over(held);
    }
    touch();
  }

  private void count(final long[] ends, final OpenMessage open) {
    ends[classes.get(open.held.className())]++;
  }

  // ---------------------------------------------------------------- operators

  /** True if an endpoint of that name was ever listed here. */
  boolean knows(final String endpoint) {
    return roster.knows(endpoint);
  }

  /** Exactly these endpoints are left out by hand from now on, whatever the list says. */
  void leaveOut(final Set<String> endpoints) {
    if (heir != null) {
      return;
    }
    final Map<Long, Boolean> news = roster.leaveOut(endpoints);
    news.forEach(
        (endpoint, out) -> {
          // What is kept open to them dies with their restart.
          carrier.closeIdle(endpoint);
          control.onEndpointDirective(
              clock.nowUs(), endpoint, out ? LEFT_OUT : LEFT_OUT.withdrawn());
          if (!out) {
            control.onEndpointEnabled(clock.nowUs(), endpoint);
          }
        });
    if (!news.isEmpty()) {
      touch();
    }
  }

  /** From now on that one hears what is told and found out here. */
  void witness(final Witness by) {
    witness = by;
    turned(false);
  }

  /** A subsystem says something of a destination. */
  void say(final long destination, final Directive word) {
    if (decides() && control.onDestinationDirective(clock.nowUs(), destination, word)) {
      turned(false);
      touch();
    }
  }

  /**
   * Looks which destinations are out; the witness is told of what has changed by own knowledge,
   * while this courier is well.
   */
  private void turned(final boolean tells) {
    toldTurns = control.circuitTransitions();
    final Map<Long, Boolean> now = new LinkedHashMap<>();
    control
        .routes()
        .forEach(
            lane ->
                now.merge(
                    lane.destinationId(), lane.circuitState().equals("OUT"), Boolean::logicalAnd));
    now.forEach(
        (destination, isOut) -> {
          final boolean changed = isOut ? out.add(destination) : out.remove(destination);
          if (changed && tells && health.report(clock.nowUs()).state() == LocalHealth.State.WELL) {
            witness.turned(destination, isOut);
          }
        });
    out.retainAll(now.keySet());
  }

  /** What this process has done, and what it has now. */
  Figures figures() {
    final List<Figures.Ends> ends =
        config.settings().classes().stream()
            .map(
                kind -> {
                  final int index = classes.get(kind.name());
                  return new Figures.Ends(
                      kind.name(), served[index], refused[index], failed[index]);
                })
            .toList();
    return new Figures(
        ends,
        attempts,
        heir == null ? messages.size() : 0,
        roster.size(),
        roster.excluded(control.avoidedEndpoints()));
  }

  // ---------------------------------------------------------------- a newer process, an older
  // process

  /**
   * Decides nothing more: from now on this is a front and a carrier for another process.
   *
   * @throws IOException if the journal cannot be brought up to date; then all goes on as it was
   */
  Inheritance handOver(final Heir to) throws IOException {
    // What this turn brought is decided and answered here.
    pass();
    final Store.Flush flush = store.flush();
    promises.keep(flush, clock.nowUs());
    if (flush != Store.Flush.SAFE) {
      throw new IOException("the journal cannot be written");
    }
    heir = to;
    messages.values().removeIf(open -> open.call == null);
    return inheritance();
  }

  /**
   * Another one decides from now on, after the one that did has ended; what is out here goes on.
   */
  Inheritance passOn(final Heir to) {
    heir = to;
    return inheritance();
  }

  /**
   * What was learnt so far, null while another process decides, or nothing or too much is listed.
   */
  Inheritance learnt() {
    return heir != null || roster.size() == 0 || roster.size() > MOST_REMEMBERED
        ? null
        : new Inheritance(roster.listed(), control.learnedState(), List.of());
  }

  /**
   * How each destination is, with the names of its endpoints in place of their numbers; as JSON for
   * operators.
   */
  ArrayNode lanes() {
    final ArrayNode lanes = JsonNodeFactory.instance.arrayNode();
    for (final RouteStatus lane : control.routes()) {
      final ObjectNode one =
          lanes
              .addObject()
              .put("destination", lane.destinationId())
              .put("phase", lane.circuitState())
              .put("window", lane.window())
              .put("in_flight", lane.callsInFlight())
              .put("silent", lane.overdueCalls())
              .put("waiting", lane.waitingMessages())
              .put("served_per_s", lane.callsPerSecond())
              .put("cause", lane.rejectionCause())
              .put("evidence", lane.noiseEvidence())
              .put("refused_share", lane.rejectedShare())
              .put("further_calls", lane.retryBudget())
              .put("growing", lane.inInitialGrowth())
              .put("why", lane.blockedReason());
      if (Double.isFinite(lane.permittedPerSecond())) {
        one.put("spacing_per_s", lane.permittedPerSecond());
      }
      final ArrayNode said = one.putArray("said");
      for (final RouteStatus.Constraint word : lane.constraints()) {
        final ObjectNode entry =
            said.addObject()
                .put("what", word.type().toLowerCase(Locale.ROOT))
                .put("value", word.value())
                .put("by", word.source());
        if (word.endpointId() >= 0) {
          entry.put("endpoint", roster.name(word.endpointId()));
        }
        if (word.untilUs() != Long.MAX_VALUE) {
          entry.put("for_s", (word.untilUs() - clock.nowUs()) / US_PER_S);
        }
      }
      final ArrayNode endpoints = one.putArray("endpoints");
      lane.endpoints().forEach(number -> endpoints.add(roster.name(number)));
    }
    return lanes;
  }

  /** Changes whenever what was learnt has changed so much that it is worth putting down. */
  long turns() {
    return control.circuitTransitions();
  }

  /** What the process before this one had learnt is taken up as soon as the list is told. */
  void recall(final Continuity found) {
    recalled = found;
  }

  private Inheritance inheritance() {
    final IdentityHashMap<Carrier.Call, List<String>> out = new IdentityHashMap<>();
    for (final OpenMessage open : messages.values()) {
      out.computeIfAbsent(open.call, unused -> new ArrayList<>()).add(open.held.id());
    }
    final List<Inheritance.CallOut> calls = new ArrayList<>();
    out.forEach(
        (call, ids) -> {
          final long number =
              givenNumbers.computeIfAbsent(call, unused -> givenNumbers.size() + 1L);
          given.put(number, call);
          calls.add(
              new Inheritance.CallOut(
                  number,
                  call.endpoint(),
                  messages.get(ids.get(0)).held.destination(),
                  call.sentUs(),
                  ids));
        });
    return new Inheritance(roster.listed(), control.learnedState(), calls);
  }

  /** Gives up a call that was out when the newer process took over. */
  void abandon(final long number, final AttemptResult result) {
    final Carrier.Call call = given.get(number);
    if (call != null && messages.values().stream().anyMatch(open -> open.call == call)) {
      giveUp(call, result);
    }
  }

  /** Goes on with the counts of another host of this process. */
  void countOnFrom(final Host before) {
    System.arraycopy(before.served, 0, served, 0, served.length);
    System.arraycopy(before.refused, 0, refused, 0, refused.length);
    System.arraycopy(before.failed, 0, failed, 0, failed.length);
    attempts = before.attempts;
  }

  /** The power is cut: whatever is told from now on has no effect. Runs on the event loop. */
  void cut() {
    cut = true;
  }

  private boolean decides() {
    return heir == null && !cut;
  }

  /** True once another process decides. */
  boolean hasHeir() {
    return heir != null;
  }

  @Override
  public void offer(final Held held, final Front.Reply reply) {
    final long nowUs = clock.nowUs();
    final long validUntilUs = held.validUntilUs();
    held.began(new Way(nowUs, nowUs, nowUs, validUntilUs));
    if (classes.containsKey(held.className())) {
      offer(held, validUntilUs, reply);
    } else {
      reply.failed();
    }
  }

  @Override
  public void remoteOutcome(final String messageId, final Carrier.Answer answer) {
    final Part part = remote.remove(messageId);
    if (part != null) {
      final Carrier.Call call = part.open.call;
      if (answer.waitUs() > 0) {
        carrier.holdBack(call.endpoint());
      }
      outcome(part, call, answer);
    }
  }

  @Override
  public void predecessorGone() {
    List.copyOf(remote.keySet())
        .forEach(id -> remoteOutcome(id, new Carrier.Answer(AttemptResult.RESET, false, 0, null)));
  }

  // ---------------------------------------------------------------- room among shards

  @Override
  public Room.Use use() {
    final Room.Use use =
        new Room.Use(control.callsInFlight(), slotsPressed, messages.size(), openPressed);
    slotsPressed = control.needsMoreCapacity();
    openPressed = false;
    return use;
  }

  @Override
  public void limit(final int slotsNow, final int maxOpenNow) {
    maxOpen = maxOpenNow;
    control.onCapacityChanged(clock.nowUs(), slotsNow, maxOpenNow);
    touch();
  }

  // ---------------------------------------------------------------- the pass

  /** Lets the decisions be made once all that this pass of the loop brought has been told. */
  private void touch() {
    if (!passDue && decides()) {
      passDue = true;
      loop.execute(this::pass);
    }
  }

  private void pass() {
    if (!passDue || !decides()) {
      return;
    }
    passDue = false;
    // One moment for all of it: a stop in the middle of a pass is found by the next one, before it
    // is judged by.
    final long nowUs = pulse.feel();
    pulse.keep(!messages.isEmpty());
    try {
      decide(nowUs);
    } catch (final RuntimeException | Error e) {
      Log.failure("decisions failed", e);
    }
    outbox.forEach(
        (endpoint, parcels) ->
            LoopTasks.guarded("calls to an endpoint", () -> prepareAll(endpoint, parcels)).run());
    outbox.clear();
    // The journal is ahead of all that this pass promises: answers, calls, and ends that are told.
    promises.keep(store.flush(), clock.nowUs());
    retryJournal();
  }

  /**
   * While nothing can be written nothing can be sent or taken on; what is due ends all the same.
   */
  private void decide(final long nowUs) {
    if (!store.isWritable() && store.flush() != Store.Flush.SAFE) {
      control.onDecisionsDelayed(nowUs);
      return;
    }
    control.decide(nowUs);
    slotsPressed |= control.needsMoreCapacity();
    if (witness != null && control.circuitTransitions() != toldTurns) {
      turned(true);
    }
  }

  /** Tries a journal again that could not be written; one try is planned at a time. */
  private void retryJournal() {
    if (store.isWritable() || retriesJournal) {
      return;
    }
    retriesJournal = true;
    loop.schedule(
        () -> {
          retriesJournal = false;
          touch();
        },
        UNWRITABLE_RETRY_MS,
        TimeUnit.MILLISECONDS);
  }

  private void refuseUnwritten(final OpenMessage message) {
    final Front.Reply reply = message.reply;
    forget(message);
    count(refused, message);
    control.onMessageAbandoned(clock.nowUs(), message.held.id());
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        message.held.id(),
        "class",
        message.kind.name(),
        "why",
        "journal_write_failed");
    reply.refused(Front.Refusal.NO_ROOM, FULL_RETRY_US);
  }

  /** Carries out what the journal holds, or need not hold. */
  private final class PromiseKeeper implements Promises.Keeper {
    @Override
    public void accept(final OpenMessage message) {
      final Front.Reply reply = message.reply;
      message.reply = null;
      message.held.way().answered(clock.nowUs());
      reply.accepted();
    }

    @Override
    public void refuseUnwritten(final OpenMessage message) {
      Host.this.refuseUnwritten(message);
    }

    @Override
    public void start(final Carrier.Call call) {
      carrier.start(call);
    }

    @Override
    public void drop(final Carrier.Call call) {
      // An attempt that the journal does not know of would be forgotten by a restart.
      loop.execute(() -> carrier.abandon(call, AttemptResult.NOT_SENT));
    }
  }

  private void prepareAll(final long endpoint, final List<Part> parcels) {
    final int most = Math.max(1, roster.messagesPerCall(endpoint));
    for (int from = 0; from < parcels.size(); from += most) {
      final List<Part> some = parcels.subList(from, Math.min(parcels.size(), from + most));
      final Carrier.Call call = carrier.prepare(endpoint, some);
      for (final Part parcel : some) {
        parcel.open().call = call;
        if (parcel.held().way() != null) {
          parcel.held().way().attempt(clock.nowUs());
        }
        store.begin(parcel.open().held, clock.nowUs(), roster.zone(endpoint));
      }
      promises.call(call);
    }
  }

  // ---------------------------------------------------------------- what the decisions ask for

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    final OpenMessage open = messages.get(messageId);
    if (open != null) {
      outbox
          .computeIfAbsent(endpoint, unused -> new ArrayList<>())
          .add(new Part(open, timeoutUs, goesUntilUs(open)));
    }
  }

  /**
   * A decision is carried out later than it was made: a loop stands still, a connection takes its
   * time.
   */
  private long goesUntilUs(final OpenMessage open) {
    final PriorAttempts past = open.held.past();
    return open.kind.retryDeadlineUs(past.mayHaveExecuted(), past.firstExecutionUs());
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    final OpenMessage open = messages.get(messageId);
    if (open == null) {
      return;
    }
    count(refused, open);
    if (open.reply == null) {
      end(open, new Held.Notice(false, retryAfterUs / US_PER_MS));
    } else {
      final Front.Reply reply = open.reply;
      forget(open);
      Log.event(
          Event.REQUEST_REFUSED,
          "id",
          messageId,
          "class",
          open.kind.name(),
          "why",
          "decided",
          "retry_after_us",
          retryAfterUs);
      promises.refuse(() -> reply.refused(Front.Refusal.DECIDED, retryAfterUs), clock.nowUs());
    }
  }

  @Override
  public void fail(final String messageId) {
    final OpenMessage open = messages.get(messageId);
    if (open == null) {
      return;
    }
    count(failed, open);
    if (open.reply == null) {
      end(open, new Held.Notice(true, 0));
    } else {
      final Front.Reply reply = open.reply;
      forget(open);
      promises.refuse(reply::failed, clock.nowUs());
    }
  }

  /**
   * Ends a message that was taken on by a notice; the journal holds the notice until it is
   * confirmed.
   */
  private void end(final OpenMessage open, final Held.Notice notice) {
    open.over = true;
    if (open.held.way() != null) {
      open.held.way().ended(clock.nowUs());
    }
    messages.remove(open.held.id());
    health.recordMessageCompleted();
    Log.event(
        Event.MESSAGE_ENDED,
        "id",
        open.held.id(),
        "class",
        open.held.className(),
        "dest",
        open.held.destination(),
        "end",
        notice.failed() ? "undeliverable" : "deferred",
        "attempts",
        open.held.attempts(),
        "time_left_us",
        open.validUntilUs - clock.nowUs());
    store.owe(open.held, notice);
    promises.end(open.held);
  }

  private void forget(final OpenMessage open) {
    open.over = true;
    open.reply = null;
    messages.remove(open.held.id());
    health.recordMessageCompleted();
    store.over(open.held);
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final OpenMessage open = messages.get(messageId);
    if (open != null && open.call != null) {
      final Carrier.Call call = open.call;
      final long decidedUs = clock.nowUs();
      loop.execute(() -> wiring.afterLook(decidedUs, () -> giveUp(call, AttemptResult.CANCELLED)));
    }
  }

  /** Gives up a call, here or where it is out. */
  private void giveUp(final Carrier.Call call, final AttemptResult result) {
    if (call instanceof RemoteCall far) {
      predecessor.abandon(far.number(), result);
    } else {
      carrier.abandon(call, result);
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    carrier.closeIdle(endpoint);
  }

  @Override
  public void subscribeToEndpointList() {
    directory.follow();
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    final long dueUs = clock.nowUs() + delayUs;
    loop.schedule(() -> wakeUp(dueUs), delayUs, TimeUnit.MICROSECONDS);
  }

  /**
   * A process that was stopped wakes to its timers first: what has come meanwhile is read before
   * anything is judged.
   */
  private void wakeUp(final long dueUs) {
    if (clock.nowUs() - dueUs >= LATE_WAKE_US) {
      endLate();
      wiring.afterLook(dueUs, this::touch);
    } else {
      touch();
    }
  }

  /**
   * On a small share of a core the next pass may be a long way off: ends that are due are told
   * ahead of it.
   */
  private void endLate() {
    if (!decides()) {
      return;
    }
    control.onDecisionsDelayed(clock.nowUs());
    promises.keepRefusalsAndEnds(store.flush(), clock.nowUs());
    retryJournal();
  }

  // ---------------------------------------------------------------- a new configuration

  /** Moves to the discovery of a new configuration at once; all else counts from the next start. */
  void reload(final Config fresh) {
    final boolean same =
        fresh.settings().equals(config.settings()) && fresh.listen().equals(config.listen());
    Log.info(
        "SIGHUP: discovery is at "
            + fresh.discovery()
            + (same ? "" : "; what else is new in the configuration counts from the next start"));
    directory.reload(fresh);
    ends.reload(fresh);
  }

  // ---------------------------------------------------------------- the end of the process

  /** This process ends at that moment: nothing is begun that cannot end by then. */
  void stopping(final long stopUs) {
    if (heir == null) {
      control.onStopping(clock.nowUs(), stopUs);
      touch();
    }
  }

  /** True when nothing is under way that the end of the process would cut off. */
  boolean idle() {
    return messages.isEmpty() && (heir != null || (ends.isEmpty() && !promises.hasUntoldEnds()));
  }
}

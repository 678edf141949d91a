package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.RouteStatus;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Idempotence;
import thistleturn.lab.fleet.FleetStatistics.Count;
import thistleturn.lab.model.CallFault;

/**
 * One courier of the fleet: the decision loop and its simulated host. It can be killed at any
 * moment; the next process resumes the messages of its journal. Connections end with the process.
 */
final class SimulatedCourier implements DeliveryActions {
  /** Round trips of a handshake. */
  private static final int HANDSHAKE_TRIPS = 2;

  /** Connect timeout, us. */
  private static final long CONNECT_US = 1_000_000;

  /**
   * A final outcome is late this long after the message's deadline, us, and never earlier than
   * SETTLED_US after a start.
   */
  private static final long GRACE_US = 300_000;

  private static final long SETTLED_US = 1_500_000;

  /** Messages that expired during a pause must be ended within this time after it, us. */
  private static final long AT_ONCE_US = 50_000;

  /** Time after a pause during which its circuit states are checked, us. */
  private static final long WATCH_US = 4_000_000;

  final int index;
  private final VirtualFleet fleet;
  private DeliveryController courier;

  /** Distinguishes processes: events scheduled for an earlier process are dropped. */
  private int incarnation;

  private long startedUs;
  private boolean routedTo = true;

  /** True during a graceful shutdown: clients use other couriers. */
  private boolean stopping;

  private boolean hasInput;

  /** True while the process is paused; expired timers and received data wait in the lists below. */
  private boolean paused;

  private final List<Runnable> overdue = new ArrayList<>();
  private final List<Runnable> unread = new ArrayList<>();
  private LocalHealth health = new LocalHealth(0);

  /**
   * Until when open circuits of healthy destinations are attributed to a pause of this courier, and
   * the destinations found so far.
   */
  private long watchedUntilUs;

  private long resumedUs = Long.MIN_VALUE / 2;
  private final Set<Integer> wronglyOut = new HashSet<>();

  /**
   * Destinations whose circuit was open at the last check, and the number of circuit transitions at
   * that check.
   */
  private final Set<Integer> out = new HashSet<>();

  private long seenTransitions;
  private final Map<String, PendingMessage> open = new LinkedHashMap<>();
  private final Map<Long, Integer> idle = new HashMap<>();
  private final Map<Integer, Long> waitUntilUs = new HashMap<>();
  private final Map<Long, List<PendingMessage>> outbox = new LinkedHashMap<>();
  private final Map<String, Long> timeouts = new HashMap<>();

  SimulatedCourier(final VirtualFleet fleet, final int index) {
    this.fleet = fleet;
    this.index = index;
  }

  boolean isUp() {
    return courier != null;
  }

  boolean isRoutedTo() {
    return routedTo;
  }

  void start() {
    courier = fleet.create(index, this);
    startedUs = now();
    health = new LocalHealth(now());
    routedTo = true;
    stopping = false;
    courier.onEndpointList(now(), EndpointUpdate.RESTORED_SNAPSHOT, fleet.list());
    open.values().forEach(one -> courier.onMessageResumed(now(), one.message(), one.past()));
    seenTransitions = 0;
    out.clear();
    if (fleet.sharedState != null) {
      fleet.sharedState.onCourierStarted(index);
    }
    hasInput = true;
  }

  /** Kills the process: its connections break, and calls in flight may have run. */
  void kill() {
    incarnation++;
    paused = false;
    overdue.clear();
    unread.clear();
    courier = null;
    hasInput = false;
    for (final PendingMessage one : open.values()) {
      if (one.out != null) {
        mayHaveRun(one, one.out);
        hangUp(one.out);
        one.out.over = true;
        one.out = null;
      }
    }
    idle.forEach((endpoint, count) -> disconnect(endpoint, count));
    idle.clear();
    waitUntilUs.clear();
    outbox.clear();
  }

  /** Pauses the process; its last health tick lies up to one interval back. */
  void pause(final long untilUs) {
    if (courier != null) {
      paused = true;
      health.recordRun(now());
      health.expectRunBy(now() + (long) (fleet.random.nextDouble() * LocalHealth.TICK_INTERVAL_US));
      watchedUntilUs = untilUs + WATCH_US;
    }
  }

  /**
   * Ends the pause. A courier that detects pauses reads received data before its timers run;
   * otherwise the timers run first.
   */
  void resume() {
    if (!paused) {
      return;
    }
    paused = false;
    resumedUs = now();
    final long awayUs = health.recordRun(now());
    final List<Runnable> late = List.copyOf(overdue);
    final List<Runnable> came = List.copyOf(unread);
    overdue.clear();
    unread.clear();
    if (fleet.detectsPauses) {
      if (courier instanceof OverloadController control && awayUs > 0) {
        control.onHostPaused(now(), awayUs);
      }
      came.forEach(Runnable::run);
      late.forEach(Runnable::run);
    } else {
      late.forEach(Runnable::run);
      hasInput = true;
      pass();
      came.forEach(Runnable::run);
    }
    hasInput = courier != null;
  }

  /** Counts open circuits of healthy destinations: this courier's pause has caused them. */
  private void countWronglyOut() {
    if (now() < watchedUntilUs && courier instanceof OverloadController control) {
      for (final RouteStatus route : control.routes()) {
        final int destination = (int) route.destinationId();
        if (route.circuitState().equals("OUT")
            && fleet.services.get(destination).isWell()
            && wronglyOut.add(destination)) {
          count(Count.WRONGLY_OUT);
        }
      }
    }
  }

  /** Starts a graceful shutdown, which starts nothing that cannot end by {@code atUs}. */
  void stop(final long atUs) {
    stopping = true;
    courier.onStopping(now(), atUs);
    hasInput = true;
  }

  /** The load balancer notices that this courier is down or shuts down. */
  void updateRouting() {
    routedTo = isUp() && !stopping;
  }

  /** Checks that every message has had its final outcome. */
  void close() {
    open.values().forEach(one -> fleet.statistics.violated("no final outcome for  " + one.id));
  }

  void take(final PendingMessage one) {
    if (paused) {
      unread.add(() -> take(one));
      return;
    }
    if (open.size() >= fleet.scenario.settings().limits().maxPendingMessages()) {
      return;
    }
    open.put(one.id, one);
    courier.onMessage(now(), one.message());
    hasInput = true;
  }

  /** Runs a decision round if there was any input since the last one. */
  void pass() {
    if (!hasInput || courier == null || paused) {
      return;
    }
    hasInput = false;
    courier.decide(now());
    countWronglyOut();
    checkCircuits(true);
    final Map<Long, List<PendingMessage>> sends = new LinkedHashMap<>(outbox);
    outbox.clear();
    sends.forEach(this::call);
  }

  /** Passes a directive from other couriers to the decisions. */
  void onDirective(final int destination, final Directive directive) {
    if (courier instanceof OverloadController control
        && !paused
        && control.onDestinationDirective(now(), destination, directive)) {
      checkCircuits(false);
      hasInput = true;
    }
  }

  /** Records which circuits are open; shares those changes that this courier observed itself. */
  private void checkCircuits(final boolean shares) {
    if (fleet.sharedState == null
        || !(courier instanceof OverloadController control)
        || control.circuitTransitions() == seenTransitions) {
      return;
    }
    seenTransitions = control.circuitTransitions();
    for (final RouteStatus route : control.routes()) {
      final int destination = (int) route.destinationId();
      final boolean isOut = route.circuitState().equals("OUT");
      if ((isOut ? out.add(destination) : out.remove(destination)) && shares) {
        fleet.sharedState.recordOutage(index, destination, isOut);
      }
    }
  }

  /** Shares the permitted rate that a rejection has led to. */
  private void shareLearnedRate(final int destination) {
    if (fleet.sharedState != null && courier instanceof OverloadController control) {
      control.routes().stream()
          .filter(
              route ->
                  route.destinationId() == destination
                      && Double.isFinite(route.permittedPerSecond()))
          .forEach(
              route ->
                  fleet.sharedState.recordLearnedRate(
                      index, destination, route.permittedPerSecond()));
    }
  }

  private long now() {
    return fleet.events.nowUs();
  }

  /** Schedules an action for this process; a later process does not run it. */
  private void in(final long delayUs, final Runnable what) {
    final int planned = incarnation;
    fleet.events.in(
        delayUs,
        () -> {
          if (incarnation == planned && courier != null) {
            if (paused) {
              overdue.add(what);
            } else {
              what.run();
            }
          }
        });
  }

  // ---------------------------------------------------------------- calls

  private void call(final long endpoint, final List<PendingMessage> messages) {
    final SharedDestination service = fleet.services.get(VirtualFleet.destination(endpoint));
    for (int from = 0; from < messages.size(); from += service.shape.messagesPerCall()) {
      final SimulatedCall call = new SimulatedCall(endpoint, now());
      call.messages.addAll(
          messages.subList(
              from, Math.min(messages.size(), from + service.shape.messagesPerCall())));
      for (final PendingMessage one : call.messages) {
        checkAttempt(one, endpoint);
        one.out = call;
        in(timeouts.remove(one.id), () -> giveUp(call, AttemptResult.TIMED_OUT));
      }
      final long wayUs = fleet.wayUs(index, endpoint);
      if (idle.merge(endpoint, 0, Integer::sum) > 0) {
        idle.merge(endpoint, -1, Integer::sum);
        call.connected = true;
        fleet.events.in(wayUs, () -> reach(call, service));
      } else {
        fleet.events.in(wayUs, () -> connect(call, service));
      }
    }
  }

  /** Checks the rules for an attempt. */
  private void checkAttempt(final PendingMessage one, final long endpoint) {
    if (one.out != null) {
      fleet.statistics.violated("two attempts in flight:  " + one.id);
    }
    if (++one.attempts > fleet.scenario.settings().limits().maxAttempts()) {
      fleet.statistics.violated("attempt " + one.attempts + ": " + one.id);
    }
    if (VirtualFleet.destination(endpoint) != one.destination) {
      fleet.statistics.violated("to another destination: " + one.id);
    }
    if (now() < waitUntilUs.getOrDefault(one.destination, 0L)) {
      fleet.statistics.violated("sent before Retry-After elapsed:  " + one.id);
    }
    if (one.ranUs >= 0
        && one.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
        && now() > one.ranUs + one.kind.idempotencyWindowUs()) {
      fleet.statistics.violated("attempt after the deduplication window:  " + one.id);
    }
  }

  private void connect(final SimulatedCall call, final SharedDestination service) {
    if (call.over) {
      return;
    }
    count(Count.HANDSHAKES);
    if (service.isUnresponsive(VirtualFleet.place(call.endpoint), now())) {
      fleet.events.in(CONNECT_US, () -> back(call, AttemptResult.NO_CONNECTION, 0));
      return;
    }
    if (!service.connects(VirtualFleet.place(call.endpoint))) {
      // An excess connection is accepted, and its first call is rejected.
      count(Count.REFUSED_CONNECTIONS);
      fleet.events.in(
          HANDSHAKE_TRIPS * 2 * fleet.wayUs(index, call.endpoint),
          () -> back(call, AttemptResult.REFUSED, 0));
      return;
    }
    call.connected = true;
    fleet.events.in(
        HANDSHAKE_TRIPS * 2 * fleet.wayUs(index, call.endpoint), () -> reach(call, service));
  }

  /** The last byte of a call arrives at the endpoint. */
  private void reach(final SimulatedCall call, final SharedDestination service) {
    if (call.over) {
      return;
    }
    count(Count.CALLS);
    if (service.isUnresponsive(VirtualFleet.place(call.endpoint), now())) {
      return;
    }
    final CallFault fault = service.takes(now());
    if (fault == CallFault.UNREACHABLE) {
      hangUp(call);
      back(call, AttemptResult.NO_CONNECTION, 0);
    } else if (fault == CallFault.REFUSE) {
      count(Count.REFUSED_CALLS);
      back(call, AttemptResult.REFUSED, service.shape.waitUs());
    } else {
      final double items = 1 + 0.15 * (call.messages.size() - 1);
      fleet.events.in(
          (long) (fleet.random.nextExponential() * service.shape.serviceUs() * items),
          () -> back(call, AttemptResult.DELIVERED, 0));
    }
  }

  private void back(final SimulatedCall call, final AttemptResult result, final long waitUs) {
    fleet.events.in(fleet.wayUs(index, call.endpoint), () -> arrive(call, result, waitUs));
  }

  private void arrive(final SimulatedCall call, final AttemptResult result, final long waitUs) {
    if (paused) {
      unread.add(() -> arrive(call, result, waitUs));
    } else if (!call.over) {
      over(call, result, waitUs);
    }
  }

  /** Gives up on a call and closes its connection. */
  private void giveUp(final SimulatedCall call, final AttemptResult result) {
    if (!call.over) {
      call.messages.forEach(one -> mayHaveRun(one, call));
      hangUp(call);
      over(call, result, 0);
    }
  }

  private void over(final SimulatedCall call, final AttemptResult result, final long waitUs) {
    call.over = true;
    if (call.connected) {
      call.connected = false;
      idle.merge(call.endpoint, 1, Integer::sum);
    }
    if (waitUs > 0) {
      waitUntilUs.merge(VirtualFleet.destination(call.endpoint), now() + waitUs, Math::max);
      if (fleet.sharedState != null) {
        fleet.sharedState.recordWait(
            index, VirtualFleet.destination(call.endpoint), now() + waitUs);
      }
    }
    for (final PendingMessage one : call.messages) {
      one.out = null;
      final boolean delivered = result == AttemptResult.DELIVERED;
      if (delivered && open.remove(one.id) != null) {
        fleet.statistics.delivered(fleet.worth(one));
      }
      final boolean measured = !fleet.detectsPauses || health.wasRunningBetween(call.sentUs, now());
      courier.onOutcome(
          now(),
          new AttemptOutcome(
              one.id,
              result,
              delivered,
              call.endpoint,
              measured ? now() - call.sentUs : -1,
              waitUs,
              null));
    }
    if (result == AttemptResult.REFUSED && waitUs == 0) {
      shareLearnedRate(VirtualFleet.destination(call.endpoint));
    }
    hasInput = true;
  }

  private void mayHaveRun(final PendingMessage one, final SimulatedCall call) {
    one.ranUs = one.ranUs < 0 ? call.sentUs : one.ranUs;
    one.ranZone = FleetScenario.zone(VirtualFleet.place(call.endpoint));
  }

  private void hangUp(final SimulatedCall call) {
    if (call.connected) {
      call.connected = false;
      disconnect(call.endpoint, 1);
    }
  }

  private void disconnect(final long endpoint, final int connections) {
    for (int count = 0; count < connections; count++) {
      fleet
          .services
          .get(VirtualFleet.destination(endpoint))
          .disconnected(VirtualFleet.place(endpoint));
    }
  }

  private void count(final Count what) {
    fleet.statistics.count(what, index, now() - VirtualFleet.START_US);
  }

  // ---------------------------------------------------------------- actions requested by the
  // decisions

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>()).add(open.get(messageId));
    timeouts.put(messageId, timeoutUs);
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    count(Count.REFUSED_MESSAGES);
    end(messageId);
  }

  @Override
  public void fail(final String messageId) {
    end(messageId);
  }

  private void end(final String messageId) {
    final PendingMessage one = open.remove(messageId);
    if (one == null) {
      fleet.statistics.violated("a second final outcome:  " + messageId);
    } else if (now() > one.untilUs + GRACE_US && now() <= resumedUs + AT_ONCE_US) {
      // The paused process could not report it earlier; it must do so first and at once.
      count(Count.LATE_BY_PAUSE);
    } else if (now() > Math.max(one.untilUs + GRACE_US, startedUs + SETTLED_US)) {
      fleet.statistics.violated("a late final outcome:  " + messageId);
    }
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final PendingMessage one = open.get(messageId);
    if (one != null && one.out != null) {
      final SimulatedCall out = one.out;
      in(0, () -> giveUp(out, AttemptResult.CANCELLED));
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    disconnect(endpoint, idle.getOrDefault(endpoint, 0));
    idle.remove(endpoint);
  }

  @Override
  public void subscribeToEndpointList() {
    count(Count.LIST_CALLS);
    final long answeredUs = fleet.listing.answeredUs(now());
    if (answeredUs < 0) {
      count(Count.LIST_CALLS_TURNED_AWAY);
      in(1, () -> listed(EndpointUpdate.UNAVAILABLE));
    } else {
      in(answeredUs - now(), () -> listed(EndpointUpdate.COMPLETE_SNAPSHOT));
    }
  }

  private void listed(final EndpointUpdate update) {
    courier.onEndpointList(
        now(), update, update == EndpointUpdate.UNAVAILABLE ? List.of() : fleet.list());
    hasInput = true;
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    in(delayUs, () -> hasInput = true);
  }
}

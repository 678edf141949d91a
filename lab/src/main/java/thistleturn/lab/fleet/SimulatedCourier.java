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
import thistleturn.lab.fleet.FleetTally.Count;
import thistleturn.lab.model.CallFault;

/**
 * One courier of the fleet: its decisions, and what a host does for them. It can be killed at any
 * moment; what its journal holds is taken up by the next process. Its connections are its
 * process's.
 */
final class SimulatedCourier implements DeliveryActions {
  /** Round trips that a handshake takes. */
  private static final int HANDSHAKE_TRIPS = 2;

  /** A connection that does not come up is given up after so long. */
  private static final long CONNECT_US = 1_000_000;

  /** An end is late so long after a message's time, us; none is until so long after a start. */
  private static final long GRACE_US = 300_000;

  private static final long SETTLED_US = 1_500_000;

  /** What ran out while it stood still is ended so soon after, us. */
  private static final long AT_ONCE_US = 50_000;

  /** So long after it stood still its lanes are watched, us. */
  private static final long WATCHED_US = 4_000_000;

  final int index;
  private final VirtualFleet fleet;
  private DeliveryController courier;

  /** Distinguishes processes: what was planned for one that is dead does not happen. */
  private int life;

  private long startedUs;
  private boolean believedUp = true;

  /** It has been told to end, and its clients go elsewhere. */
  private boolean leaving;

  private boolean touched;

  /** It stands still: what its timers and its sockets have for it until it runs again. */
  private boolean frozen;

  private final List<Runnable> overdue = new ArrayList<>();
  private final List<Runnable> unread = new ArrayList<>();
  private LocalHealth health = new LocalHealth(0);

  /**
   * Until when its lanes are watched for having been sent out by its own fault, and those that
   * were.
   */
  private long watchedUntilUs;

  private long thawedUs = Long.MIN_VALUE / 2;
  private final Set<Integer> sentOut = new HashSet<>();

  /**
   * Destinations that it was last known to be out for, and at which count of turns that was looked
   * at.
   */
  private final Set<Integer> out = new HashSet<>();

  private long toldTurns;
  private final Map<String, Open> open = new LinkedHashMap<>();
  private final Map<Long, Integer> idle = new HashMap<>();
  private final Map<Integer, Long> waitUntilUs = new HashMap<>();
  private final Map<Long, List<Open>> outbox = new LinkedHashMap<>();
  private final Map<String, Long> timeouts = new HashMap<>();

  SimulatedCourier(final VirtualFleet fleet, final int index) {
    this.fleet = fleet;
    this.index = index;
  }

  boolean isUp() {
    return courier != null;
  }

  boolean isBelievedUp() {
    return believedUp;
  }

  void start() {
    courier = fleet.make(index, this);
    startedUs = now();
    health = new LocalHealth(now());
    believedUp = true;
    leaving = false;
    courier.onEndpointList(now(), EndpointUpdate.RESTORED_SNAPSHOT, fleet.list());
    open.values().forEach(one -> courier.onMessageResumed(now(), one.message(), one.past()));
    toldTurns = 0;
    out.clear();
    if (fleet.commons != null) {
      fleet.commons.begins(index);
    }
    touched = true;
  }

  /** Its connections break, and what was out may have run. */
  void kill() {
    life++;
    frozen = false;
    overdue.clear();
    unread.clear();
    courier = null;
    touched = false;
    for (final Open one : open.values()) {
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

  /** It stands still from now on, with all that it holds; its last beat lies up to one back. */
  void freeze(final long untilUs) {
    if (courier != null) {
      frozen = true;
      health.recordRun(now());
      health.expectRunBy(now() + (long) (fleet.random.nextDouble() * LocalHealth.TICK_INTERVAL_US));
      watchedUntilUs = untilUs + WATCHED_US;
    }
  }

  /**
   * It runs again. One that knows of its health first reads what came; else its timers come first.
   */
  void thaw() {
    if (!frozen) {
      return;
    }
    frozen = false;
    thawedUs = now();
    final long awayUs = health.recordRun(now());
    final List<Runnable> late = List.copyOf(overdue);
    final List<Runnable> came = List.copyOf(unread);
    overdue.clear();
    unread.clear();
    if (fleet.feels) {
      if (courier instanceof OverloadController control && awayUs > 0) {
        control.onHostPaused(now(), awayUs);
      }
      came.forEach(Runnable::run);
      late.forEach(Runnable::run);
    } else {
      late.forEach(Runnable::run);
      touched = true;
      pass();
      came.forEach(Runnable::run);
    }
    touched = courier != null;
  }

  /** Lanes that are out though their destination is well: this courier's own doing. */
  private void watchLanes() {
    if (now() < watchedUntilUs && courier instanceof OverloadController control) {
      for (final RouteStatus lane : control.routes()) {
        final int destination = (int) lane.destinationId();
        if (lane.circuitState().equals("OUT")
            && fleet.services.get(destination).isWell()
            && sentOut.add(destination)) {
          count(Count.WRONGLY_OUT);
        }
      }
    }
  }

  /** It ends at that moment, and begins nothing that cannot end by then. */
  void stop(final long atUs) {
    leaving = true;
    courier.onStopping(now(), atUs);
    touched = true;
  }

  /** The front has seen that it is dead, or leaves. */
  void noticed() {
    believedUp = isUp() && !leaving;
  }

  /** Every message has had its end. */
  void close() {
    open.values().forEach(one -> fleet.tally.broke("no end for " + one.id));
  }

  void take(final Open one) {
    if (frozen) {
      unread.add(() -> take(one));
      return;
    }
    if (open.size() >= fleet.day.settings().limits().maxPendingMessages()) {
      return;
    }
    open.put(one.id, one);
    courier.onMessage(now(), one.message());
    touched = true;
  }

  /** Lets it decide, if something was told. */
  void pass() {
    if (!touched || courier == null || frozen) {
      return;
    }
    touched = false;
    courier.decide(now());
    watchLanes();
    turned(true);
    final Map<Long, List<Open>> sends = new LinkedHashMap<>(outbox);
    outbox.clear();
    sends.forEach(this::call);
  }

  /** Something is said to its decisions by others. */
  void say(final int destination, final Directive word) {
    if (courier instanceof OverloadController control
        && !frozen
        && control.onDestinationDirective(now(), destination, word)) {
      turned(false);
      touched = true;
    }
  }

  /** Looks which destinations are out; what it found out by itself it tells. */
  private void turned(final boolean tells) {
    if (fleet.commons == null
        || !(courier instanceof OverloadController control)
        || control.circuitTransitions() == toldTurns) {
      return;
    }
    toldTurns = control.circuitTransitions();
    for (final RouteStatus lane : control.routes()) {
      final int destination = (int) lane.destinationId();
      final boolean isOut = lane.circuitState().equals("OUT");
      if ((isOut ? out.add(destination) : out.remove(destination)) && tells) {
        fleet.commons.turned(index, destination, isOut);
      }
    }
  }

  /** What a refusal taught it goes to the others: the rate that it keeps to since. */
  private void learnt(final int destination) {
    if (fleet.commons != null && courier instanceof OverloadController control) {
      control.routes().stream()
          .filter(
              lane ->
                  lane.destinationId() == destination && Double.isFinite(lane.permittedPerSecond()))
          .forEach(lane -> fleet.commons.learnt(index, destination, lane.permittedPerSecond()));
    }
  }

  private long now() {
    return fleet.agenda.nowUs();
  }

  /** Plans something for this process. */
  private void in(final long delayUs, final Runnable what) {
    final int planned = life;
    fleet.agenda.in(
        delayUs,
        () -> {
          if (life == planned && courier != null) {
            if (frozen) {
              overdue.add(what);
            } else {
              what.run();
            }
          }
        });
  }

  // ---------------------------------------------------------------- calls

  private void call(final long endpoint, final List<Open> messages) {
    final SimulatedService service = fleet.services.get(VirtualFleet.destination(endpoint));
    for (int from = 0; from < messages.size(); from += service.shape.messagesPerCall()) {
      final CallOut call = new CallOut(endpoint, now());
      call.messages.addAll(
          messages.subList(
              from, Math.min(messages.size(), from + service.shape.messagesPerCall())));
      for (final Open one : call.messages) {
        watch(one, endpoint);
        one.out = call;
        in(timeouts.remove(one.id), () -> giveUp(call, AttemptResult.TIMED_OUT));
      }
      final long wayUs = fleet.wayUs(index, endpoint);
      if (idle.merge(endpoint, 0, Integer::sum) > 0) {
        idle.merge(endpoint, -1, Integer::sum);
        call.connected = true;
        fleet.agenda.in(wayUs, () -> reach(call, service));
      } else {
        fleet.agenda.in(wayUs, () -> connect(call, service));
      }
    }
  }

  /** What a send must not do. */
  private void watch(final Open one, final long endpoint) {
    if (one.out != null) {
      fleet.tally.broke("two copies out: " + one.id);
    }
    if (++one.attempts > fleet.day.settings().limits().maxAttempts()) {
      fleet.tally.broke("attempt " + one.attempts + ": " + one.id);
    }
    if (VirtualFleet.destination(endpoint) != one.destination) {
      fleet.tally.broke("to another destination: " + one.id);
    }
    if (now() < waitUntilUs.getOrDefault(one.destination, 0L)) {
      fleet.tally.broke("a wait not heeded: " + one.id);
    }
    if (one.ranUs >= 0
        && one.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
        && now() > one.ranUs + one.kind.idempotencyWindowUs()) {
      fleet.tally.broke("again after its key was forgotten: " + one.id);
    }
  }

  private void connect(final CallOut call, final SimulatedService service) {
    if (call.over) {
      return;
    }
    count(Count.HANDSHAKES);
    if (service.isSilent(VirtualFleet.place(call.endpoint), now())) {
      fleet.agenda.in(CONNECT_US, () -> back(call, AttemptResult.NO_CONNECTION, 0));
      return;
    }
    if (!service.connects(VirtualFleet.place(call.endpoint))) {
      // One connection too many is taken, and its first call turned away.
      count(Count.REFUSED_CONNECTIONS);
      fleet.agenda.in(
          HANDSHAKE_TRIPS * 2 * fleet.wayUs(index, call.endpoint),
          () -> back(call, AttemptResult.REFUSED, 0));
      return;
    }
    call.connected = true;
    fleet.agenda.in(
        HANDSHAKE_TRIPS * 2 * fleet.wayUs(index, call.endpoint), () -> reach(call, service));
  }

  /** Its last byte comes to the endpoint. */
  private void reach(final CallOut call, final SimulatedService service) {
    if (call.over) {
      return;
    }
    count(Count.CALLS);
    if (service.isSilent(VirtualFleet.place(call.endpoint), now())) {
      return;
    }
    final CallFault fate = service.takes(now());
    if (fate == CallFault.UNREACHABLE) {
      hangUp(call);
      back(call, AttemptResult.NO_CONNECTION, 0);
    } else if (fate == CallFault.REFUSE) {
      count(Count.REFUSED_CALLS);
      back(call, AttemptResult.REFUSED, service.shape.waitUs());
    } else {
      final double items = 1 + 0.15 * (call.messages.size() - 1);
      fleet.agenda.in(
          (long) (fleet.random.nextExponential() * service.shape.serviceUs() * items),
          () -> back(call, AttemptResult.DELIVERED, 0));
    }
  }

  private void back(final CallOut call, final AttemptResult result, final long waitUs) {
    fleet.agenda.in(fleet.wayUs(index, call.endpoint), () -> come(call, result, waitUs));
  }

  private void come(final CallOut call, final AttemptResult result, final long waitUs) {
    if (frozen) {
      unread.add(() -> come(call, result, waitUs));
    } else if (!call.over) {
      over(call, result, waitUs);
    }
  }

  /** Nobody waits for it any more: its connection is closed. */
  private void giveUp(final CallOut call, final AttemptResult result) {
    if (!call.over) {
      call.messages.forEach(one -> mayHaveRun(one, call));
      hangUp(call);
      over(call, result, 0);
    }
  }

  private void over(final CallOut call, final AttemptResult result, final long waitUs) {
    call.over = true;
    if (call.connected) {
      call.connected = false;
      idle.merge(call.endpoint, 1, Integer::sum);
    }
    if (waitUs > 0) {
      waitUntilUs.merge(VirtualFleet.destination(call.endpoint), now() + waitUs, Math::max);
      if (fleet.commons != null) {
        fleet.commons.waits(index, VirtualFleet.destination(call.endpoint), now() + waitUs);
      }
    }
    for (final Open one : call.messages) {
      one.out = null;
      final boolean delivered = result == AttemptResult.DELIVERED;
      if (delivered && open.remove(one.id) != null) {
        fleet.tally.delivered(fleet.worth(one));
      }
      final boolean measured = !fleet.feels || health.wasRunningBetween(call.sentUs, now());
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
      learnt(VirtualFleet.destination(call.endpoint));
    }
    touched = true;
  }

  private void mayHaveRun(final Open one, final CallOut call) {
    one.ranUs = one.ranUs < 0 ? call.sentUs : one.ranUs;
    one.ranZone = FleetDay.zone(VirtualFleet.place(call.endpoint));
  }

  private void hangUp(final CallOut call) {
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
    fleet.tally.count(what, index, now() - VirtualFleet.START_US);
  }

  // ---------------------------------------------------------------- what the decisions ask for

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
    final Open one = open.remove(messageId);
    if (one == null) {
      fleet.tally.broke("a second end: " + messageId);
    } else if (now() > one.untilUs + GRACE_US && now() <= thawedUs + AT_ONCE_US) {
      // It could not have been told sooner; that it is told first and at once is all that can be
      // asked.
      count(Count.LATE_BY_PAUSE);
    } else if (now() > Math.max(one.untilUs + GRACE_US, startedUs + SETTLED_US)) {
      fleet.tally.broke("a late end: " + messageId);
    }
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final Open one = open.get(messageId);
    if (one != null && one.out != null) {
      final CallOut out = one.out;
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
    touched = true;
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    in(delayUs, () -> touched = true);
  }
}

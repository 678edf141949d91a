package thistleturn.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * A controller under a scripted clock that records its actions, with short methods for the events.
 */
final class ScriptedController implements DeliveryActions {
  static final long MS = 1000;
  static final long SECOND = 1_000_000;
  static final long DESTINATION = 57;

  /** A recorded {@link #send}. */
  record SentCall(String id, long endpoint, long timeoutUs, long atUs) {}

  final List<SentCall> sentCalls = new ArrayList<>();
  final List<String> shedMessages = new ArrayList<>();
  final List<String> failedMessages = new ArrayList<>();
  final List<String> cancelledAttempts = new ArrayList<>();
  final List<Long> endpointsClosedIdle = new ArrayList<>();
  int subscriptions;
  final OverloadController controller;
  long nowUs = 5 * SECOND;
  private final List<Long> wakeUps = new ArrayList<>();
  private final Map<String, Integer> outcomes = new LinkedHashMap<>();

  ScriptedController(final DeliverySettings settings) {
    this(settings, 42);
  }

  ScriptedController(final DeliverySettings settings, final long seed) {
    this.controller = new OverloadController(settings, seed, this);
  }

  /**
   * Returns a well-mixed seed for a courier of a fleet: adjacent seeds would give similar first
   * draws.
   */
  static long seed(final int courier) {
    return (courier + 1) * 0x9E3779B97F4A7C15L;
  }

  /** Returns a controller with two endpoints of one destination, listed from the start. */
  static ScriptedController withTwoEndpoints(final DeliverySettings settings) {
    final ScriptedController scripted = new ScriptedController(settings);
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        endpoint(1, DESTINATION, "a"),
        endpoint(2, DESTINATION, "b"));
    return scripted;
  }

  static Endpoint endpoint(final long id, final long destination, final String zone) {
    return new Endpoint(id, EndpointState.LISTED, zone, 1, 0, destination);
  }

  static Endpoint endpointInState(final EndpointState state, final long id) {
    return new Endpoint(id, state, "a", 1, 0, DESTINATION);
  }

  /**
   * Settings in which all classes of the tests occur: 0 idempotent, 1 idempotent by key, 2
   * non-idempotent, 3 ordered by key, 4 with a key scoped to its zone.
   */
  static DeliverySettings settings(
      final int concurrencyLimit,
      final int maxBatchSize,
      final boolean separateRoutes,
      final boolean subscribes) {
    final List<MessageClass> classes =
        List.of(
            messageClass("safe", Idempotence.IDEMPOTENT, false, false, 2),
            messageClass("keyed", Idempotence.IDEMPOTENT_BY_KEY, false, false, 1),
            messageClass("unsafe", Idempotence.NON_IDEMPOTENT, false, false, 1),
            messageClass("ordered", Idempotence.IDEMPOTENT, false, true, 1),
            messageClass("zoned", Idempotence.IDEMPOTENT_BY_KEY, true, false, 1));
    return settings(
        concurrencyLimit, maxBatchSize, separateRoutes, subscribes, WeightMeaning.NONE, classes);
  }

  private static DeliverySettings settings(
      final int concurrencyLimit,
      final int maxBatchSize,
      final boolean separateRoutes,
      final boolean subscribes,
      final WeightMeaning weightMeaning,
      final List<MessageClass> classes) {
    return new DeliverySettings(
        2,
        "a",
        subscribes,
        weightMeaning,
        ValueDecay.LINEAR,
        classes,
        List.of(),
        List.of(new DestinationKind("std", separateRoutes, maxBatchSize)),
        new Guarantees(10 * SECOND, 0.2, 10 * SECOND, 2, 3 * SECOND),
        new ResourceLimits(concurrencyLimit, 40, 8, true, 10 * SECOND, 1, 2 * SECOND));
  }

  /** As {@link #settings()}, where the reported limit is exact. */
  static DeliverySettings withReportedLimit() {
    return settings(16, 1, false, false, WeightMeaning.NOMINAL, settings().classes());
  }

  static DeliverySettings settings() {
    return settings(16, 1, false, false);
  }

  /** As {@link #settings()}, in a fleet of the given number of couriers. */
  static DeliverySettings fleetOf(final int couriers) {
    return fleetOf(couriers, settings());
  }

  /** As {@link #withReportedLimit()}, in a fleet of the given number of couriers. */
  static DeliverySettings fleetWithReportedLimit(final int couriers) {
    return fleetOf(couriers, withReportedLimit());
  }

  private static DeliverySettings fleetOf(final int couriers, final DeliverySettings base) {
    return new DeliverySettings(
        couriers,
        base.zone(),
        base.subscribesToEndpointList(),
        base.weightMeaning(),
        base.valueDecay(),
        base.classes(),
        base.tenants(),
        base.kinds(),
        base.guarantees(),
        base.limits());
  }

  private static MessageClass messageClass(
      final String name,
      final Idempotence idempotence,
      final boolean keyScopedToZone,
      final boolean orderedByKey,
      final double priorityWeight) {
    return new MessageClass(
        name,
        idempotence,
        keyScopedToZone,
        orderedByKey,
        priorityWeight,
        0.5,
        2 * SECOND,
        16 * SECOND,
        6 * SECOND);
  }

  void applyEndpointList(final EndpointUpdate update, final Endpoint... entries) {
    controller.onEndpointList(nowUs, update, List.of(entries));
    controller.decide(nowUs);
  }

  void accept(final String id, final int classIndex) {
    accept(id, classIndex, null, 16 * SECOND);
  }

  void accept(final String id, final int classIndex, final String key, final long timeToLiveUs) {
    controller.onMessage(
        nowUs, new Message(id, classIndex, -1, key, nowUs + timeToLiveUs, DESTINATION));
    controller.decide(nowUs);
  }

  /** Accepts a message for a given destination. */
  void acceptFor(final String id, final int classIndex, final long destination) {
    controller.onMessage(
        nowUs, new Message(id, classIndex, -1, null, nowUs + 16 * SECOND, destination));
    controller.decide(nowUs);
  }

  /** Reports the outcome of the last attempt of a message, and runs a decision round. */
  void endAttempt(final String id, final AttemptResult result) {
    endAttempt(id, result, 0);
  }

  void endAttempt(final String id, final AttemptResult result, final long retryAfterUs) {
    reportOutcome(id, result, retryAfterUs);
    controller.decide(nowUs);
  }

  /** As {@link #endAttempt}, without a decision round. */
  void reportOutcome(final String id, final AttemptResult result, final long retryAfterUs) {
    final SentCall last = lastCall(id);
    outcomes.merge(id, 1, Integer::sum);
    controller.onOutcome(
        nowUs,
        new AttemptOutcome(
            id,
            result,
            result == AttemptResult.DELIVERED,
            last.endpoint(),
            nowUs - last.atUs(),
            retryAfterUs,
            null));
  }

  /** Advances the clock, with the decision rounds that were scheduled meanwhile. */
  void advance(final long us) {
    final long until = nowUs + us;
    while (true) {
      final long next = wakeUps.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
      if (next > until) {
        nowUs = until;
        return;
      }
      nowUs = next;
      final long due = next;
      wakeUps.removeIf(at -> at <= due);
      controller.decide(nowUs);
    }
  }

  SentCall lastCall(final String id) {
    return sentCalls.stream()
        .filter(send -> send.id().equals(id))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  /** Returns the number of attempts of a message that have their outcome. */
  long endedAttempts(final String id) {
    return outcomes.getOrDefault(id, 0);
  }

  long attempts(final String id) {
    return sentCalls.stream().filter(send -> send.id().equals(id)).count();
  }

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    sentCalls.add(new SentCall(messageId, endpoint, timeoutUs, nowUs));
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    shedMessages.add(messageId);
  }

  @Override
  public void fail(final String messageId) {
    failedMessages.add(messageId);
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    cancelledAttempts.add(messageId + "/" + attempt);
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    endpointsClosedIdle.add(endpoint);
  }

  @Override
  public void subscribeToEndpointList() {
    subscriptions++;
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    wakeUps.add(nowUs + delayUs);
  }
}

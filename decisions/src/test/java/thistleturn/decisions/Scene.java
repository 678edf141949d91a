package thistleturn.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A scripted courier for tests: a made-up clock, recorded actions, and short words for the events.
 */
final class Scene implements Courier.Actions {
  static final long MS = 1000;
  static final long SECOND = 1_000_000;
  static final long DEST = 57;

  /** A send that was recorded. */
  record Sent(String id, long endpoint, long timeoutUs, long atUs) {}

  final List<Sent> sent = new ArrayList<>();
  final List<String> refused = new ArrayList<>();
  final List<String> failed = new ArrayList<>();
  final List<String> cancelled = new ArrayList<>();
  final List<Long> closed = new ArrayList<>();
  int follows;
  final Control control;
  long nowUs = 5 * SECOND;
  private final List<Long> reminders = new ArrayList<>();
  private final Map<String, Integer> outcomes = new LinkedHashMap<>();

  Scene(final Courier.Settings settings) {
    this(settings, 42);
  }

  Scene(final Courier.Settings settings, final long seed) {
    this.control = new Control(settings, seed, this);
  }

  /** Well-mixed seeds for a fleet: neighbouring ones would begin alike. */
  static long seed(final int courier) {
    return (courier + 1) * 0x9E3779B97F4A7C15L;
  }

  /** Two endpoints of one destination, listed from the start. */
  static Scene withTwoEndpoints(final Courier.Settings settings) {
    final Scene scene = new Scene(settings);
    scene.list(Courier.Update.RESTORED, endpoint(1, DEST, "a"), endpoint(2, DEST, "b"));
    return scene;
  }

  static Courier.Endpoint endpoint(final long id, final long destination, final String zone) {
    return new Courier.Endpoint(id, Courier.Condition.LISTED, zone, 1, 0, destination);
  }

  static Courier.Endpoint in(final Courier.Condition condition, final long id) {
    return new Courier.Endpoint(id, condition, "a", 1, 0, DEST);
  }

  /**
   * Settings in which all classes of the tests occur: 0 safe, 1 keyed, 2 unsafe, 3 in turn, 4 keyed
   * by zone.
   */
  static Courier.Settings settings(
      final int slots, final int perCall, final boolean apart, final boolean ask) {
    final List<Courier.MessageClass> classes =
        List.of(
            kind("safe", Courier.Effect.SAFE, false, false, 2),
            kind("keyed", Courier.Effect.KEYED, false, false, 1),
            kind("unsafe", Courier.Effect.UNSAFE, false, false, 1),
            kind("turn", Courier.Effect.SAFE, false, true, 1),
            kind("zoned", Courier.Effect.KEYED, true, false, 1));
    return settings(slots, perCall, apart, ask, Courier.Weights.NONE, classes);
  }

  private static Courier.Settings settings(
      final int slots,
      final int perCall,
      final boolean apart,
      final boolean ask,
      final Courier.Weights weights,
      final List<Courier.MessageClass> classes) {
    return new Courier.Settings(
        2,
        "a",
        ask,
        weights,
        Courier.Fade.LINEAR,
        classes,
        List.of(),
        List.of(new Courier.Kind("std", apart, perCall)),
        new Courier.Guarantees(10 * SECOND, 0.2, 10 * SECOND, 2, 3 * SECOND),
        new Courier.Limits(slots, 40, 8, true, 10 * SECOND, 1, 2 * SECOND));
  }

  /** As {@link #settings()}, with the limit told exactly. */
  static Courier.Settings told() {
    return settings(16, 1, false, false, Courier.Weights.NOMINAL, settings().classes());
  }

  static Courier.Settings settings() {
    return settings(16, 1, false, false);
  }

  /** As {@link #settings()}, in a fleet of so many couriers. */
  static Courier.Settings fleetOf(final int couriers) {
    return fleetOf(couriers, settings());
  }

  /** As {@link #told()}, in a fleet of so many couriers. */
  static Courier.Settings toldFleetOf(final int couriers) {
    return fleetOf(couriers, told());
  }

  private static Courier.Settings fleetOf(final int couriers, final Courier.Settings few) {
    return new Courier.Settings(
        couriers,
        few.zone(),
        few.listOnRequest(),
        few.weights(),
        few.fade(),
        few.classes(),
        few.tenants(),
        few.kinds(),
        few.guarantees(),
        few.limits());
  }

  private static Courier.MessageClass kind(
      final String name,
      final Courier.Effect effect,
      final boolean zoneKeyed,
      final boolean inTurn,
      final double worth) {
    return new Courier.MessageClass(
        name, effect, zoneKeyed, inTurn, worth, 0.5, 2 * SECOND, 16 * SECOND, 6 * SECOND);
  }

  void list(final Courier.Update update, final Courier.Endpoint... entries) {
    control.onList(nowUs, update, List.of(entries));
    control.decide(nowUs);
  }

  void take(final String id, final int kind) {
    take(id, kind, null, 16 * SECOND);
  }

  void take(final String id, final int kind, final String key, final long lifeUs) {
    control.onMessage(nowUs, new Courier.Message(id, kind, -1, key, nowUs + lifeUs, DEST));
    control.decide(nowUs);
  }

  /** Takes a message for another destination. */
  void takeFor(final String id, final int kind, final long destination) {
    control.onMessage(
        nowUs, new Courier.Message(id, kind, -1, null, nowUs + 16 * SECOND, destination));
    control.decide(nowUs);
  }

  /** Ends the last attempt of a message. */
  void end(final String id, final Courier.Result result) {
    end(id, result, 0);
  }

  void end(final String id, final Courier.Result result, final long waitUs) {
    tell(id, result, waitUs);
    control.decide(nowUs);
  }

  /** As {@link #end}, without letting the courier decide yet. */
  void tell(final String id, final Courier.Result result, final long waitUs) {
    final Sent last = last(id);
    outcomes.merge(id, 1, Integer::sum);
    control.onOutcome(
        nowUs,
        new Courier.Outcome(
            id,
            result,
            result == Courier.Result.DELIVERED,
            last.endpoint(),
            nowUs - last.atUs(),
            waitUs,
            null));
  }

  /** Lets time pass, with the reminders that were asked for. */
  void pass(final long us) {
    final long until = nowUs + us;
    while (true) {
      final long next = reminders.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
      if (next > until) {
        nowUs = until;
        return;
      }
      nowUs = next;
      final long due = next;
      reminders.removeIf(at -> at <= due);
      control.decide(nowUs);
    }
  }

  Sent last(final String id) {
    return sent.stream()
        .filter(send -> send.id().equals(id))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  /** Attempts of a message that have their outcome. */
  long ended(final String id) {
    return outcomes.getOrDefault(id, 0);
  }

  long count(final String id) {
    return sent.stream().filter(send -> send.id().equals(id)).count();
  }

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    sent.add(new Sent(messageId, endpoint, timeoutUs, nowUs));
  }

  @Override
  public void refuse(final String messageId, final long retryAfterUs) {
    refused.add(messageId);
  }

  @Override
  public void fail(final String messageId) {
    failed.add(messageId);
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    cancelled.add(messageId + "/" + attempt);
  }

  @Override
  public void closeIdle(final long endpoint) {
    closed.add(endpoint);
  }

  @Override
  public void follow() {
    follows++;
  }

  @Override
  public void wake(final long delayUs) {
    reminders.add(nowUs + delayUs);
  }
}

package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
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
 * Behaviour at large sizes, in virtual time. The limit on real time is wide: all tests take a few
 * seconds as long as the cost of a round depends on what has changed.
 */
@Tag("scale")
@Timeout(60)
final class ScaleTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final long UNRESPONSIVE = -1;

  /** An outcome that is yet to be reported, or a wake-up (without a message). */
  private record ScheduledEvent(
      long atUs, long sequence, String messageId, long endpoint, long sentUs) {}

  /**
   * A host in virtual time whose endpoints answer after a delay or never; it keeps the state of
   * each message.
   */
  private static final class SimulatedHost implements DeliveryActions {
    private final Map<Long, Long> responseDelaysUs = new HashMap<>();
    private final Map<Long, Long> retryAfterUntilUs = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> scheduled =
        new PriorityQueue<>(
            (first, second) ->
                first.atUs() != second.atUs()
                    ? Long.compare(first.atUs(), second.atUs())
                    : Long.compare(first.sequence(), second.sequence()));
    private final Map<String, Long> deadlinesUs = new HashMap<>();
    private final Map<Long, Integer> calls = new HashMap<>();
    private final Map<String, Long> outstanding = new HashMap<>();
    private final OverloadController controller;
    private long nowUs = 1000 * SECOND;
    private long nextSequence;
    private int deliveredCount;
    private int shedCount;
    private int lateCount;
    private int rounds;

    private SimulatedHost(final int concurrencyLimit, final int maxPendingMessages) {
      final List<MessageClass> classes =
          List.of(
              new MessageClass(
                  "low-priority",
                  Idempotence.IDEMPOTENT,
                  false,
                  false,
                  1,
                  0,
                  SECOND,
                  20 * SECOND,
                  0),
              new MessageClass(
                  "high-priority",
                  Idempotence.IDEMPOTENT,
                  false,
                  false,
                  5,
                  0,
                  SECOND,
                  20 * SECOND,
                  0));
      controller =
          new OverloadController(
              new DeliverySettings(
                  1,
                  "a",
                  false,
                  WeightMeaning.NONE,
                  ValueDecay.LINEAR,
                  classes,
                  List.of(),
                  List.of(new DestinationKind("std", false, 1)),
                  new Guarantees(10 * SECOND, 0.2, 5 * SECOND, 2, 0),
                  new ResourceLimits(
                      concurrencyLimit, maxPendingMessages, 8, true, 10 * SECOND, 1, 2 * SECOND)),
              7,
              this);
    }

    private void addEndpoint(final long destination, final long delayUs) {
      responseDelaysUs.put(destination, delayUs);
      updateEndpoint(destination, EndpointState.LISTED);
    }

    private void updateEndpoint(final long destination, final EndpointState state) {
      controller.onEndpointList(
          nowUs,
          EndpointUpdate.CHANGES,
          List.of(new Endpoint(destination, state, "a", 0, 0, destination)));
    }

    private String accept(final int classIndex, final long destination, final long timeToLiveUs) {
      final String id = "m" + nextSequence++;
      deadlinesUs.put(id, nowUs + timeToLiveUs);
      controller.onMessage(
          nowUs, new Message(id, classIndex, -1, null, nowUs + timeToLiveUs, destination));
      return id;
    }

    private void decide() {
      rounds++;
      controller.decide(nowUs);
    }

    /** Advances the clock to a given time, with all events that are due by then. */
    private void runUntil(final long untilUs) {
      decide();
      while (!scheduled.isEmpty() && scheduled.peek().atUs() <= untilUs) {
        nowUs = Math.max(nowUs, scheduled.peek().atUs());
        while (!scheduled.isEmpty() && scheduled.peek().atUs() <= nowUs) {
          process(scheduled.poll());
        }
        decide();
      }
      nowUs = untilUs;
      decide();
    }

    private void process(final ScheduledEvent event) {
      if (event.messageId() == null
          || !Long.valueOf(event.sequence()).equals(outstanding.get(event.messageId()))) {
        return;
      }
      outstanding.remove(event.messageId());
      final boolean unresponsive = responseDelaysUs.get(event.endpoint()) == UNRESPONSIVE;
      final long waitUs = retryAfterUntilUs.getOrDefault(event.endpoint(), 0L) - nowUs;
      final AttemptResult result =
          unresponsive
              ? AttemptResult.TIMED_OUT
              : waitUs > 0 ? AttemptResult.REFUSED : AttemptResult.DELIVERED;
      if (result == AttemptResult.DELIVERED) {
        deadlinesUs.remove(event.messageId());
        deliveredCount++;
      }
      controller.onOutcome(
          nowUs,
          new AttemptOutcome(
              event.messageId(),
              result,
              result == AttemptResult.DELIVERED || !deadlinesUs.containsKey(event.messageId()),
              event.endpoint(),
              nowUs - event.sentUs(),
              Math.max(0, waitUs),
              null));
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      calls.merge(endpoint, 1, Integer::sum);
      final long delayUs =
          responseDelaysUs.get(endpoint) == UNRESPONSIVE
              ? timeoutUs
              : responseDelaysUs.get(endpoint);
      final ScheduledEvent answer =
          new ScheduledEvent(nowUs + delayUs, nextSequence++, messageId, endpoint, nowUs);
      outstanding.put(messageId, answer.sequence());
      scheduled.add(answer);
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      shedCount++;
      final Long untilUs = deadlinesUs.remove(messageId);
      assertTrue(untilUs != null, "ended twice: " + messageId);
      lateCount += nowUs > untilUs ? 1 : 0;
    }

    @Override
    public void fail(final String messageId) {
      throw new AssertionError("all messages of these tests may be shed");
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      scheduled.add(
          new ScheduledEvent(nowUs, outstanding.get(messageId), messageId, UNRESPONSIVE, nowUs));
      responseDelaysUs.put(UNRESPONSIVE, UNRESPONSIVE);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      // There are no connections here.
    }

    @Override
    public void subscribeToEndpointList() {
      throw new AssertionError("the endpoint list is pushed in these tests");
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      scheduled.add(new ScheduledEvent(nowUs + delayUs, nextSequence++, null, 0, 0));
    }
  }

  @Test
  void unresponsiveDestinationWith100000Messages_doesNotDelayOthers() {
    final SimulatedHost host = new SimulatedHost(200, 300_000);
    host.addEndpoint(1, UNRESPONSIVE);
    for (long destination = 2; destination <= 21; destination++) {
      host.addEndpoint(destination, 5 * MS);
    }
    for (int count = 0; count < 100_000; count++) {
      host.accept(0, 1, 20 * SECOND);
    }
    host.decide();
    int accepted = 0;
    for (int tick = 0; tick < 4_000; tick++) {
      host.accept(0, 2 + tick % 20, 10 * SECOND);
      accepted++;
      host.runUntil(host.nowUs + 5 * MS);
    }
    host.runUntil(host.nowUs + 12 * SECOND);
    assertEquals(accepted, host.deliveredCount, "all messages to the other destinations");
    assertEquals(100_000, host.shedCount);
    assertEquals(0, host.lateCount);
    assertTrue(
        host.calls.get(1L) < 400, "calls to the unresponsive destination: " + host.calls.get(1L));
  }

  @Test
  void deadlines100000InOneMillisecond_areMet() {
    final SimulatedHost host = new SimulatedHost(50, 300_000);
    host.addEndpoint(1, UNRESPONSIVE);
    for (int count = 0; count < 100_000; count++) {
      host.accept(0, 1, 15 * SECOND + count % 1000);
    }
    host.runUntil(host.nowUs + 16 * SECOND);
    assertEquals(100_000, host.shedCount);
    assertEquals(0, host.lateCount);
  }

  @Test
  void allRetryAftersEndTogether_areHandled() {
    final SimulatedHost host = new SimulatedHost(2_000, 300_000);
    final long endUs = host.nowUs + 3 * SECOND;
    for (long destination = 1; destination <= 10_000; destination++) {
      host.addEndpoint(destination, MS);
      host.retryAfterUntilUs.put(destination, endUs);
      host.accept(0, destination, 15 * SECOND);
    }
    host.runUntil(endUs - 1);
    assertEquals(0, host.deliveredCount);
    for (long destination = 1; destination <= 10_000; destination++) {
      assertEquals(
          1,
          host.calls.getOrDefault(destination, 0),
          "the Retry-After is observed by destination " + destination);
    }
    host.runUntil(endUs + 8 * SECOND);
    assertEquals(10_000, host.deliveredCount);
    assertTrue(host.rounds < 60_000, "rounds: " + host.rounds);
  }

  @Test
  void destinations10000_areAddedDrainedAndRemovedWithinOneSecond() {
    final SimulatedHost host = new SimulatedHost(500, 100_000);
    for (long destination = 1; destination <= 10_000; destination++) {
      host.addEndpoint(destination, 2 * MS);
      host.accept(0, destination, 18 * SECOND);
      if (destination % 100 == 0) {
        host.runUntil(host.nowUs + MS);
      }
    }
    for (long destination = 1; destination <= 10_000; destination++) {
      host.updateEndpoint(destination, EndpointState.DRAINING);
    }
    host.decide();
    final Map<Long, Integer> before = Map.copyOf(host.calls);
    for (long destination = 1; destination <= 10_000; destination++) {
      host.updateEndpoint(destination, EndpointState.GONE);
    }
    for (long destination = 1; destination <= 10_000; destination++) {
      host.accept(0, destination, 5 * SECOND);
    }
    host.runUntil(host.nowUs + 20 * SECOND);
    assertEquals(before, host.calls, "no new call to a draining or gone endpoint");
    assertEquals(20_000, host.deliveredCount + host.shedCount);
    assertEquals(0, host.lateCount);
    host.runUntil(host.nowUs + 62 * SECOND);
    assertEquals(0, host.controller.destinationCount(), "no destination is kept");
  }

  /**
   * The message store is full for two minutes: the least valuable messages are shed, the most
   * valuable are delivered, and none ends late.
   */
  @Test
  void fullStore_servesHighestPriorityFirst() {
    final SimulatedHost host = new SimulatedHost(20, 20_000);
    for (long destination = 1; destination <= 10; destination++) {
      host.addEndpoint(destination, 20 * MS);
    }
    int highPriority = 0;
    for (int tick = 0; tick < 2_400; tick++) {
      for (int count = 0; count < 100; count++) {
        highPriority += count % 10 == 0 ? 1 : 0;
        host.accept(count % 10 == 0 ? 1 : 0, 1 + count % 7, 20 * SECOND);
      }
      host.runUntil(host.nowUs + 50 * MS);
    }
    assertEquals(0, host.lateCount);
    assertTrue(host.deadlinesUs.size() <= 20_000, "pending: " + host.deadlinesUs.size());
    assertTrue(
        highPriority > 20_000 && host.deliveredCount > 60_000, "delivered: " + host.deliveredCount);
  }

  /**
   * Nothing is polled while there is nothing to do, however many destinations are known and
   * messages wait.
   */
  @Test
  void idleDestinations_areNotPolled() {
    final SimulatedHost host = new SimulatedHost(100, 300_000);
    for (long destination = 1; destination <= 1_000; destination++) {
      host.addEndpoint(destination, MS);
      host.updateEndpoint(destination, EndpointState.DRAINING);
      for (int count = 0; count < 20; count++) {
        host.accept(0, destination, 19 * SECOND);
      }
    }
    final int before = host.rounds;
    host.runUntil(host.nowUs + 18 * SECOND);
    assertTrue(host.rounds - before < 25, "rounds in 18 s: " + (host.rounds - before));
    assertEquals(0, host.shedCount);
  }
}

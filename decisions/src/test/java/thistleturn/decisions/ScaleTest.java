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
 * What large sizes bring, in virtual time. The bound on real time is wide: all of this takes a few
 * seconds where a pass costs what has changed.
 */
@Tag("scale")
@Timeout(60)
final class ScaleTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final long SILENT = -1;

  /** An outcome on its way, or a wake-up (no message). */
  private record Due(long atUs, long number, String messageId, long endpoint, long sentUs) {}

  /** Endpoints that answer after a while, or never; what is asked for is kept by message. */
  private static final class World implements DeliveryActions {
    private final Map<Long, Long> delaysUs = new HashMap<>();
    private final Map<Long, Long> waitsUs = new HashMap<>();
    private final PriorityQueue<Due> due =
        new PriorityQueue<>(
            (one, other) ->
                one.atUs() != other.atUs()
                    ? Long.compare(one.atUs(), other.atUs())
                    : Long.compare(one.number(), other.number()));
    private final Map<String, Long> openUntilUs = new HashMap<>();
    private final Map<Long, Integer> calls = new HashMap<>();
    private final Map<String, Long> outAt = new HashMap<>();
    private final OverloadController control;
    private long nowUs = 1000 * SECOND;
    private long numbers;
    private int delivered;
    private int refused;
    private int late;
    private int passes;

    private World(final int slots, final int maxOpen) {
      final List<MessageClass> classes =
          List.of(
              new MessageClass(
                  "safe", Idempotence.IDEMPOTENT, false, false, 1, 0, SECOND, 20 * SECOND, 0),
              new MessageClass(
                  "dear", Idempotence.IDEMPOTENT, false, false, 5, 0, SECOND, 20 * SECOND, 0));
      control =
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
                  new ResourceLimits(slots, maxOpen, 8, true, 10 * SECOND, 1, 2 * SECOND)),
              7,
              this);
    }

    private void endpoint(final long destination, final long delayUs) {
      delaysUs.put(destination, delayUs);
      list(destination, EndpointState.LISTED);
    }

    private void list(final long destination, final EndpointState condition) {
      control.onEndpointList(
          nowUs,
          EndpointUpdate.CHANGES,
          List.of(new Endpoint(destination, condition, "a", 0, 0, destination)));
    }

    private String take(final int kind, final long destination, final long lifeUs) {
      final String id = "m" + numbers++;
      openUntilUs.put(id, nowUs + lifeUs);
      control.onMessage(nowUs, new Message(id, kind, -1, null, nowUs + lifeUs, destination));
      return id;
    }

    private void decide() {
      passes++;
      control.decide(nowUs);
    }

    /** Plays until then. */
    private void until(final long untilUs) {
      decide();
      while (!due.isEmpty() && due.peek().atUs() <= untilUs) {
        nowUs = Math.max(nowUs, due.peek().atUs());
        while (!due.isEmpty() && due.peek().atUs() <= nowUs) {
          arrive(due.poll());
        }
        decide();
      }
      nowUs = untilUs;
      decide();
    }

    private void arrive(final Due one) {
      if (one.messageId() == null
          || !Long.valueOf(one.number()).equals(outAt.get(one.messageId()))) {
        return;
      }
      outAt.remove(one.messageId());
      final boolean silent = delaysUs.get(one.endpoint()) == SILENT;
      final long waitUs = waitsUs.getOrDefault(one.endpoint(), 0L) - nowUs;
      final AttemptResult result =
          silent
              ? AttemptResult.TIMED_OUT
              : waitUs > 0 ? AttemptResult.REFUSED : AttemptResult.DELIVERED;
      if (result == AttemptResult.DELIVERED) {
        openUntilUs.remove(one.messageId());
        delivered++;
      }
      control.onOutcome(
          nowUs,
          new AttemptOutcome(
              one.messageId(),
              result,
              result == AttemptResult.DELIVERED || !openUntilUs.containsKey(one.messageId()),
              one.endpoint(),
              nowUs - one.sentUs(),
              Math.max(0, waitUs),
              null));
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      calls.merge(endpoint, 1, Integer::sum);
      final long delayUs = delaysUs.get(endpoint) == SILENT ? timeoutUs : delaysUs.get(endpoint);
      final Due answer = new Due(nowUs + delayUs, numbers++, messageId, endpoint, nowUs);
      outAt.put(messageId, answer.number());
      due.add(answer);
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      refused++;
      final Long untilUs = openUntilUs.remove(messageId);
      assertTrue(untilUs != null, "ended twice: " + messageId);
      late += nowUs > untilUs ? 1 : 0;
    }

    @Override
    public void fail(final String messageId) {
      throw new AssertionError("all of these may be refused");
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      due.add(new Due(nowUs, outAt.get(messageId), messageId, SILENT, nowUs));
      delaysUs.put(SILENT, SILENT);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      // There are no connections here.
    }

    @Override
    public void subscribeToEndpointList() {
      throw new AssertionError("the list comes by itself here");
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      due.add(new Due(nowUs + delayUs, numbers++, null, 0, 0));
    }
  }

  @Test
  void unresponsiveDestinationWith100000Messages_doesNotDelayOthers() {
    final World world = new World(200, 300_000);
    world.endpoint(1, SILENT);
    for (long destination = 2; destination <= 21; destination++) {
      world.endpoint(destination, 5 * MS);
    }
    for (int count = 0; count < 100_000; count++) {
      world.take(0, 1, 20 * SECOND);
    }
    world.decide();
    int handed = 0;
    for (int tick = 0; tick < 4_000; tick++) {
      world.take(0, 2 + tick % 20, 10 * SECOND);
      handed++;
      world.until(world.nowUs + 5 * MS);
    }
    world.until(world.nowUs + 12 * SECOND);
    assertEquals(handed, world.delivered, "all that went to others");
    assertEquals(100_000, world.refused);
    assertEquals(0, world.late);
    assertTrue(world.calls.get(1L) < 400, "calls into silence: " + world.calls.get(1L));
  }

  @Test
  void deadlines100000InOneMillisecond_areMet() {
    final World world = new World(50, 300_000);
    world.endpoint(1, SILENT);
    for (int count = 0; count < 100_000; count++) {
      world.take(0, 1, 15 * SECOND + count % 1000);
    }
    world.until(world.nowUs + 16 * SECOND);
    assertEquals(100_000, world.refused);
    assertEquals(0, world.late);
  }

  @Test
  void allRetryAftersEndTogether_areHandled() {
    final World world = new World(2_000, 300_000);
    final long endUs = world.nowUs + 3 * SECOND;
    for (long destination = 1; destination <= 10_000; destination++) {
      world.endpoint(destination, MS);
      world.waitsUs.put(destination, endUs);
      world.take(0, destination, 15 * SECOND);
    }
    world.until(endUs - 1);
    assertEquals(0, world.delivered);
    for (long destination = 1; destination <= 10_000; destination++) {
      assertEquals(
          1, world.calls.getOrDefault(destination, 0), "a told wait is heeded at " + destination);
    }
    world.until(endUs + 8 * SECOND);
    assertEquals(10_000, world.delivered);
    assertTrue(world.passes < 60_000, "passes: " + world.passes);
  }

  @Test
  void destinations10000_areAddedDrainedAndRemovedWithinOneSecond() {
    final World world = new World(500, 100_000);
    for (long destination = 1; destination <= 10_000; destination++) {
      world.endpoint(destination, 2 * MS);
      world.take(0, destination, 18 * SECOND);
      if (destination % 100 == 0) {
        world.until(world.nowUs + MS);
      }
    }
    for (long destination = 1; destination <= 10_000; destination++) {
      world.list(destination, EndpointState.DRAINING);
    }
    world.decide();
    final Map<Long, Integer> before = Map.copyOf(world.calls);
    for (long destination = 1; destination <= 10_000; destination++) {
      world.list(destination, EndpointState.GONE);
    }
    for (long destination = 1; destination <= 10_000; destination++) {
      world.take(0, destination, 5 * SECOND);
    }
    world.until(world.nowUs + 20 * SECOND);
    assertEquals(before, world.calls, "nothing new to what drains or is gone");
    assertEquals(20_000, world.delivered + world.refused);
    assertEquals(0, world.late);
    world.until(world.nowUs + 62 * SECOND);
    assertEquals(0, world.control.destinationCount(), "nothing is kept of them");
  }

  /**
   * Full for two minutes: what is worth least goes, what is worth most is served, nothing is late.
   */
  @Test
  void fullStore_servesHighestPriorityFirst() {
    final World world = new World(20, 20_000);
    for (long destination = 1; destination <= 10; destination++) {
      world.endpoint(destination, 20 * MS);
    }
    int dear = 0;
    for (int tick = 0; tick < 2_400; tick++) {
      for (int count = 0; count < 100; count++) {
        dear += count % 10 == 0 ? 1 : 0;
        world.take(count % 10 == 0 ? 1 : 0, 1 + count % 7, 20 * SECOND);
      }
      world.until(world.nowUs + 50 * MS);
    }
    assertEquals(0, world.late);
    assertTrue(world.openUntilUs.size() <= 20_000, "held: " + world.openUntilUs.size());
    assertTrue(dear > 20_000 && world.delivered > 60_000, "delivered: " + world.delivered);
  }

  /**
   * Nothing to do costs nothing: no poll, however many destinations are known and messages wait.
   */
  @Test
  void idleDestinations_areNotPolled() {
    final World world = new World(100, 300_000);
    for (long destination = 1; destination <= 1_000; destination++) {
      world.endpoint(destination, MS);
      world.list(destination, EndpointState.DRAINING);
      for (int count = 0; count < 20; count++) {
        world.take(0, destination, 19 * SECOND);
      }
    }
    final int before = world.passes;
    world.until(world.nowUs + 18 * SECOND);
    assertTrue(world.passes - before < 25, "passes in 18 s: " + (world.passes - before));
    assertEquals(0, world.refused);
  }
}

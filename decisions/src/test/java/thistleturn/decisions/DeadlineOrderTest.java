package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * Guards against messages that expire unsent although the endpoints could serve all of them.
 * Clients give their messages 4 s where the class allows 16 s, so that each message is past its
 * latency objective on arrival. After a pause of its process a courier found hundreds of such
 * messages and sent the youngest first, so the oldest expired.
 *
 * <p>Seen in {@code PausedCourierTest} with pauses of 2.5 s: 74 to 200 of some 1,600 messages were
 * deferred with {@code attempts=0} and a {@code kept_by} of "the next message may go as soon as a
 * slot is free", while hundreds of younger ones were delivered. These tests run the scenario in
 * virtual time and check the outcomes of the messages, not their order.
 */
@Tag("health")
final class DeadlineOrderTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final long TICK_US = MS;

  /** The deadline that clients set for their messages, relative to the arrival. */
  private static final long CLIENT_DEADLINE_US = 4 * SECOND;

  /** The longer deadline that the class allows. */
  private static final long CLASS_DEADLINE_US = 16 * SECOND;

  private static final long OBJECTIVE_US = 4 * SECOND;
  private static final long RATE_PER_SECOND = 75;
  private static final long CALL_US = 40 * MS;
  private static final int SLOTS = 8;
  private static final int MESSAGES_PER_CALL = 5;

  /** The capacity: three quarters of the slots, with five messages in each call. */
  private static final long SERVED_PER_SECOND = 750;

  /**
   * The share that a courier with enough capacity must deliver, as in {@code PausedCourierTest}.
   */
  private static final double DELIVERED_SHARE = 0.98;

  /** Simulates, tick by tick, one destination that serves every call in the same time. */
  private static final class Simulation {
    private final ScriptedController courier;
    private final int classes;
    private final Map<String, Long> responsesDueUs = new LinkedHashMap<>();
    private final Set<String> delivered = new HashSet<>();
    private final List<Long> deliveryDelaysUs = new ArrayList<>();
    private final Map<String, Long> arrivalsUs = new LinkedHashMap<>();
    private final long lifetimeUs;
    private int sentSoFar;
    private long nextArrivalUs;
    private long gapUs;

    Simulation(final long lifetimeUs) {
      this(lifetimeUs, messageClass(Idempotence.IDEMPOTENT));
    }

    /** Creates a simulation in which the messages belong to the classes in turn. */
    Simulation(final long lifetimeUs, final MessageClass... classes) {
      this.courier = new ScriptedController(settings(classes));
      this.classes = classes.length;
      this.lifetimeUs = lifetimeUs;
      courier.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a"));
      nextArrivalUs = courier.nowUs;
      setArrivalRate(RATE_PER_SECOND);
    }

    /** Sets the number of messages that arrive per second from now on. */
    void setArrivalRate(final long perSecond) {
      gapUs = perSecond == 0 ? OverloadController.NEVER / 2 : SECOND / perSecond;
      nextArrivalUs =
          perSecond == 0 ? OverloadController.NEVER : Math.max(nextArrivalUs, courier.nowUs);
    }

    void run(final long us) {
      final long untilUs = courier.nowUs + us;
      while (courier.nowUs < untilUs) {
        tick();
      }
    }

    /** Pauses the courier several times for 2.5 s and runs it for a while after each pause. */
    void pauseRepeatedly(final int pauses, final long runUs) {
      run(2 * SECOND);
      for (int index = 0; index < pauses; index++) {
        pause(2500 * MS);
        run(runUs);
      }
      finish();
    }

    /**
     * Pauses the courier; messages and responses that arrive meanwhile are read when it resumes.
     */
    void pause(final long us) {
      courier.nowUs += us;
      courier.controller.onHostPaused(courier.nowUs, us);
      tick();
    }

    private void tick() {
      courier.nowUs += TICK_US;
      readResponses();
      readMessages();
      courier.controller.decide(courier.nowUs);
      for (; sentSoFar < courier.sentCalls.size(); sentSoFar++) {
        responsesDueUs.put(courier.sentCalls.get(sentSoFar).id(), courier.nowUs + CALL_US);
      }
    }

    private void readResponses() {
      final List<String> due =
          responsesDueUs.entrySet().stream()
              .takeWhile(entry -> entry.getValue() <= courier.nowUs)
              .map(Map.Entry::getKey)
              .toList();
      for (final String id : due) {
        responsesDueUs.remove(id);
        delivered.add(id);
        deliveryDelaysUs.add(courier.nowUs - arrivalsUs.get(id));
        courier.reportOutcome(id, AttemptResult.DELIVERED, 0);
      }
    }

    private void readMessages() {
      for (; nextArrivalUs <= courier.nowUs; nextArrivalUs += gapUs) {
        final String id = "m" + arrivalsUs.size();
        arrivalsUs.put(id, nextArrivalUs);
        courier.controller.onMessage(
            courier.nowUs,
            new Message(
                id,
                (arrivalsUs.size() - 1) % classes,
                -1,
                null,
                nextArrivalUs + lifetimeUs,
                ScriptedController.DESTINATION));
      }
    }

    /** Stops the arrivals and runs until all messages have ended. */
    void finish() {
      setArrivalRate(0);
      run(lifetimeUs + SECOND);
      assertEquals(
          arrivalsUs.size(),
          delivered.size() + courier.shedMessages.size() + courier.failedMessages.size());
    }

    double deliveredShare() {
      return (double) delivered.size() / arrivalsUs.size();
    }

    String summary() {
      return delivered.size()
          + " of "
          + arrivalsUs.size()
          + " delivered, "
          + courier.shedMessages.size()
          + " deferred";
    }

    /** Returns the mean time from arrival to delivery. */
    double meanDelayUs() {
      return deliveryDelaysUs.stream().mapToLong(Long::longValue).average().orElseThrow();
    }
  }

  private static MessageClass messageClass(final Idempotence effect) {
    return new MessageClass(
        effect.name(), effect, false, false, 1, 0, OBJECTIVE_US, CLASS_DEADLINE_US, 0);
  }

  private static DeliverySettings settings(final MessageClass... classes) {
    return new DeliverySettings(
        2,
        "a",
        false,
        WeightMeaning.NONE,
        ValueDecay.LINEAR,
        List.of(classes),
        List.of(),
        List.of(new DestinationKind("std", false, MESSAGES_PER_CALL)),
        new Guarantees(10 * SECOND, 0.2, 10 * SECOND, 2, 3 * SECOND),
        new ResourceLimits(SLOTS, 5000, 8, true, 10 * SECOND, 1, 2 * SECOND));
  }

  /** Three pauses of 2.5 s, 0.3 s apart; 150 messages can be served between two of them. */
  @Test
  void messagesThatArriveDuringPause_areDeliveredBeforeTheyExpire() {
    final Simulation simulation = new Simulation(CLIENT_DEADLINE_US);
    simulation.pauseRepeatedly(3, 300 * MS);
    assertTrue(simulation.deliveredShare() >= DELIVERED_SHARE, simulation.summary());
  }

  /**
   * Every second message may not share a call. Such messages were sent after those that go five in
   * a call: all deferred messages of such a run were among them.
   */
  @Test
  void messagesThatMayNotShareCalls_areNotSentLast() {
    final Simulation simulation =
        new Simulation(
            CLIENT_DEADLINE_US,
            messageClass(Idempotence.IDEMPOTENT),
            messageClass(Idempotence.NON_IDEMPOTENT));
    simulation.pauseRepeatedly(2, 800 * MS);
    assertTrue(simulation.deliveredShare() >= DELIVERED_SHARE, simulation.summary());
  }

  /**
   * Slightly more messages arrive than can be served: the queue grows, and drains once the arrivals
   * end.
   */
  @Test
  void messagesOfSlightOverload_areAllDelivered() {
    final Simulation simulation = new Simulation(CLIENT_DEADLINE_US);
    simulation.run(2 * SECOND);
    simulation.setArrivalRate(SERVED_PER_SECOND * 105 / 100);
    simulation.run(20 * SECOND);
    simulation.finish();
    assertEquals(1, simulation.deliveredShare(), simulation.summary());
  }

  /** Twice as many messages arrive as can be served: those that are served are served soon. */
  @Test
  void messagesOfLongOverload_areServedNewestFirst() {
    final Simulation simulation = new Simulation(CLIENT_DEADLINE_US);
    simulation.run(2 * SECOND);
    simulation.setArrivalRate(2 * SERVED_PER_SECOND);
    simulation.run(20 * SECOND);
    simulation.finish();
    assertTrue(simulation.delivered.size() >= 20 * SERVED_PER_SECOND, simulation.summary());
    assertTrue(
        simulation.meanDelayUs() <= CLIENT_DEADLINE_US / 10.0,
        () -> "mean " + simulation.meanDelayUs());
  }
}

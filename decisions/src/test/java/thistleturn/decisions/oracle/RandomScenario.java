package thistleturn.decisions.oracle;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
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
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.Tenant;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * A scenario of random events, reproducible from a seed, that runs two delivery controllers in
 * lockstep: both must request the same actions in the same order before the next event. Requested
 * calls end later with a random result.
 */
final class RandomScenario {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  private final Random random;
  private final DeliverySettings settings;

  /**
   * True in half of the scenarios: calls are rejected at random without a Retry-After, so that
   * there is noise to classify.
   */
  private final boolean noisy;

  private final RecordedActions actualActions = new RecordedActions();
  private final RecordedActions referenceActions = new RecordedActions();
  private final DeliveryController actual;
  private final DeliveryController reference;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<String> pending = new ArrayList<>();
  private final List<Sent> inFlight = new ArrayList<>();
  private final TreeSet<Long> actualRoundsUs = new TreeSet<>();
  private final TreeSet<Long> referenceRoundsUs = new TreeSet<>();
  private long nowUs = 1000 * SECOND;
  private int messages;
  private int actions;
  private List<String> lastActions = List.of();
  private boolean roundDue;
  private boolean actualRoundDue;

  /** Creates the controllers to compare. */
  interface ControllerFactory {
    /** Creates a controller that requests the given actions. */
    DeliveryController create(DeliverySettings settings, long seed, DeliveryActions actions);
  }

  private record Sent(String messageId, long endpoint, long atUs) {}

  /** Records what one controller requested since the last comparison. */
  private static final class RecordedActions implements DeliveryActions {
    private final List<String> requested = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private final List<Long> roundDelaysUs = new ArrayList<>();

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      requested.add("send " + messageId + " to " + endpoint + " for " + timeoutUs);
      sent.add(new Sent(messageId, endpoint, 0));
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      requested.add("shed " + messageId + " for " + retryAfterUs);
      ended.add(messageId);
    }

    @Override
    public void fail(final String messageId) {
      requested.add("fail " + messageId);
      ended.add(messageId);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      requested.add("cancel " + messageId + " attempt " + attempt);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      requested.add("close idle " + endpoint);
    }

    @Override
    public void subscribeToEndpointList() {
      requested.add("subscribe");
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      // Not compared: the reference controller polls messages that cannot be sent yet, and
      // schedules
      // a later round where the recovery ramp gets steeper.
      roundDelaysUs.add(delayUs);
    }

    private void clear() {
      requested.clear();
      sent.clear();
      ended.clear();
      roundDelaysUs.clear();
    }
  }

  RandomScenario(
      final long seed,
      final ControllerFactory actualFactory,
      final ControllerFactory referenceFactory) {
    this.random = new Random(seed);
    this.settings = settings();
    this.noisy = chance(0.5);
    this.actual = actualFactory.create(settings, seed, actualActions);
    this.reference = referenceFactory.create(settings, seed, referenceActions);
  }

  private boolean chance(final double share) {
    return random.nextDouble() < share;
  }

  private DeliverySettings settings() {
    final List<MessageClass> classes = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      final long objectiveUs = (1 + random.nextInt(4)) * SECOND;
      classes.add(
          new MessageClass(
              "c" + index,
              Idempotence.values()[random.nextInt(3)],
              chance(0.2),
              chance(0.3),
              1 + random.nextInt(3),
              random.nextInt(2) * 0.5,
              objectiveUs,
              objectiveUs + random.nextInt(12) * SECOND,
              (1 + random.nextInt(10)) * SECOND));
    }
    // At most 6 couriers: the reference controller predates the behaviour of a large fleet.
    return new DeliverySettings(
        1 + random.nextInt(6),
        "a",
        chance(0.7),
        WeightMeaning.values()[random.nextInt(3)],
        ValueDecay.values()[random.nextInt(2)],
        classes,
        List.of(new Tenant("t", 5)),
        List.of(
            new DestinationKind("x", chance(0.3), 1 + random.nextInt(5)),
            new DestinationKind("y", false, 1)),
        new Guarantees(10 * SECOND, 0.2, 9 * SECOND, 2, random.nextInt(3) * SECOND),
        new ResourceLimits(
            2 + random.nextInt(20),
            8 + random.nextInt(60),
            1 + random.nextInt(12),
            chance(0.8),
            (1 + random.nextInt(20)) * SECOND,
            1 + random.nextInt(2),
            random.nextInt(2) * 2L * SECOND));
  }

  /** Runs that many events; returns how many actions were requested and compared as equal. */
  int run(final int events) {
    updateEndpointList(EndpointUpdate.COMPLETE_SNAPSHOT);
    for (int event = 0; event < events; event++) {
      advance();
      // A round that only the reference controller scheduled, without new events, requests nothing.
      final boolean referenceOnly = roundDue && !actualRoundDue;
      final int eventsAtOnce = roundDue && chance(0.7) ? 0 : 1 + random.nextInt(6);
      for (int index = 0; index < eventsAtOnce; index++) {
        applyRandomEvent();
      }
      final int before = actions;
      decide();
      // Except for the cancellation of one more overdue call, which the reference controller
      // requests whenever it polls.
      if (referenceOnly
          && eventsAtOnce == 0
          && actions > before
          && lastActions.stream().noneMatch(one -> one.startsWith("cancel"))) {
        throw new AssertionError(
            "at " + nowUs + " us: the actual controller scheduled no round for " + lastActions);
      }
    }
    return actions;
  }

  private void advance() {
    final long nextUs = nowUs + (long) Math.pow(10, 2 + 4 * random.nextDouble());
    final long actualRoundUs = actualRoundsUs.isEmpty() ? Long.MAX_VALUE : actualRoundsUs.first();
    final long roundUs =
        Math.min(
            actualRoundUs,
            referenceRoundsUs.isEmpty() ? Long.MAX_VALUE : referenceRoundsUs.first());
    roundDue = roundUs < nextUs;
    nowUs = roundDue ? Math.max(nowUs + 1, roundUs) : nextUs;
    actualRoundDue = actualRoundUs <= nowUs;
    actualRoundsUs.headSet(nowUs, true).clear();
    referenceRoundsUs.headSet(nowUs, true).clear();
  }

  private void decide() {
    actual.decide(nowUs);
    reference.decide(nowUs);
    compare("decide");
  }

  private void compare(final String after) {
    if (!actualActions.requested.equals(referenceActions.requested)) {
      int index = 0;
      while (index < Math.min(actualActions.requested.size(), referenceActions.requested.size())
          && actualActions.requested.get(index).equals(referenceActions.requested.get(index))) {
        index++;
      }
      throw new AssertionError(
          "after "
              + after
              + " at "
              + nowUs
              + " us, action "
              + index
              + ": requested "
              + actualActions.requested.subList(index, actualActions.requested.size())
              + ", the reference "
              + referenceActions.requested.subList(index, referenceActions.requested.size())
              + "; "
              + settings);
    }
    actions += actualActions.requested.size();
    lastActions = List.copyOf(actualActions.requested);
    actualActions.sent.forEach(
        sent -> inFlight.add(new Sent(sent.messageId(), sent.endpoint(), nowUs)));
    pending.removeAll(actualActions.ended);
    actualActions.roundDelaysUs.forEach(delayUs -> actualRoundsUs.add(nowUs + delayUs));
    referenceActions.roundDelaysUs.forEach(delayUs -> referenceRoundsUs.add(nowUs + delayUs));
    actualActions.clear();
    referenceActions.clear();
  }

  private void applyRandomEvent() {
    final double kind = random.nextDouble();
    if (kind < 0.45) {
      acceptMessage();
    } else if (kind < 0.9) {
      completeAttempt();
    } else if (kind < 0.97) {
      updateEndpointList(
          chance(0.1)
              ? EndpointUpdate.COMPLETE_SNAPSHOT
              : chance(0.1)
                  ? EndpointUpdate.UNAVAILABLE
                  : chance(0.1)
                      ? EndpointUpdate.RESTORED_SNAPSHOT
                      : chance(0.3) ? EndpointUpdate.SUPPLEMENT : EndpointUpdate.CHANGES);
    } else if (kind < 0.995) {
      abandonMessage();
    } else if (chance(0.1)) {
      actual.onStopping(nowUs, nowUs + 3 * SECOND);
      reference.onStopping(nowUs, nowUs + 3 * SECOND);
    }
  }

  private void acceptMessage() {
    if (pending.size() >= settings.limits().maxPendingMessages() || endpoints.isEmpty()) {
      return;
    }
    final int index = random.nextInt(settings.classes().size());
    final MessageClass messageClass = settings.classes().get(index);
    final long destination = chance(0.5) ? 1 : 1 + random.nextInt(8);
    final Message message =
        new Message(
            "m" + messages++,
            index,
            chance(0.3) ? 0 : -1,
            chance(0.4) ? "k" + random.nextInt(4) : null,
            nowUs + (long) (random.nextDouble() * messageClass.deadlineUs()),
            destination);
    pending.add(message.id());
    if (chance(0.05)) {
      final PriorAttempts priorAttempts =
          new PriorAttempts(
              random.nextInt(3),
              chance(0.5),
              nowUs - random.nextInt(5) * SECOND,
              chance(0.5) ? "a" : "b");
      actual.onMessageResumed(nowUs, message, priorAttempts);
      reference.onMessageResumed(nowUs, message, priorAttempts);
    } else {
      actual.onMessage(nowUs, message);
      reference.onMessage(nowUs, message);
    }
  }

  private void completeAttempt() {
    if (inFlight.isEmpty()) {
      return;
    }
    final Sent sent = inFlight.remove(random.nextInt(inFlight.size()));
    final boolean endpointServes = (sent.endpoint() + nowUs / (20 * SECOND)) % 4 != 0;
    final AttemptResult result =
        noisy && chance(0.15)
            ? AttemptResult.REFUSED
            : chance(endpointServes ? 0.85 : 0.1)
                ? AttemptResult.DELIVERED
                : AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
    final boolean isFinal =
        result == AttemptResult.DELIVERED || !pending.contains(sent.messageId()) || chance(0.01);
    if (isFinal) {
      pending.remove(sent.messageId());
    }
    final AttemptOutcome outcome =
        new AttemptOutcome(
            sent.messageId(),
            result,
            isFinal,
            sent.endpoint(),
            nowUs - sent.atUs(),
            result == AttemptResult.REFUSED && chance(noisy ? 0.1 : 0.5)
                ? random.nextInt(2000) * MS
                : 0,
            chance(0.05) ? new LoadReport(random.nextDouble(), random.nextInt(20)) : null);
    actual.onOutcome(nowUs, outcome);
    reference.onOutcome(nowUs, outcome);
  }

  private void abandonMessage() {
    if (!pending.isEmpty()) {
      final String id = pending.remove(random.nextInt(pending.size()));
      actual.onMessageAbandoned(nowUs, id);
      reference.onMessageAbandoned(nowUs, id);
    }
  }

  private void updateEndpointList(final EndpointUpdate update) {
    final List<Endpoint> entries = new ArrayList<>();
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      if (endpoints.isEmpty() || chance(0.5)) {
        endpoints.clear();
        final int count = 1 + random.nextInt(16);
        for (int index = 0; index < count; index++) {
          endpoints.add(endpoint(1 + random.nextInt(30), EndpointState.LISTED));
        }
      }
      entries.addAll(endpoints);
    } else if (update != EndpointUpdate.UNAVAILABLE) {
      final Endpoint changed =
          endpoint(1 + random.nextInt(30), EndpointState.values()[random.nextInt(3)]);
      endpoints.removeIf(endpoint -> endpoint.id() == changed.id());
      if (changed.state() != EndpointState.GONE) {
        endpoints.add(changed);
      }
      entries.add(changed);
    }
    actual.onEndpointList(nowUs, update, entries);
    reference.onEndpointList(nowUs, update, entries);
  }

  /** The zone, kind and destination of an endpoint depend only on its id, as in production. */
  private static Endpoint endpoint(final long id, final EndpointState state) {
    return new Endpoint(
        id,
        state,
        id % 2 == 0 ? "a" : "b",
        5 + id % 7,
        id % 3 == 0 ? -1 : (int) (id % 2),
        1 + id % 8);
  }
}

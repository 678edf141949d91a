package thistleturn.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;
import thistleturn.testkit.Violation.Rule;

/**
 * Checks the six delivery rules from what the stand-ins observed, with code of its own that shares
 * nothing with the courier's. Times are microseconds on one clock. Events may be reported by any
 * thread, those of one message in their order. After the last one {@link #finish} adds the messages
 * that have no final outcome.
 */
public final class RuleChecker {
  /**
   * The end of a call and the start of the next one on two connections may be read in either order
   * if they arrive in one batch of the selector, us. Used only where the state of the first
   * connection cannot be determined.
   */
  private static final long SAME_BATCH_US = 5_000;

  /** How long before its deadline a message may be expired, us. */
  private static final long EXPIRY_MARGIN_US = 50_000;

  private static final String DEFERRED = "deferred";
  private static final String UNDELIVERABLE = "undeliverable";

  /** Microseconds in a millisecond. */
  static final long MS = 1000;

  private static final long SECOND = 1_000_000;

  /**
   * How long a request may have lain unread; a courier counts a message's time from the earliest
   * possible moment.
   */
  private static final long CLIENT_TIMEOUT_US = 400 * MS;

  /** How long before its end a process may have been answered without having read the answer. */
  private static final long MAX_UNREAD_US = SECOND;

  private final Tolerances tolerances;
  private final Map<String, MessageClass> classes = new HashMap<>();
  private final Map<String, Message> messages = new LinkedHashMap<>();
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Map<Long, Destination> destinations = new HashMap<>();
  private final Map<String, Deque<Message>> queuesByKey = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final List<Long> drainLagsUs = new ArrayList<>();
  private final List<String> allowedRepeats = new ArrayList<>();

  private boolean responsesCopied;

  private long callsOfDeliveredMessages;

  private final LateOutcomes lateOutcomes;

  private final CourierLifetimes lifetimes;

  /**
   * The time bounds and limits that the rules allow.
   *
   * @param graceUs how long after its deadline a message's final outcome may be reported
   * @param drainGraceUs how long after its state was announced a draining endpoint may be called
   * @param retryAfterSlackUs how long after a Retry-After was sent calls may still ignore it,
   *     because they crossed it on the way
   * @param settleDelayUs the settle delay of a key after an attempt whose result is unknown
   * @param overloadMultiple the multiple of its present capacity that a recovering destination
   *     tolerates
   * @param overloadWindowUs the window over which that multiple is measured
   * @param restartGraceUs how long after the end of a restart outcomes may still be late
   */
  public record Tolerances(
      long graceUs,
      long drainGraceUs,
      long retryAfterSlackUs,
      long settleDelayUs,
      double overloadMultiple,
      long overloadWindowUs,
      long restartGraceUs) {
    /** The platform's values: 300 ms, 2.05 s, 100 ms, 1 s, 2 times over 3 s, 1.5 s. */
    public static Tolerances standard() {
      return new Tolerances(300 * MS, 2050 * MS, 100 * MS, SECOND, 2, 3 * SECOND, 1500 * MS);
    }
  }

  /** How a call ended, as its endpoint observed it. */
  public enum CallResult {
    /** Answered that it is delivered. */
    DELIVERED(true),
    /** Answered with an error; the message may have run. */
    ERROR(true),
    /** Rejected; the message never ran. */
    REJECTED(false),
    /** Answered that it is over; it never ran, and nothing more is due for it. */
    GONE(false),
    /** Answered that it has had all its attempts; it never ran, and its outcome is still due. */
    NO_MORE_ATTEMPTS(false),
    /** Its connection ended after the last byte of the request, without an answer. */
    CONNECTION_LOST(true),
    /** Its connection ended before the last byte of the request. */
    INCOMPLETE_REQUEST(false);

    private final boolean mayHaveRun;

    CallResult(final boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether no call of the message begins after such an answer. */
    boolean endsMessage() {
      return this == DELIVERED || this == GONE || this == NO_MORE_ATTEMPTS;
    }
  }

  /**
   * A call that delivered a message: when its first byte came, when it was answered, and the
   * earliest deadline of the messages in it; {@link Long#MAX_VALUE} for a single message.
   */
  private record Delivery(long callUs, long answeredUs, long sharedDeadlineUs) {
    private String describe() {
      final String shared =
          sharedDeadlineUs == Long.MAX_VALUE ? "alone" : "shared until " + sharedDeadlineUs;
      return "called " + callUs + ", answered " + answeredUs + ", " + shared;
    }
  }

  private static final class Message {
    /**
     * The violation that two copies were in flight; null once it is known whether the first had
     * been ended.
     */
    private Violation copiesViolation;

    /** The state of the first copy's connection at that time. */
    private CallConnection.Side firstCopySide = CallConnection.Side.UNKNOWN;

    private final String id;
    private final MessageClass messageClass;
    private final long destination;
    private final String key;
    private final long submittedUs;
    private final long deadlineUs;
    private boolean accepted;
    private boolean ended;
    private String outcome = "";
    private long endedUs;
    private boolean delivered;

    /** The calls that delivered it; more than one if an earlier answer was not read. */
    private final List<Delivery> deliveries = new ArrayList<>();

    /**
     * The earliest deadline of the messages in each call that it shared, by the start of the call.
     */
    private final Map<Long, Long> sharedDeadlinesUs = new HashMap<>();

    /** The connections of the calls in flight, by the start of the call. */
    private final Map<Long, CallConnection> connectionsInFlight = new HashMap<>();

    /** Whether the response that ended it came on a connection with an earlier call. */
    private boolean answeredOnReusedConnection;

    /** The answer after which no call of it may begin; null if there is none. */
    private StatedEnd statedEnd;

    private long firstRunUs = Long.MAX_VALUE;
    private long settleUntilUs;

    private Message(
        final String id,
        final MessageClass messageClass,
        final long destination,
        final String key,
        final long submittedUs,
        final long deadlineUs) {
      this.id = id;
      this.messageClass = messageClass;
      this.destination = destination;
      this.key = key;
      this.submittedUs = submittedUs;
      this.deadlineUs = deadlineUs;
    }

    @Override
    public String toString() {
      return id + " (" + messageClass.name() + ")";
    }
  }

  private static final class Endpoint {
    private final long destination;
    private long drainingUs = Long.MAX_VALUE;

    private Endpoint(final long destination) {
      this.destination = destination;
    }
  }

  private static final class Destination {
    private long retryAfterSentUs = Long.MIN_VALUE;
    private long retryAfterUntilUs = Long.MIN_VALUE;
    private final ColdDestination recovery;

    private Destination(final Tolerances figures) {
      recovery = new ColdDestination(figures);
    }
  }

  /** A checker without any events yet. */
  public RuleChecker(final Tolerances tolerances, final List<MessageClass> messageClasses) {
    this.tolerances = tolerances;
    this.lifetimes = new CourierLifetimes(tolerances.restartGraceUs());
    this.lateOutcomes = new LateOutcomes(tolerances.graceUs());
    messageClasses.forEach(messageClass -> classes.put(messageClass.name(), messageClass));
  }

  private void addViolation(final Rule rule, final long nowUs, final String text) {
    violations.add(new Violation(rule, nowUs, text));
  }

  // ---------------------------------------------------------------- clients and the platform

  /**
   * A client submits a message; {@code key} orders it within a class that is ordered by key, and
   * may be null.
   */
  public synchronized void recordSubmitted(
      final long nowUs,
      final String id,
      final String className,
      final long destination,
      final String key,
      final long timeoutUs) {
    messages.put(
        id, new Message(id, classes.get(className), destination, key, nowUs, nowUs + timeoutUs));
  }

  /** A client was answered that its message is accepted. */
  public synchronized void recordAccepted(final long nowUs, final String id) {
    final Message message = messages.get(id);
    message.accepted = true;
    if (message.messageClass.orderedByKey() && message.key != null && !message.ended) {
      queuesByKey.computeIfAbsent(message.key, unused -> new ArrayDeque<>()).add(message);
    }
  }

  /** A client was answered that its message is rejected. */
  public synchronized void recordRejected(final long nowUs, final String id) {
    recordEnd(nowUs, messages.get(id), "rejected at submission", true);
  }

  /** A client was answered that its message failed, or timed out: the message needs no outcome. */
  public synchronized void recordFailed(final long nowUs, final String id) {
    recordEnd(nowUs, messages.get(id), "failed at submission", false);
  }

  /** The platform received an outcome notice. */
  public synchronized void recordOutcomeNotice(
      final long nowUs, final String id, final boolean deferred) {
    final Message message = messages.get(id);
    if (message == null) {
      addViolation(Rule.LOST, nowUs, "an outcome notice for " + id + ", which was never submitted");
    } else {
      recordEnd(nowUs, message, deferred ? DEFERRED : UNDELIVERABLE, deferred);
    }
  }

  private void recordEnd(
      final long nowUs, final Message message, final String outcome, final boolean deferred) {
    if (message.ended) {
      if (!message.delivered
          && !isOver(message)
          && !message.outcome.equals(outcome)
          && !isReportedAgainAfterRestart(message, outcome, nowUs)) {
        addViolation(
            Rule.LOST,
            nowUs,
            message + " has two outcomes: " + message.outcome + ", then " + outcome);
      }
      return;
    }
    if (deferred
        && message.firstRunUs != Long.MAX_VALUE
        && message.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT) {
      addViolation(Rule.DOUBLE, nowUs, message + " may have run and was " + outcome);
    }
    closeMessage(nowUs, message, outcome);
  }

  /** A notice for a message that an endpoint has declared over does no harm. */
  private static boolean isOver(final Message message) {
    return message.statedEnd != null && message.statedEnd.result() == CallResult.GONE;
  }

  /**
   * While the journal cannot be written, a deferral is reported once the message's deadline has
   * passed. After a restart the journal may hold an attempt without its result: the message is then
   * undeliverable.
   */
  private boolean isReportedAgainAfterRestart(
      final Message message, final String outcome, final long nowUs) {
    return message.outcome.equals(DEFERRED)
        && outcome.equals(UNDELIVERABLE)
        && message.endedUs >= message.deadlineUs - EXPIRY_MARGIN_US
        && lifetimes.wasKilledBetween(message.endedUs, nowUs);
  }

  private void closeMessage(final long nowUs, final Message message, final String outcome) {
    message.ended = true;
    message.outcome = outcome;
    message.endedUs = nowUs;
    // From the end of a process until the restart grace after the next one is ready no outcome is
    // late, including those reported before it is ready.
    final long dueUs = message.deadlineUs + tolerances.graceUs();
    if (message.accepted && nowUs > dueUs && !lifetimes.excusesLateOutcome(dueUs, nowUs)) {
      lateOutcomes.record(message.toString(), message.deadlineUs, nowUs);
    }
    if (message.key != null) {
      final Deque<Message> queue = queuesByKey.get(message.key);
      if (queue != null) {
        queue.remove(message);
      }
    }
  }

  /**
   * The stand-ins were paused between two times and observed late what arrived meanwhile: this part
   * of a delay is not the courier's.
   */
  public synchronized void recordCheckerPause(final long fromUs, final long toUs) {
    lateOutcomes.excuse(fromUs, toUs);
  }

  /**
   * The test paused the courier between two times; it couldn't complete what expired meanwhile any
   * earlier. This part of a delay is excused, and no more.
   */
  public synchronized void recordCourierPause(final long fromUs, final long toUs) {
    lifetimes.recordPause(fromUs, toUs);
    recordCheckerPause(fromUs, toUs);
  }

  /** The courier's process was killed, or is ready again. */
  public synchronized void recordRestart(final long nowUs, final boolean ready) {
    if (ready) {
      lifetimes.recordReady(nowUs);
    } else {
      lifetimes.recordKill(nowUs);
    }
  }

  // ---------------------------------------------------------------- endpoints

  /** Registers an endpoint. */
  public synchronized void registerEndpoint(final String name, final long destination) {
    endpoints.putIfAbsent(name, new Endpoint(destination));
  }

  /**
   * The courier was notified that an endpoint drains or is gone. A repeated notification changes
   * nothing.
   */
  public synchronized void recordDraining(final long nowUs, final String name) {
    final Endpoint endpoint = endpoints.get(name);
    endpoint.drainingUs = Math.min(endpoint.drainingUs, nowUs);
  }

  /** The courier was notified that an endpoint is ready again. */
  public synchronized void recordReady(final String name) {
    endpoints.get(name).drainingUs = Long.MAX_VALUE;
  }

  /** A call arrives over a connection whose state cannot be determined. */
  public synchronized void recordCall(
      final long firstByteUs, final String name, final List<String> ids) {
    recordCall(firstByteUs, name, ids, () -> CallConnection.Side.UNKNOWN);
  }

  /** A call arrives: its first byte, and the ids of the messages in it. */
  public synchronized void recordCall(
      final long firstByteUs,
      final String name,
      final List<String> ids,
      final CallConnection connection) {
    final Endpoint endpoint = endpoints.get(name);
    final Destination destination = destination(endpoint.destination);
    if (firstByteUs > endpoint.drainingUs) {
      drainLagsUs.add(firstByteUs - endpoint.drainingUs);
      if (firstByteUs > endpoint.drainingUs + tolerances.drainGraceUs()) {
        addViolation(
            Rule.DRAIN,
            firstByteUs,
            name
                + " was called "
                + (firstByteUs - endpoint.drainingUs) / MS
                + " ms after its draining or removal was announced");
      }
    }
    if (firstByteUs < destination.retryAfterUntilUs
        && firstByteUs > destination.retryAfterSentUs + tolerances.retryAfterSlackUs()) {
      addViolation(
          Rule.WAIT,
          firstByteUs,
          "destination "
              + endpoint.destination
              + " was called "
              + (destination.retryAfterUntilUs - firstByteUs) / MS
              + " ms before its Retry-After was over");
    }
    destination
        .recovery
        .recordCall(firstByteUs)
        .ifPresent(
            text ->
                addViolation(
                    Rule.TIPPED, firstByteUs, "destination " + endpoint.destination + " " + text));
    recordSharedDeadline(firstByteUs, ids);
    ids.forEach(id -> recordMessageCall(firstByteUs, endpoint, id, connection));
  }

  private void recordSharedDeadline(final long firstByteUs, final List<String> ids) {
    if (ids.size() > 1) {
      final List<Message> shared =
          ids.stream().map(messages::get).filter(Objects::nonNull).toList();
      final long untilUs =
          shared.stream().mapToLong(message -> message.deadlineUs).min().orElse(Long.MAX_VALUE);
      shared.forEach(message -> message.sharedDeadlinesUs.put(firstByteUs, untilUs));
    }
  }

  private void recordMessageCall(
      final long firstByteUs,
      final Endpoint endpoint,
      final String id,
      final CallConnection connection) {
    final Message message = messages.get(id);
    if (message == null) {
      addViolation(Rule.DESTINATION, firstByteUs, id + " was sent and never submitted");
      return;
    }
    if (message.destination != endpoint.destination) {
      addViolation(
          Rule.DESTINATION,
          firstByteUs,
          message + " for " + message.destination + " went to " + endpoint.destination);
    }
    if (message.delivered) {
      callsOfDeliveredMessages++;
    }
    checkCopies(firstByteUs, message);
    message.connectionsInFlight.put(firstByteUs, connection);
    if (message.statedEnd != null) {
      checkCallAfterStatedEnd(firstByteUs, message);
      return;
    }
    if (message.ended && isAllowedRepeat(firstByteUs, message)) {
      return;
    }
    if (message.ended) {
      addViolation(
          message.delivered && message.messageClass.idempotence() == Idempotence.IDEMPOTENT
              ? Rule.LOST
              : Rule.DOUBLE,
          firstByteUs,
          message
              + " was sent after it was "
              + message.outcome
              + (message.delivered ? describeRepeat(message, firstByteUs) : ""));
    } else if (message.firstRunUs != Long.MAX_VALUE) {
      if (message.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT) {
        addViolation(Rule.DOUBLE, firstByteUs, message + " may have run and was sent again");
      } else if (message.messageClass.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
          && firstByteUs > message.firstRunUs + message.messageClass.idempotencyWindowUs()) {
        addViolation(
            Rule.DOUBLE,
            firstByteUs,
            message
                + " was sent again "
                + (firstByteUs - message.firstRunUs) / MS
                + " ms after it may have run; its key is kept for "
                + message.messageClass.idempotencyWindowUs() / MS);
      }
    }
    if (message.key != null && message.messageClass.orderedByKey()) {
      final Deque<Message> queue = queuesByKey.get(message.key);
      final Message first = queue == null ? null : queue.peekFirst();
      if (first != null && first != message) {
        addViolation(Rule.ORDER, firstByteUs, message + " was sent before " + first);
      } else if (firstByteUs < message.settleUntilUs) {
        addViolation(
            Rule.ORDER, firstByteUs, message + " was sent during the settle delay of its key");
      }
    }
  }

  /**
   * No call begins after an answer that ended its message, unless the process that was answered may
   * not have read it.
   */
  private void checkCallAfterStatedEnd(final long firstByteUs, final Message message) {
    final StatedEnd end = message.statedEnd;
    final String what = message + end.describeLaterCall(firstByteUs);
    final boolean unread =
        mayBeUnread(new Delivery(end.callUs(), end.answeredUs(), Long.MAX_VALUE), firstByteUs);
    if (unread) {
      allowedRepeats.add(what);
    } else {
      addViolation(Rule.ENDED, firstByteUs, what);
    }
  }

  /**
   * A second copy while the first one's connection is open is a violation. If the end of the first
   * connection has arrived and lies unread at a stand-in, the courier ended the first copy before
   * it sent the second.
   */
  private void checkCopies(final long firstByteUs, final Message message) {
    final List<CallConnection.Side> sides =
        message.connectionsInFlight.values().stream().map(CallConnection::courierSide).toList();
    if (sides.stream().allMatch(side -> side == CallConnection.Side.ENDED)) {
      return;
    }
    addViolation(Rule.DOUBLE, firstByteUs, message + ": two copies are in flight");
    message.copiesViolation = violations.get(violations.size() - 1);
    message.firstCopySide =
        sides.contains(CallConnection.Side.OPEN)
            ? CallConnection.Side.OPEN
            : CallConnection.Side.UNKNOWN;
  }

  /**
   * Describes a repeat so that its cause can be found: the calls that delivered the message, and
   * all kills.
   */
  private String describeRepeat(final Message message, final long firstByteUs) {
    final long answeredUs = message.deliveries.get(0).answeredUs();
    final String calls =
        message.deliveries.stream().map(Delivery::describe).collect(Collectors.joining("; "));
    return ", "
        + (firstByteUs - answeredUs)
        + " us after its answer ("
        + calls
        + "; sent again "
        + firstByteUs
        + "; "
        + lifetimes.describe(message.deliveries.get(0).callUs(), firstByteUs)
        + ")";
  }

  /**
   * A killed process may not have read that a message is delivered: the answer was written shortly
   * before its end, or even after it, to a call that it had made. A repeatable message is then sent
   * once more by whichever process comes to it first, and is answered as delivered again; no
   * further outcome is due. The same holds if its answer may have been a copy of another.
   */
  private boolean isAllowedRepeat(final long firstByteUs, final Message message) {
    final boolean allUnread =
        message.delivered
            && message.deliveries.stream()
                .allMatch(
                    delivery ->
                        mayBeUnread(delivery, firstByteUs)
                            || wasExpiredWhenRead(delivery, firstByteUs));
    final boolean repeatable =
        message.messageClass.idempotence() == Idempotence.IDEMPOTENT
            || (message.messageClass.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
                && firstByteUs <= message.firstRunUs + message.messageClass.idempotencyWindowUs());
    final boolean unknown =
        allUnread || (message.delivered && responsesCopied && message.answeredOnReusedConnection);
    final boolean allowed = unknown && repeatable;
    if (allowed) {
      allowedRepeats.add(message + " was repeated" + describeRepeat(message, firstByteUs));
    }
    return allowed;
  }

  /** True if the process that made a call has been killed, and may not have read its answer. */
  private boolean mayBeUnread(final Delivery delivery, final long nowUs) {
    final OptionalLong killUs = lifetimes.firstKillSince(delivery.callUs());
    return killUs.isPresent()
        && killUs.getAsLong() - delivery.answeredUs() <= MAX_UNREAD_US
        && nowUs > killUs.getAsLong();
  }

  /**
   * True if the courier was paused when a shared call was answered, and the earliest deadline in it
   * had passed when it resumed, as the courier counts: it may take a request to have come up to a
   * client's timeout earlier than it did.
   */
  private boolean wasExpiredWhenRead(final Delivery delivery, final long nowUs) {
    final OptionalLong resumedUs = lifetimes.endOfPauseAt(delivery.answeredUs());
    return delivery.sharedDeadlineUs() != Long.MAX_VALUE
        && resumedUs.isPresent()
        && delivery.sharedDeadlineUs() - CLIENT_TIMEOUT_US <= resumedUs.getAsLong()
        && nowUs > resumedUs.getAsLong();
  }

  /** A call ended at its endpoint for one message; {@code firstByteUs} is when that call began. */
  public synchronized void recordCallEnd(
      final long nowUs, final long firstByteUs, final String id, final CallResult result) {
    final Message message = messages.get(id);
    if (message == null) {
      return;
    }
    message.connectionsInFlight.remove(firstByteUs);
    recordStatedEnd(nowUs, firstByteUs, message, result);
    if (message.copiesViolation != null
        && message.firstCopySide == CallConnection.Side.UNKNOWN
        && (result == CallResult.CONNECTION_LOST || result == CallResult.INCOMPLETE_REQUEST)
        && message.messageClass.idempotence() != Idempotence.NON_IDEMPOTENT
        && firstByteUs < message.copiesViolation.atUs()
        && nowUs - message.copiesViolation.atUs() <= SAME_BATCH_US) {
      // The courier had ended the first copy before it sent the second: both were read in one
      // batch, in either order.
      violations.remove(message.copiesViolation);
      message.copiesViolation = null;
    } else if (message.copiesViolation != null && firstByteUs < message.copiesViolation.atUs()) {
      // How and when the first one ended shows which events crossed.
      violations.set(
          violations.indexOf(message.copiesViolation),
          new Violation(
              message.copiesViolation.rule(),
              message.copiesViolation.atUs(),
              message.copiesViolation.what()
                  + ", the first one, sent "
                  + (message.copiesViolation.atUs() - firstByteUs)
                  + " us before, ended "
                  + (nowUs - message.copiesViolation.atUs())
                  + " us later: "
                  + result
                  + ", its connection was "
                  + message.firstCopySide));
      message.copiesViolation = null;
    }
    if (result.mayHaveRun) {
      message.firstRunUs = Math.min(message.firstRunUs, firstByteUs);
    }
    if (result == CallResult.DELIVERED) {
      message.deliveries.add(
          new Delivery(
              firstByteUs,
              nowUs,
              message.sharedDeadlinesUs.getOrDefault(firstByteUs, Long.MAX_VALUE)));
      message.delivered = true;
      if (!message.ended) {
        closeMessage(nowUs, message, "delivered");
      }
    } else if (result == CallResult.CONNECTION_LOST && message.key != null) {
      final long settleUntilUs = nowUs + tolerances.settleDelayUs();
      queuesByKey.getOrDefault(message.key, new ArrayDeque<>()).stream()
          .filter(other -> other != message)
          .forEach(other -> other.settleUntilUs = Math.max(other.settleUntilUs, settleUntilUs));
    }
  }

  private void recordStatedEnd(
      final long nowUs, final long firstByteUs, final Message message, final CallResult result) {
    final boolean statesEnd = result == CallResult.GONE || result == CallResult.NO_MORE_ATTEMPTS;
    if (!statesEnd || message.statedEnd != null) {
      return;
    }
    message.statedEnd = new StatedEnd(result, firstByteUs, nowUs);
    if (result == CallResult.GONE && !message.ended) {
      closeMessage(nowUs, message, "over");
    }
  }

  /** Returns how many calls carried a message that was delivered already. */
  public synchronized long callsOfDeliveredMessages() {
    return callsOfDeliveredMessages;
  }

  /** Returns what an endpoint has answered that ended a message; null if none did. */
  public synchronized CallResult statedEnd(final String id) {
    final Message message = messages.get(id);
    return message == null || message.statedEnd == null ? null : message.statedEnd.result();
  }

  /** A message was ended over a connection that had carried another call. */
  public synchronized void recordAnswerOnReusedConnection(final String id) {
    final Message message = messages.get(id);
    if (message != null) {
      message.answeredOnReusedConnection = true;
    }
  }

  /**
   * A response is sent twice. From then on the courier cannot know whether the responses that it
   * read on reused connections were copies, and may repeat a repeatable message.
   */
  public synchronized void recordCopiedResponse() {
    responsesCopied = true;
  }

  /** An answer carried a Retry-After: the destination may not be called before. */
  public synchronized void recordRetryAfter(
      final long nowUs, final long destination, final long retryAfterUs) {
    final Destination target = destination(destination);
    if (nowUs + retryAfterUs > target.retryAfterUntilUs) {
      target.retryAfterSentUs = nowUs >= target.retryAfterUntilUs ? nowUs : target.retryAfterSentUs;
      target.retryAfterUntilUs = nowUs + retryAfterUs;
    }
  }

  // ---------------------------------------------------------------- recovering destinations

  /**
   * A destination recovers from an outage: it tolerates a share of its normal rate at first, and
   * all of it later.
   */
  public synchronized void recordRecovery(
      final long nowUs,
      final long destination,
      final double callsPerSecond,
      final double initialShare,
      final long warmUpUs) {
    destination(destination).recovery.markRecovered(nowUs, callsPerSecond, initialShare, warmUpUs);
  }

  private Destination destination(final long id) {
    return destinations.computeIfAbsent(id, unused -> new Destination(tolerances));
  }

  // ---------------------------------------------------------------- results

  /**
   * Returns all violations, including accepted messages without a final outcome whose deadline has
   * passed.
   */
  public synchronized List<Violation> finish(final long nowUs) {
    violations.addAll(lateOutcomes.takeViolations());
    for (final Message message : messages.values()) {
      if (message.accepted && !message.ended && nowUs > message.deadlineUs + tolerances.graceUs()) {
        addViolation(Rule.LOST, nowUs, message + " was accepted and has no final outcome");
      }
    }
    return List.copyOf(violations);
  }

  /** True once every accepted message has its final outcome. */
  public synchronized boolean allEnded() {
    return messages.values().stream().noneMatch(message -> message.accepted && !message.ended);
  }

  /**
   * True once every message has the outcome that the courier can still report: also one whose
   * client timed out, unless the process that may have read it was killed.
   */
  public synchronized boolean allSettled() {
    return messages.values().stream()
        .allMatch(
            message ->
                message.ended
                    || (!message.accepted && message.submittedUs < lifetimes.lastKillUs()));
  }

  /**
   * For each call to an endpoint after the notification that it drains or is gone, how long after,
   * us.
   */
  public synchronized List<Long> drainLagsUs() {
    return List.copyOf(drainLagsUs);
  }

  /** Each repeat after a delivery that no rule forbids, with the times that explain it. */
  public synchronized List<String> allowedRepeats() {
    return List.copyOf(allowedRepeats);
  }

  /**
   * The number of messages by outcome: delivered, deferred, undeliverable, rejected or failed at
   * submission, open, unanswered.
   */
  public synchronized Map<String, Integer> outcomeCounts() {
    final Map<String, Integer> ends = new LinkedHashMap<>();
    messages
        .values()
        .forEach(
            message ->
                ends.merge(
                    message.ended ? message.outcome : message.accepted ? "open" : "unanswered",
                    1,
                    Integer::sum));
    return ends;
  }
}

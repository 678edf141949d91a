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
 * Checks the six rules from what the stand-ins saw, with code of its own: it knows nothing of the
 * courier's. Times are microseconds on one clock; events may be told by any thread, those of one
 * message in their order. After the last one {@link #finish} says what was never ended.
 */
public final class RuleChecker {
  /**
   * An end and a beginning on two connections that come in one batch of the selector are read in
   * any order, us. Counts only where nobody can tell how the first connection stood.
   */
  private static final long SAME_BATCH_US = 5_000;

  /** How long before its time is up a message may be ended, us. */
  private static final long EXPIRY_MARGIN_US = 50_000;

  private static final String DEFERRED = "deferred";
  private static final String UNDELIVERABLE = "undeliverable";

  /** Microseconds in a millisecond. */
  static final long MS = 1000;

  private static final long SECOND = 1_000_000;

  /**
   * For so long a request may have lain unread; a courier counts its time from the earliest moment.
   */
  private static final long CLIENT_PATIENCE_US = 400 * MS;

  /** How long before its end a process may have been answered without having read it. */
  private static final long UNREAD_US = SECOND;

  private final Tolerances figures;
  private final Map<String, MessageClass> classes = new HashMap<>();
  private final Map<String, Message> messages = new LinkedHashMap<>();
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Map<Long, Destination> destinations = new HashMap<>();
  private final Map<String, Deque<Message>> lines = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final List<Long> drainLagsUs = new ArrayList<>();
  private final List<String> allowedRepeats = new ArrayList<>();

  private final LateEnds lateEnds;

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

  /** How a call ended, as its endpoint knows it. */
  public enum CallResult {
    /** Answered that it is delivered. */
    DELIVERED(true),
    /** Answered that it failed; it may have run. */
    ERROR(true),
    /** Turned away; it never ran. */
    REJECTED(false),
    /** Its connection ended after its last byte had come, without an answer. */
    CONNECTION_LOST(true),
    /** Its connection ended before its last byte had come. */
    INCOMPLETE_REQUEST(false);

    private final boolean mayHaveRun;

    CallResult(final boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  /**
   * A call that delivered a message: when its first byte came, when it was answered, and when the
   * time of the first of several messages in it was up; never, for a message alone.
   */
  private record Delivery(long callUs, long answeredUs, long sharedUntilUs) {
    private String describe() {
      final String shared =
          sharedUntilUs == Long.MAX_VALUE ? "alone" : "shared until " + sharedUntilUs;
      return "called " + callUs + ", answered " + answeredUs + ", " + shared;
    }
  }

  private static final class Message {
    /** That two copies were out, until it is known that the first had been ended; else null. */
    private Violation copies;

    /** How the first one's connection stood then. */
    private CallConnection.Side firstCopySide = CallConnection.Side.UNKNOWN;

    private final String id;
    private final MessageClass kind;
    private final long destination;
    private final String key;
    private final long handedInUs;
    private final long timeUpUs;
    private boolean taken;
    private boolean over;
    private String end = "";
    private long endedUs;
    private boolean delivered;

    /** The calls that delivered it; more than one if the answer of the one before was not read. */
    private final List<Delivery> deliveries = new ArrayList<>();

    /** For each call that it shared, when the time of the first message in it was up. */
    private final Map<Long, Long> sharedUntilUs = new HashMap<>();

    /** The connections of the calls that are out, by when each began. */
    private final Map<Long, CallConnection> out = new HashMap<>();

    private long firstRunUs = Long.MAX_VALUE;
    private long restUntilUs;

    private Message(
        final String id,
        final MessageClass kind,
        final long destination,
        final String key,
        final long handedInUs,
        final long timeUpUs) {
      this.id = id;
      this.kind = kind;
      this.destination = destination;
      this.key = key;
      this.handedInUs = handedInUs;
      this.timeUpUs = timeUpUs;
    }

    @Override
    public String toString() {
      return id + " (" + kind.name() + ")";
    }
  }

  private static final class Endpoint {
    private final long destination;
    private long closedUs = Long.MAX_VALUE;

    private Endpoint(final long destination) {
      this.destination = destination;
    }
  }

  private static final class Destination {
    private long waitToldUs = Long.MIN_VALUE;
    private long waitUntilUs = Long.MIN_VALUE;
    private final ColdDestination recovery;

    private Destination(final Tolerances figures) {
      recovery = new ColdDestination(figures);
    }
  }

  /** An Auditor that has seen nothing yet. */
  public RuleChecker(final Tolerances figures, final List<MessageClass> kinds) {
    this.figures = figures;
    this.lifetimes = new CourierLifetimes(figures.restartGraceUs());
    this.lateEnds = new LateEnds(figures.graceUs());
    kinds.forEach(kind -> classes.put(kind.name(), kind));
  }

  private void broken(final Rule rule, final long nowUs, final String what) {
    violations.add(new Violation(rule, nowUs, what));
  }

  // ---------------------------------------------------------------- clients and the platform

  /** A client sends a message; {@code key} orders it in a class in turn, and may be null. */
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

  /** A client was answered that its message is taken on. */
  public synchronized void recordAccepted(final long nowUs, final String id) {
    final Message message = messages.get(id);
    message.taken = true;
    if (message.kind.orderedByKey() && message.key != null && !message.over) {
      lines.computeIfAbsent(message.key, unused -> new ArrayDeque<>()).add(message);
    }
  }

  /** A client was refused. */
  public synchronized void recordRejected(final long nowUs, final String id) {
    end(nowUs, messages.get(id), "rejected at submission", true);
  }

  /**
   * A client was answered that its message failed, or had no answer in its time: nothing is
   * promised.
   */
  public synchronized void recordFailed(final long nowUs, final String id) {
    end(nowUs, messages.get(id), "failed at submission", false);
  }

  /** The platform was told an end. */
  public synchronized void recordOutcomeNotice(
      final long nowUs, final String id, final boolean deferred) {
    final Message message = messages.get(id);
    if (message == null) {
      broken(Rule.LOST, nowUs, "a notice for " + id + ", which nobody handed in");
    } else {
      end(nowUs, message, deferred ? DEFERRED : UNDELIVERABLE, deferred);
    }
  }

  private void end(
      final long nowUs, final Message message, final String end, final boolean deferred) {
    if (message.over) {
      if (!message.delivered
          && !message.end.equals(end)
          && !isRetoldAfterRestart(message, end, nowUs)) {
        broken(Rule.LOST, nowUs, message + " ended twice: " + message.end + ", then " + end);
      }
      return;
    }
    if (deferred
        && message.firstRunUs != Long.MAX_VALUE
        && message.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
      broken(Rule.DOUBLE, nowUs, message + " may have run and was " + end);
    }
    close(nowUs, message, end);
  }

  /**
   * While the journal cannot be written, a deferral is told once the message's time is up. A
   * restart may know of an attempt, and not that it never began: the message is then undeliverable.
   */
  private boolean isRetoldAfterRestart(final Message message, final String end, final long nowUs) {
    return message.end.equals(DEFERRED)
        && end.equals(UNDELIVERABLE)
        && message.endedUs >= message.timeUpUs - EXPIRY_MARGIN_US
        && lifetimes.wasKilledBetween(message.endedUs, nowUs);
  }

  private void close(final long nowUs, final Message message, final String end) {
    message.over = true;
    message.end = end;
    message.endedUs = nowUs;
    // From the end of a process until a while after the next one is ready no end is late, also
    // ahead of its being ready.
    final long dueUs = message.timeUpUs + figures.graceUs();
    if (message.taken && nowUs > dueUs && !lifetimes.excuseLateEnd(dueUs, nowUs)) {
      lateEnds.record(message.toString(), message.timeUpUs, nowUs);
    }
    if (message.key != null) {
      final Deque<Message> line = lines.get(message.key);
      if (line != null) {
        line.remove(message);
      }
    }
  }

  /**
   * The stand-ins did not run between two moments though they meant to: what came to them meanwhile
   * was seen late by their own fault. It counts by as much, and no more.
   */
  public synchronized void recordCheckerPause(final long fromUs, final long toUs) {
    lateEnds.excuse(fromUs, toUs);
  }

  /**
   * The courier was stopped between two moments by whoever plays it: what ran out meanwhile could
   * be ended by nobody before it was over. It counts by as much, and no more.
   */
  public synchronized void recordCourierPause(final long fromUs, final long toUs) {
    lifetimes.recordStop(fromUs, toUs);
    recordCheckerPause(fromUs, toUs);
  }

  /** The courier's process was ended, or is ready again. */
  public synchronized void recordRestart(final long nowUs, final boolean ready) {
    if (ready) {
      lifetimes.recordReady(nowUs);
    } else {
      lifetimes.recordKill(nowUs);
    }
  }

  // ---------------------------------------------------------------- endpoints

  /** An endpoint exists. */
  public synchronized void registerEndpoint(final String name, final long destination) {
    endpoints.putIfAbsent(name, new Endpoint(destination));
  }

  /** The courier was told that an endpoint drains or is gone. A second telling changes nothing. */
  public synchronized void recordDraining(final long nowUs, final String name) {
    final Endpoint endpoint = endpoints.get(name);
    endpoint.closedUs = Math.min(endpoint.closedUs, nowUs);
  }

  /** The courier was told that an endpoint takes messages again. */
  public synchronized void recordReady(final String name) {
    endpoints.get(name).closedUs = Long.MAX_VALUE;
  }

  /** A call began to come in over a connection of which nobody can tell how it stands. */
  public synchronized void recordCall(
      final long firstByteUs, final String name, final List<String> ids) {
    recordCall(firstByteUs, name, ids, () -> CallConnection.Side.UNKNOWN);
  }

  /** A call began to come in: its first byte and, for each message in it, its id. */
  public synchronized void recordCall(
      final long firstByteUs,
      final String name,
      final List<String> ids,
      final CallConnection connection) {
    final Endpoint endpoint = endpoints.get(name);
    final Destination destination = destination(endpoint.destination);
    if (firstByteUs > endpoint.closedUs) {
      drainLagsUs.add(firstByteUs - endpoint.closedUs);
      if (firstByteUs > endpoint.closedUs + figures.drainGraceUs()) {
        broken(
            Rule.DRAIN,
            firstByteUs,
            name
                + " was called "
                + (firstByteUs - endpoint.closedUs) / MS
                + " ms after it was told to drain or gone");
      }
    }
    if (firstByteUs < destination.waitUntilUs
        && firstByteUs > destination.waitToldUs + figures.retryAfterSlackUs()) {
      broken(
          Rule.WAIT,
          firstByteUs,
          "destination "
              + endpoint.destination
              + " was called "
              + (destination.waitUntilUs - firstByteUs) / MS
              + " ms before its wait was over");
    }
    destination
        .recovery
        .recordCall(firstByteUs)
        .ifPresent(
            what ->
                broken(
                    Rule.TIPPED, firstByteUs, "destination " + endpoint.destination + " " + what));
    noteShared(firstByteUs, ids);
    ids.forEach(id -> begun(firstByteUs, endpoint, id, connection));
  }

  private void noteShared(final long firstByteUs, final List<String> ids) {
    if (ids.size() > 1) {
      final List<Message> shared =
          ids.stream().map(messages::get).filter(Objects::nonNull).toList();
      final long untilUs =
          shared.stream().mapToLong(message -> message.timeUpUs).min().orElse(Long.MAX_VALUE);
      shared.forEach(message -> message.sharedUntilUs.put(firstByteUs, untilUs));
    }
  }

  private void begun(
      final long firstByteUs,
      final Endpoint endpoint,
      final String id,
      final CallConnection connection) {
    final Message message = messages.get(id);
    if (message == null) {
      broken(Rule.DESTINATION, firstByteUs, id + " was sent, and nobody handed it in");
      return;
    }
    if (message.destination != endpoint.destination) {
      broken(
          Rule.DESTINATION,
          firstByteUs,
          message + " for " + message.destination + " went to " + endpoint.destination);
    }
    noteCopies(firstByteUs, message);
    message.out.put(firstByteUs, connection);
    if (message.over && mayRepeat(firstByteUs, message)) {
      return;
    }
    if (message.over) {
      broken(
          message.delivered && message.kind.idempotence() == Idempotence.IDEMPOTENT
              ? Rule.LOST
              : Rule.DOUBLE,
          firstByteUs,
          message
              + " was sent after it was "
              + message.end
              + (message.delivered ? afterItsAnswer(message, firstByteUs) : ""));
    } else if (message.firstRunUs != Long.MAX_VALUE) {
      if (message.kind.idempotence() == Idempotence.NON_IDEMPOTENT) {
        broken(Rule.DOUBLE, firstByteUs, message + " may have run and was sent again");
      } else if (message.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
          && firstByteUs > message.firstRunUs + message.kind.idempotencyWindowUs()) {
        broken(
            Rule.DOUBLE,
            firstByteUs,
            message
                + " was sent again "
                + (firstByteUs - message.firstRunUs) / MS
                + " ms after it may have run; its key is kept for "
                + message.kind.idempotencyWindowUs() / MS);
      }
    }
    if (message.key != null && message.kind.orderedByKey()) {
      final Deque<Message> line = lines.get(message.key);
      final Message first = line == null ? null : line.peekFirst();
      if (first != null && first != message) {
        broken(Rule.ORDER, firstByteUs, message + " went before " + first);
      } else if (firstByteUs < message.restUntilUs) {
        broken(Rule.ORDER, firstByteUs, message + " went while its key rested");
      }
    }
  }

  /**
   * A second copy while the first one's connection is open breaks a rule. One whose end has come
   * and lies unread at a stand-in was over before: the courier ended it first.
   */
  private void noteCopies(final long firstByteUs, final Message message) {
    final List<CallConnection.Side> sides =
        message.out.values().stream().map(CallConnection::courierSide).toList();
    if (sides.stream().allMatch(side -> side == CallConnection.Side.ENDED)) {
      return;
    }
    broken(Rule.DOUBLE, firstByteUs, message + ": two copies are out");
    message.copies = violations.get(violations.size() - 1);
    message.firstCopySide =
        sides.contains(CallConnection.Side.OPEN)
            ? CallConnection.Side.OPEN
            : CallConnection.Side.UNKNOWN;
  }

  /** What tells whose doing a repeat is: the calls that delivered the message, and all kills. */
  private String afterItsAnswer(final Message message, final long firstByteUs) {
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
   * A process that was killed may not have read that a message is delivered: the answer was written
   * shortly before its end, or even after it, to a call that it had made. One that may be repeated
   * then goes once more, by whichever process comes to it first, and is answered as delivered once
   * more; nothing is owed for it.
   */
  private boolean mayRepeat(final long firstByteUs, final Message message) {
    final boolean unread =
        message.delivered
            && message.deliveries.stream()
                .allMatch(
                    delivery ->
                        mayBeUnread(delivery, firstByteUs)
                            || wasOverWhenRead(delivery, firstByteUs));
    final boolean repeatable =
        message.kind.idempotence() == Idempotence.IDEMPOTENT
            || (message.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
                && firstByteUs <= message.firstRunUs + message.kind.idempotencyWindowUs());
    final boolean allowed = unread && repeatable;
    if (allowed) {
      allowedRepeats.add(message + " was repeated" + afterItsAnswer(message, firstByteUs));
    }
    return allowed;
  }

  /** True if the process that made a call had ended by now, and may not have read its answer. */
  private boolean mayBeUnread(final Delivery delivery, final long nowUs) {
    final OptionalLong killUs = lifetimes.firstKillSince(delivery.callUs());
    return killUs.isPresent()
        && killUs.getAsLong() - delivery.answeredUs() <= UNREAD_US
        && nowUs > killUs.getAsLong();
  }

  /**
   * True if the courier was stopped when a call with several messages was answered, and the time of
   * the first of them was up when it woke, by the courier's reckoning: it may take a request to
   * have come up to a client's patience earlier than it did.
   */
  private boolean wasOverWhenRead(final Delivery delivery, final long nowUs) {
    final OptionalLong wokenUs = lifetimes.endOfStopAt(delivery.answeredUs());
    return delivery.sharedUntilUs() != Long.MAX_VALUE
        && wokenUs.isPresent()
        && delivery.sharedUntilUs() - CLIENT_PATIENCE_US <= wokenUs.getAsLong()
        && nowUs > wokenUs.getAsLong();
  }

  /**
   * A call's part for one message ended at its endpoint; {@code firstByteUs} is when that call
   * began.
   */
  public synchronized void recordCallEnd(
      final long nowUs, final long firstByteUs, final String id, final CallResult end) {
    final Message message = messages.get(id);
    if (message == null) {
      return;
    }
    message.out.remove(firstByteUs);
    if (message.copies != null
        && message.firstCopySide == CallConnection.Side.UNKNOWN
        && (end == CallResult.CONNECTION_LOST || end == CallResult.INCOMPLETE_REQUEST)
        && message.kind.idempotence() != Idempotence.NON_IDEMPOTENT
        && firstByteUs < message.copies.atUs()
        && nowUs - message.copies.atUs() <= SAME_BATCH_US) {
      // The courier had ended the first copy before it sent the second: both were read in one
      // batch, in any order.
      violations.remove(message.copies);
      message.copies = null;
    } else if (message.copies != null && firstByteUs < message.copies.atUs()) {
      // How and when the first one ended tells what crossed what.
      violations.set(
          violations.indexOf(message.copies),
          new Violation(
              message.copies.rule(),
              message.copies.atUs(),
              message.copies.what()
                  + ", the first one of "
                  + (message.copies.atUs() - firstByteUs)
                  + " us ended "
                  + (nowUs - message.copies.atUs())
                  + " us later: "
                  + end
                  + ", its connection was "
                  + message.firstCopySide));
      message.copies = null;
    }
    if (end.mayHaveRun) {
      message.firstRunUs = Math.min(message.firstRunUs, firstByteUs);
    }
    if (end == CallResult.DELIVERED) {
      message.deliveries.add(
          new Delivery(
              firstByteUs, nowUs, message.sharedUntilUs.getOrDefault(firstByteUs, Long.MAX_VALUE)));
      message.delivered = true;
      if (!message.over) {
        close(nowUs, message, "delivered");
      }
    } else if (end == CallResult.CONNECTION_LOST && message.key != null) {
      final long restUntilUs = nowUs + figures.settleDelayUs();
      lines.getOrDefault(message.key, new ArrayDeque<>()).stream()
          .filter(other -> other != message)
          .forEach(other -> other.restUntilUs = Math.max(other.restUntilUs, restUntilUs));
    }
  }

  /** An answer told to wait before the destination is called again. */
  public synchronized void recordRetryAfter(
      final long nowUs, final long destination, final long waitUs) {
    final Destination told = destination(destination);
    if (nowUs + waitUs > told.waitUntilUs) {
      told.waitToldUs = nowUs >= told.waitUntilUs ? nowUs : told.waitToldUs;
      told.waitUntilUs = nowUs + waitUs;
    }
  }

  // ---------------------------------------------------------------- destinations that return

  /**
   * A destination is back from an outage, cold: it takes a share of its calls a second, and all of
   * them later.
   */
  public synchronized void recordRecovery(
      final long nowUs,
      final long destination,
      final double callsPerSecond,
      final double coldFrom,
      final long coldUs) {
    destination(destination).recovery.markReturned(nowUs, callsPerSecond, coldFrom, coldUs);
  }

  private Destination destination(final long id) {
    return destinations.computeIfAbsent(id, unused -> new Destination(figures));
  }

  // ---------------------------------------------------------------- the verdict

  /** All that was broken, with what was taken on and never ended although its time is up by now. */
  public synchronized List<Violation> finish(final long nowUs) {
    violations.addAll(lateEnds.takeViolations());
    for (final Message message : messages.values()) {
      if (message.taken && !message.over && nowUs > message.timeUpUs + figures.graceUs()) {
        broken(Rule.LOST, nowUs, message + " was taken on and never ended");
      }
    }
    return List.copyOf(violations);
  }

  /** True once every message that was taken on has its end. */
  public synchronized boolean allEnded() {
    return messages.values().stream().noneMatch(message -> message.taken && !message.over);
  }

  /**
   * True once every message has its end that the courier may still have: also one whose client gave
   * up waiting for its answer, unless the process that may have read it was ended.
   */
  public synchronized boolean allSettled() {
    return messages.values().stream()
        .allMatch(
            message ->
                message.over || (!message.taken && message.handedInUs < lifetimes.lastKillUs()));
  }

  /** For each call to an endpoint after it was told to drain or gone, how long after, us. */
  public synchronized List<Long> drainLagsUs() {
    return List.copyOf(drainLagsUs);
  }

  /** Each repeat after a delivery that no rule forbids, with the times that make it so. */
  public synchronized List<String> allowedRepeats() {
    return List.copyOf(allowedRepeats);
  }

  /**
   * How messages ended so far, by how: delivered, deferred, undeliverable, refused or failed at the
   * door, open.
   */
  public synchronized Map<String, Integer> outcomeCounts() {
    final Map<String, Integer> ends = new LinkedHashMap<>();
    messages
        .values()
        .forEach(
            message ->
                ends.merge(
                    message.over ? message.end : message.taken ? "open" : "unanswered",
                    1,
                    Integer::sum));
    return ends;
  }
}

package thistleturn.decisions;

import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.OrderedQueue;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * Messages that wait for one destination and differ only in their deadlines and ages, so that the
 * most urgent is found without examining each of them.
 */
final class DeadlineGroup {
  private final int classIndex;
  private final MessageClass messageClass;
  private final boolean overQuota;
  private final boolean mayHaveExecuted;

  /** Whether another message of the same key must be sent first. */
  private final boolean blocked;

  /** The only zone whose endpoints would recognize a repeat; null if any zone may be used. */
  private final String requiredZone;

  /** The messages by latency objective; null in an unordered group. */
  private final OrderedQueue<PendingMessage> ordered;

  /** The messages whose idempotency windows end at different times; null in an ordered group. */
  private final Set<PendingMessage> unordered;

  DeadlineGroup(
      final PendingMessage first, final boolean blocked, final boolean endsWithIdempotencyWindow) {
    this.classIndex = first.classIndex();
    this.messageClass = first.messageClass();
    this.overQuota = first.isOverQuota();
    this.mayHaveExecuted = first.mayHaveExecuted();
    this.blocked = blocked;
    this.requiredZone = first.requiredZone();
    this.ordered = endsWithIdempotencyWindow ? null : new OrderedQueue<>();
    this.unordered = endsWithIdempotencyWindow ? new HashSet<>() : null;
  }

  int classIndex() {
    return classIndex;
  }

  MessageClass messageClass() {
    return messageClass;
  }

  Idempotence idempotence() {
    return messageClass.idempotence();
  }

  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  boolean isBlocked() {
    return blocked;
  }

  /** Returns whether a message belongs to this group. */
  boolean matches(
      final PendingMessage message,
      final boolean isBlocked,
      final boolean endsWithIdempotencyWindow) {
    return classIndex == message.classIndex()
        && overQuota == message.isOverQuota()
        && mayHaveExecuted == message.mayHaveExecuted()
        && blocked == isBlocked
        && endsWithIdempotencyWindow == (unordered != null)
        && (requiredZone == null
            ? message.requiredZone() == null
            : requiredZone.equals(message.requiredZone()));
  }

  void add(final PendingMessage message) {
    if (unordered != null) {
      unordered.add(message);
    } else {
      ordered.add(message, message.objectiveUs(), message.queuePosition());
    }
    message.enterGroup(this);
  }

  void remove(final PendingMessage message) {
    if (unordered != null) {
      unordered.remove(message);
    } else {
      ordered.remove(message);
    }
    message.leaveGroup();
  }

  boolean isEmpty() {
    return unordered == null ? ordered.size() == 0 : unordered.isEmpty();
  }

  /**
   * Returns the message of greatest value; the first in the queue among equals.
   *
   * @param breakpoints the latency objectives between which the value only rises or only falls
   */
  PendingMessage greatest(final long[] breakpoints, final ToDoubleFunction<PendingMessage> value) {
    if (unordered == null) {
      return ordered.greatest(breakpoints, value);
    }
    PendingMessage best = null;
    double bestValue = 0;
    for (final PendingMessage message : unordered) {
      final double messageValue = value.applyAsDouble(message);
      if (best == null
          || messageValue > bestValue
          || (messageValue == bestValue && message.queuePosition() < best.queuePosition())) {
        best = message;
        bestValue = messageValue;
      }
    }
    return best;
  }

  /**
   * Returns the message that expires first among those that are valid at least until a time; null
   * if there is none, or in an unordered group, whose messages end with their idempotency windows.
   */
  PendingMessage firstValidUntil(final long untilUs) {
    return ordered == null
        ? null
        : ordered.firstAtOrAbove(
            untilUs - messageClass.deadlineUs() + messageClass.latencyObjectiveUs());
  }

  /** Returns whether messages of equal age have equal value in this group and another. */
  boolean hasSameValueAs(final DeadlineGroup other) {
    final MessageClass otherClass = other.messageClass;
    return overQuota == other.overQuota
        && messageClass.priorityWeight() == otherClass.priorityWeight()
        && messageClass.lateWeight() == otherClass.lateWeight()
        && messageClass.latencyObjectiveUs() == otherClass.latencyObjectiveUs()
        && messageClass.deadlineUs() == otherClass.deadlineUs();
  }

  /** Returns whether the clients of these messages may safely submit them again. */
  boolean mayShed() {
    return PendingMessage.mayShed(messageClass, mayHaveExecuted);
  }

  /** Returns whether a message of this group may share a call with others. */
  boolean mayShareCall() {
    return idempotence() != Idempotence.NON_IDEMPOTENT;
  }

  /**
   * Returns whether the zone of an endpoint is allowed: where a message may have been executed, the
   * endpoint must recognize a repeat.
   */
  boolean allowsZoneOf(final EndpointHealth endpoint) {
    return requiredZone == null || endpoint.zone().equals(requiredZone);
  }
}

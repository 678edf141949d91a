package thistleturn.decisions;

import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.OrderedQueue;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * Messages that wait for one destination and differ in their times alone, so that the most urgent
 * of them is found without looking at each.
 */
final class DeadlineGroup {
  private final int classIndex;
  private final MessageClass messageClass;
  private final boolean overQuota;
  private final boolean mayHaveExecuted;

  /** Whether another message of the same key goes first. */
  private final boolean blocked;

  /** The only zone that would recognize a repeat; null: any zone would do. */
  private final String requiredZone;

  /** The messages by their latency objectives; null in an unordered group. */
  private final OrderedQueue<PendingMessage> ordered;

  /** The messages whose idempotency windows end each by itself; null in an ordered group. */
  private final Set<PendingMessage> unordered;

  DeadlineGroup(final PendingMessage first, final boolean blocked, final boolean endsWithItsKey) {
    this.classIndex = first.classIndex();
    this.messageClass = first.messageClass();
    this.overQuota = first.isOverQuota();
    this.mayHaveExecuted = first.mayHaveExecuted();
    this.blocked = blocked;
    this.requiredZone = first.requiredZone();
    this.ordered = endsWithItsKey ? null : new OrderedQueue<>();
    this.unordered = endsWithItsKey ? new HashSet<>() : null;
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

  /** Returns whether a message belongs here. */
  boolean matches(
      final PendingMessage message, final boolean isBlocked, final boolean endsWithItsKey) {
    return classIndex == message.classIndex()
        && overQuota == message.isOverQuota()
        && mayHaveExecuted == message.mayHaveExecuted()
        && blocked == isBlocked
        && endsWithItsKey == (unordered != null)
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
   * Returns the message of greatest value, the first in the queue among equals.
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
      final double itsValue = value.applyAsDouble(message);
      if (best == null
          || itsValue > bestValue
          || (itsValue == bestValue && message.queuePosition() < best.queuePosition())) {
        best = message;
        bestValue = itsValue;
      }
    }
    return best;
  }

  /**
   * Returns the message with the least time left of those that are valid until a time or longer;
   * null if there is none, or if idempotency windows end the messages before.
   */
  PendingMessage firstValidUntil(final long untilUs) {
    return ordered == null
        ? null
        : ordered.firstAtOrAbove(
            untilUs - messageClass.deadlineUs() + messageClass.latencyObjectiveUs());
  }

  /** Returns whether messages of the same age are worth the same here and in another group. */
  boolean hasSameValueAs(final DeadlineGroup other) {
    final MessageClass otherClass = other.messageClass;
    return overQuota == other.overQuota
        && messageClass.priorityWeight() == otherClass.priorityWeight()
        && messageClass.lateWeight() == otherClass.lateWeight()
        && messageClass.latencyObjectiveUs() == otherClass.latencyObjectiveUs()
        && messageClass.deadlineUs() == otherClass.deadlineUs();
  }

  /** Returns whether the clients of these messages may safely hand them in again. */
  boolean mayShed() {
    return PendingMessage.mayShed(messageClass, mayHaveExecuted);
  }

  /** Returns whether one of these may be sent in a call that others share. */
  boolean mayShareCall() {
    return idempotence() != Idempotence.NON_IDEMPOTENT;
  }

  /** Returns whether an endpoint would recognize a repeat, if one of these may have executed. */
  boolean allowsZoneOf(final EndpointHealth endpoint) {
    return requiredZone == null || endpoint.zone().equals(requiredZone);
  }
}

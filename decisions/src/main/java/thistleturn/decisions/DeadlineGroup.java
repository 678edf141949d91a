package thistleturn.decisions;

import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.OrderedQueue;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/** Messages that wait for a destination and differ in their times alone. */
final class DeadlineGroup {
  final int classIndex;
  final MessageClass messageClass;
  final boolean overQuota, mayHaveExecuted, blocked;

  /** The one zone that would know a repeat; null: any. */
  final String requiredZone;

  /** By their aims; or, where each key's window ends by itself, as they are. */
  final OrderedQueue<PendingMessage> ordered;

  final Set<PendingMessage> unordered;

  DeadlineGroup(final PendingMessage job, final boolean blocked, final boolean odd) {
    this.classIndex = job.message.classIndex();
    this.messageClass = job.messageClass;
    this.overQuota = job.overQuota;
    this.mayHaveExecuted = job.mayHaveExecuted;
    this.blocked = blocked;
    this.requiredZone = job.requiredZone();
    this.ordered = odd ? null : new OrderedQueue<>();
    this.unordered = odd ? new HashSet<>() : null;
  }

  boolean matches(final PendingMessage job, final boolean isBlocked, final boolean isOdd) {
    return classIndex == job.message.classIndex()
        && overQuota == job.overQuota
        && mayHaveExecuted == job.mayHaveExecuted
        && blocked == isBlocked
        && isOdd == (unordered != null)
        && (requiredZone == null
            ? job.requiredZone() == null
            : requiredZone.equals(job.requiredZone()));
  }

  boolean isEmpty() {
    return unordered == null ? ordered.size() == 0 : unordered.isEmpty();
  }

  /**
   * The member of greatest value, the one that came first among equals; the value turns at these
   * aims only.
   */
  PendingMessage greatest(final long[] turns, final ToDoubleFunction<PendingMessage> value) {
    if (unordered == null) {
      return ordered.greatest(turns, value);
    }
    PendingMessage best = null;
    double most = 0;
    for (final PendingMessage job : unordered) {
      final double one = value.applyAsDouble(job);
      if (best == null || one > most || (one == most && job.queuePosition < best.queuePosition)) {
        best = job;
        most = one;
      }
    }
    return best;
  }

  Idempotence idempotence() {
    return messageClass.idempotence();
  }

  boolean mayShed() {
    return PendingMessage.mayShed(messageClass, mayHaveExecuted);
  }

  /** False where an earlier attempt may have run and this endpoint would not know the repeat. */
  boolean allowsZoneOf(final EndpointHealth node) {
    return requiredZone == null || node.descriptor.zone().equals(requiredZone);
  }
}

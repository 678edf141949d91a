package thistleturn.decisions;

import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.OrderedQueue;

/** Messages that wait for a destination and differ in their times alone. */
final class Group {
  final int kind;
  final Courier.MessageClass like;
  final boolean overQuota, mayHaveRun, blocked;

  /** The one zone that would know a repeat; null: any. */
  final String zone;

  /** By their aims; or, where each key's window ends by itself, as they are. */
  final OrderedQueue<Job> line;

  final Set<Job> odd;

  Group(final Job job, final boolean blocked, final boolean odd) {
    this.kind = job.message.messageClass();
    this.like = job.kind;
    this.overQuota = job.overQuota;
    this.mayHaveRun = job.mayHaveRun;
    this.blocked = blocked;
    this.zone = job.onlyZone();
    this.line = odd ? null : new OrderedQueue<>();
    this.odd = odd ? new HashSet<>() : null;
  }

  boolean holds(final Job job, final boolean isBlocked, final boolean isOdd) {
    return kind == job.message.messageClass()
        && overQuota == job.overQuota
        && mayHaveRun == job.mayHaveRun
        && blocked == isBlocked
        && isOdd == (odd != null)
        && (zone == null ? job.onlyZone() == null : zone.equals(job.onlyZone()));
  }

  boolean isEmpty() {
    return odd == null ? line.size() == 0 : odd.isEmpty();
  }

  /**
   * The member of greatest value, the one that came first among equals; the value turns at these
   * aims only.
   */
  Job greatest(final long[] turns, final ToDoubleFunction<Job> value) {
    if (odd == null) {
      return line.greatest(turns, value);
    }
    Job best = null;
    double most = 0;
    for (final Job job : odd) {
      final double one = value.applyAsDouble(job);
      if (best == null || one > most || (one == most && job.place < best.place)) {
        best = job;
        most = one;
      }
    }
    return best;
  }

  Courier.Effect effect() {
    return like.effect();
  }

  boolean mayRefuse() {
    return Job.mayRefuse(like, mayHaveRun);
  }

  /** False where an earlier attempt may have run and this endpoint would not know the repeat. */
  boolean zoneAllows(final Node node) {
    return zone == null || node.entry.zone().equals(zone);
  }
}

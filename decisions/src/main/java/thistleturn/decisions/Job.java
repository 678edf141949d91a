package thistleturn.decisions;

import thistleturn.decisions.index.OrderedQueue;

/** A message that is owed an answer, or still has an attempt out. */
final class Job extends OrderedQueue.Entry {
  final Deadline end = new Deadline(this);
  final long number;
  final Courier.Message message;
  final Courier.MessageClass kind;
  final long aimUs;
  Destination destination;
  KeyLine line;
  Call call;

  /** The endpoint that refused it last. */
  Node refusedBy;

  /** While it waits: among which, and its place in the line of its destination. */
  Group group;

  long place;
  int attempts;
  boolean overQuota, mayHaveRun, over, waiting;
  long firstRunUs = Control.NEVER;
  String runZone = "";

  Job(final Courier.Message message, final Courier.MessageClass kind, final long number) {
    this.number = number;
    this.message = message;
    this.kind = kind;
    this.aimUs = message.validUntilUs() - kind.deadlineUs() + kind.aimUs();
  }

  /** True where handing it in again after a refusal can do no harm. */
  boolean mayRefuse() {
    return mayRefuse(kind, mayHaveRun);
  }

  static boolean mayRefuse(final Courier.MessageClass kind, final boolean mayHaveRun) {
    return !mayHaveRun
        || kind.effect() == Courier.Effect.SAFE
        || (kind.effect() == Courier.Effect.KEYED && !kind.zoneKeyed());
  }

  /** The zone in which a repeat would be known, where only that one is left; else null. */
  String onlyZone() {
    return mayHaveRun && kind.zoneKeyed() ? runZone : null;
  }

  /**
   * Until when it may be sent: a key that may be in use ends a message like its own deadline does.
   */
  long keyEndUs() {
    return Math.min(message.validUntilUs(), kind.keyEndUs(mayHaveRun, firstRunUs));
  }
}

package thistleturn.lab.fleet;

import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;

/** A message that a courier has taken on, with what its journal knows of it. */
final class Open {
  final String id;
  final int kindIndex;
  final MessageClass kind;
  final int destination;
  final long handedUs;
  final long untilUs;
  int attempts;

  /** When an attempt may first have run; below 0: none may. */
  long ranUs = -1;

  String ranZone;

  /** Its call that is out, or null. */
  CallOut out;

  Open(
      final String id,
      final int kindIndex,
      final MessageClass kind,
      final int destination,
      final long handedUs,
      final long untilUs) {
    this.id = id;
    this.kindIndex = kindIndex;
    this.kind = kind;
    this.destination = destination;
    this.handedUs = handedUs;
    this.untilUs = untilUs;
  }

  Message message() {
    return new Message(id, kindIndex, -1, null, untilUs, destination);
  }

  PriorAttempts past() {
    return new PriorAttempts(attempts, ranUs >= 0, Math.max(0, ranUs), ranZone);
  }
}

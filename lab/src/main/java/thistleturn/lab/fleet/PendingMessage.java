package thistleturn.lab.fleet;

import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;

/** A message that a courier has accepted, with the journal's record of its attempts. */
final class PendingMessage {
  final String id;
  final int kindIndex;
  final MessageClass kind;
  final int destination;
  final long handedUs;
  final long untilUs;
  int attempts;

  /** When the first attempt that may have run was sent, us; negative if none may have run. */
  long ranUs = -1;

  String ranZone;

  /** Its call in flight, or null. */
  SimulatedCall out;

  PendingMessage(
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

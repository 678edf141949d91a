package thistleturn.lab.fleet;

import thistleturn.decisions.Courier;

/** A message that a courier has taken on, with what its journal knows of it. */
final class Open {
  final String id;
  final int kindIndex;
  final Courier.MessageClass kind;
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
      final Courier.MessageClass kind,
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

  Courier.Message message() {
    return new Courier.Message(id, kindIndex, -1, null, untilUs, destination);
  }

  Courier.Past past() {
    return new Courier.Past(attempts, ranUs >= 0, Math.max(0, ranUs), ranZone);
  }
}

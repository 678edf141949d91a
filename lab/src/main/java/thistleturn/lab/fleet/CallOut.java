package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/** A call with one or more messages. */
final class CallOut {
  final long endpoint;
  final long sentUs;
  final List<Open> messages = new ArrayList<>();

  /** Its outcome has been told, or nobody waits for it any more. */
  boolean over;

  /** It holds a connection at its endpoint. */
  boolean connected;

  CallOut(final long endpoint, final long sentUs) {
    this.endpoint = endpoint;
    this.sentUs = sentUs;
  }
}

package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/** A call with one or more messages. */
final class SimulatedCall {
  final long endpoint;
  final long sentUs;
  final List<PendingMessage> messages = new ArrayList<>();

  /** True once its outcome has been reported or the courier has given up on it. */
  boolean over;

  /** True while it holds a connection at its endpoint. */
  boolean connected;

  SimulatedCall(final long endpoint, final long sentUs) {
    this.endpoint = endpoint;
    this.sentUs = sentUs;
  }
}

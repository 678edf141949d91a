package thistleturn.courier.http;

import thistleturn.decisions.index.TimeHeap;

/** The scheduled time of the next check of a client connection. */
final class ScheduledCheck extends TimeHeap.Entry {
  private final ClientConnection connection;

  ScheduledCheck(final ClientConnection connection) {
    this.connection = connection;
  }

  ClientConnection connection() {
    return connection;
  }
}

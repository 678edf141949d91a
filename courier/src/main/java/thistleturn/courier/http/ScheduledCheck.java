package thistleturn.courier.http;

import thistleturn.decisions.index.TimeHeap;

/** When the state of a client connection is checked next. */
final class ScheduledCheck extends TimeHeap.Entry {
  private final ClientConnection connection;

  ScheduledCheck(final ClientConnection connection) {
    this.connection = connection;
  }

  ClientConnection connection() {
    return connection;
  }
}

package thistleturn.courier.http;

import java.net.SocketAddress;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/** The structured log events of client connections. */
final class ClientConnectionLog {
  private ClientConnectionLog() {}

  /** The courier closes a connection while a request is being received, queued or served. */
  static void closed(
      final SocketAddress client,
      final String reason,
      final String messageId,
      final int queued,
      final boolean receivingRequest) {
    Log.event(
        Event.CONNECTION_CLOSED,
        "client",
        client,
        "why",
        reason,
        "id",
        messageId,
        "queued",
        queued,
        "coming_in",
        receivingRequest);
  }

  /** A request is rejected, and its connection closes after that response. */
  static void rejected(
      final SocketAddress client, final int status, final String messageId, final int queued) {
    Log.event(
        Event.CONNECTION_CLOSED,
        "client",
        client,
        "why",
        status,
        "id",
        messageId,
        "queued",
        queued);
  }

  /** The selector does not report the readiness of a connection. */
  static void unwatched(final SocketAddress client, final long afterUs) {
    Log.event(Event.CONNECTION_UNWATCHED, "client", client, "after_us", afterUs);
  }

  /** A connection ended before its request was answered. */
  static void unanswered(final SocketAddress client, final String messageId, final long afterUs) {
    Log.event(Event.REQUEST_UNANSWERED, "id", messageId, "client", client, "after_us", afterUs);
  }
}

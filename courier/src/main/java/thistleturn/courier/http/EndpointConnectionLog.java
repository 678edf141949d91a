package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.StringJoiner;
import java.util.function.Supplier;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.LabelledCounter;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.Metrics;

/**
 * Logs what happens on one connection to an endpoint outside its calls, together with the latest
 * calls: which message was answered with which status, and when. Used on the event loop.
 */
final class EndpointConnectionLog {
  /** How many of the latest calls are kept for the log. */
  private static final int MAX_RECENT_CALLS = 4;

  /** How much of unexpected bytes is logged. */
  private static final int MAX_LOGGED_BYTES = 24;

  private static final LabelledCounter CLOSED =
      Metrics.counter(
          "courier_endpoint_connections_closed_total",
          "why",
          EndpointCloseReason.values(),
          EndpointCloseReason::label);

  private final long connection;
  private final Deque<AnsweredCall> recentCalls = new ArrayDeque<>(MAX_RECENT_CALLS);
  private String address = "";
  private int calls;
  private long responseBeganUs;

  /** A call and the response that was taken for its own. */
  private record AnsweredCall(int number, String firstId, int messages, int status, long atUs) {
    private String describe(final long nowUs) {
      final String more = messages > 1 ? "+" + (messages - 1) : "";
      return number + ":" + firstId + more + ":" + status + ":" + (nowUs - atUs);
    }
  }

  EndpointConnectionLog(final long connection) {
    this.connection = connection;
  }

  /** The number of the connection, unique within its dispatcher. */
  long connection() {
    return connection;
  }

  /** The number of calls that the connection has carried. */
  int calls() {
    return calls;
  }

  void onCallSent(final HttpCall call) {
    calls++;
    address = call.pool().address().getHostString() + ":" + call.pool().address().getPort();
  }

  void onResponse(final HttpCall call, final HttpResponse head, final long nowUs) {
    if (recentCalls.size() == MAX_RECENT_CALLS) {
      recentCalls.removeFirst();
    }
    recentCalls.addLast(
        new AnsweredCall(
            calls,
            call.attempts().get(0).message().id(),
            call.attempts().size(),
            head.status().code(),
            nowUs));
  }

  /** The first byte of the response to the current call was received. */
  void onResponseBegan(final long nowUs) {
    responseBeganUs = nowUs;
  }

  /** The current call ends before its response counts; logs what was received of that, if any. */
  void onInterrupted(
      final HttpCall call,
      final EndpointResponse response,
      final EndpointCloseReason reason,
      final long nowUs) {
    if (!response.hasStatusLine()) {
      return;
    }
    log(
        Event.RESPONSE_INCOMPLETE,
        nowUs,
        "id",
        call.attempts().get(0).message().id(),
        "messages",
        call.attempts().size(),
        "status",
        response.receivedHead().status().code(),
        "head",
        response.head() != null,
        "body_bytes",
        response.body().length,
        "complete",
        response.isComplete(),
        "waited_us",
        nowUs - responseBeganUs,
        "why",
        reason.label());
  }

  /**
   * Bytes came that belong to no call.
   *
   * @param bytes what was received
   * @param call the call that is not written completely, or has its response; null if there is none
   */
  void unexpectedBytes(final HttpCall call, final ByteBuf bytes, final long nowUs) {
    log(
        Event.ENDPOINT_BYTES_UNEXPECTED,
        nowUs,
        "while",
        stateOf(call),
        "bytes",
        bytes.readableBytes(),
        "begin",
        beginning(bytes));
  }

  private static String stateOf(final HttpCall call) {
    if (call == null) {
      return "idle";
    }
    return call.isWritten() ? "answered" : "writing";
  }

  private static Supplier<String> beginning(final ByteBuf bytes) {
    return () ->
        bytes.toString(
            bytes.readerIndex(),
            Math.min(MAX_LOGGED_BYTES, bytes.readableBytes()),
            StandardCharsets.ISO_8859_1);
  }

  /** The connection ends. */
  void closed(final EndpointCloseReason reason, final long nowUs) {
    CLOSED.increment(reason.ordinal());
    if (reason.isRoutine()) {
      Log.count(Event.ENDPOINT_CONNECTION_CLOSED);
      return;
    }
    log(Event.ENDPOINT_CONNECTION_CLOSED, nowUs, "why", reason.label());
  }

  /** Logs an event with these details among the fields that all events of a connection have. */
  private void log(final Event event, final long nowUs, final Object... details) {
    final List<Object> fields = new ArrayList<>();
    Collections.addAll(fields, "to", address, "connection", connection, "call", calls);
    Collections.addAll(fields, details);
    Collections.addAll(fields, "recent", describeRecentCalls(nowUs));
    Log.event(event, fields.toArray());
  }

  private Supplier<String> describeRecentCalls(final long nowUs) {
    return () -> {
      final StringJoiner text = new StringJoiner(",");
      recentCalls.forEach(call -> text.add(call.describe(nowUs)));
      return text.toString();
    };
  }
}

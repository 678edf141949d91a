package thistleturn.courier.http;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.transport.DirectRead;
import thistleturn.decisions.index.TimeHeap;

/** One call: its messages, its progress and the connection over which it is sent. */
final class HttpCall extends TimeHeap.Entry implements Dispatcher.Call {
  /** How often connecting is retried after the local system failed to begin it. */
  private static final int MAX_LOCAL_FAILURES = 4;

  private final EndpointConnectionPool pool;
  private final long endpoint;
  private final long preparedUs;
  private final long messageDeadlineUs;
  private final long deadlineUs;
  private final long latestSendUs;
  private final List<Dispatcher.Attempt> attempts;

  /** The pending timers of this call: for a reusable connection, and for the connect timeout. */
  private final List<Future<?>> timers = new ArrayList<>(0);

  private Channel channel;
  private EndpointConnection connection;
  private int numberOnConnection;
  private int localFailures;
  private Progress progress = Progress.PREPARED;

  /** How far a call has come. */
  private enum Progress {
    PREPARED,
    STARTED,
    WRITTEN
  }

  /**
   * Prepares a call.
   *
   * @param pool the connections to the endpoint; null if the endpoint is not known
   */
  HttpCall(
      final EndpointConnectionPool pool,
      final long endpoint,
      final List<? extends Dispatcher.Attempt> attempts,
      final long preparedUs) {
    this.pool = pool;
    this.endpoint = endpoint;
    this.attempts = new ArrayList<>(attempts);
    this.preparedUs = preparedUs;
    this.messageDeadlineUs =
        attempts.stream()
            .mapToLong(Dispatcher.Attempt::messageDeadlineUs)
            .min()
            .orElse(Long.MAX_VALUE);
    final long timeoutUs =
        attempts.stream().mapToLong(Dispatcher.Attempt::timeoutUs).max().orElse(0);
    this.deadlineUs = Math.min(messageDeadlineUs, preparedUs + timeoutUs);
    this.latestSendUs =
        attempts.stream().mapToLong(Dispatcher.Attempt::latestSendUs).min().orElse(Long.MAX_VALUE);
  }

  /** The connections to the endpoint; null if the endpoint was not known. */
  EndpointConnectionPool pool() {
    return pool;
  }

  @Override
  public long endpoint() {
    return endpoint;
  }

  @Override
  public long preparedUs() {
    return preparedUs;
  }

  @Override
  public long connection() {
    return connection == null ? 0 : connection.number();
  }

  @Override
  public int numberOnConnection() {
    return numberOnConnection;
  }

  /** When the first of the messages expires, which ends the call for all of them. */
  long messageDeadlineUs() {
    return messageDeadlineUs;
  }

  /** When the call is abandoned. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** The messages of the call, each with its attempt. */
  List<Dispatcher.Attempt> attempts() {
    return attempts;
  }

  /** Whether one of its messages is this one. */
  boolean carries(final StoredMessage message) {
    return attempts.stream().anyMatch(attempt -> attempt.message() == message);
  }

  /** The size of the bodies of all messages. */
  long bodyBytes() {
    return attempts.stream().mapToLong(attempt -> attempt.message().body().length).sum();
  }

  /** True if the call has several messages: then the body of its response has their outcomes. */
  boolean isBulk() {
    return attempts.size() > 1;
  }

  /**
   * True if the call needs a new connection, whose first response is certainly its own: a message
   * in it may not be repeated, so its outcome must not be in doubt.
   */
  boolean needsOwnConnection() {
    return attempts.stream().anyMatch(attempt -> !attempt.isRepeatable());
  }

  /** True if all of the call may be sent at this time. */
  boolean isSendable(final long nowUs) {
    return latestSendUs >= nowUs;
  }

  /** The attempts that may not be sent any more at this time. */
  List<Dispatcher.Attempt> unsendableAttempts(final long nowUs) {
    return attempts.stream().filter(attempt -> attempt.latestSendUs() < nowUs).toList();
  }

  /** Removes attempts from a call that has not been sent. */
  void removeAttempts(final List<Dispatcher.Attempt> removed) {
    attempts.removeAll(removed);
  }

  void markStarted() {
    progress = Progress.STARTED;
  }

  boolean isStarted() {
    return progress != Progress.PREPARED;
  }

  /** Records that the last byte of the call was written, so that it may be executed. */
  void markWritten() {
    progress = Progress.WRITTEN;
  }

  boolean isWritten() {
    return progress == Progress.WRITTEN;
  }

  /** Adds a timer that is cancelled when the call ends. */
  void addTimer(final Future<?> timer) {
    timers.add(timer);
  }

  void cancelTimers() {
    timers.forEach(timer -> timer.cancel(false));
    timers.clear();
  }

  /** Sets the channel of a connection that is being established for this call. */
  void setConnectingChannel(final Channel connecting) {
    channel = connecting;
  }

  /** Records that the local system failed to begin the connection; true if to be retried. */
  boolean recordLocalFailure() {
    localFailures++;
    if (localFailures > MAX_LOCAL_FAILURES) {
      return false;
    }
    channel = null;
    return true;
  }

  /** Sets the connection over which the call is sent. */
  void setConnection(
      final EndpointConnection endpointConnection,
      final int number,
      final Channel connectionChannel) {
    connection = endpointConnection;
    numberOnConnection = number;
    channel = connectionChannel;
  }

  /** Reads the response directly, in case the selector does not watch the connection. */
  void readDirectly() {
    if (isAwaitingResponse()) {
      DirectRead.readOnce(channel);
    }
  }

  /**
   * The outcomes of the call if it ends now, by what was received of its response.
   *
   * @param failure the outcome of a message of which the response says nothing
   */
  IncompleteAnswer.Outcomes outcomesOfEnded(final Dispatcher.DispatchOutcome failure) {
    return connection == null ? attempt -> failure : connection.outcomesOfEnded(this, failure);
  }

  /** Shuts down the output if the call may have been executed; otherwise closes the connection. */
  void releaseConnection() {
    if (isAwaitingResponse()) {
      connection.abandonCall();
    } else if (channel != null) {
      channel.close();
    }
  }

  private boolean isAwaitingResponse() {
    return isWritten() && channel.isActive();
  }
}

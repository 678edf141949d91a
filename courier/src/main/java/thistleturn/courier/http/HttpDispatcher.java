package thistleturn.courier.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;

/**
 * Calls endpoints over HTTP, with one message or several in a call, over connections that are kept
 * alive and carry one call at a time. It reports the outcome of each message, above all whether it
 * may have been executed: that depends on whether the last byte of the call was written before the
 * connection was lost.
 */
public final class HttpDispatcher implements Dispatcher {
  /**
   * The share of the endpoints' idle timeout after which an idle connection is closed, so that no
   * call is sent while the endpoint closes it.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.8;

  private static final int SWEEPS_PER_IDLE_TIMEOUT = 8;
  private static final long MIN_SWEEP_INTERVAL_US = 1000;

  /** The delay before connecting is retried after a failure of the local system. */
  private static final long SOCKET_RETRY_DELAY_US = 5_000;

  private final Clock clock;
  private final EventLoop loop;
  private final PollTracker polls;
  private final long connectTimeoutUs;
  private final long idleTimeoutUs;
  private final Listener listener;
  private final DescriptorBudget descriptors;
  private final ReceiveBudget receiveBudget;
  private final Bootstrap bootstrapTemplate;
  private final Map<Long, EndpointConnectionPool> pools = new HashMap<>();
  private final IdleEndpointConnections idleConnections = new IdleEndpointConnections();
  private final Set<HttpCall> calls = new HashSet<>();
  private final CallDeadlines deadlines;
  private final UnconfirmedCalls unconfirmedCalls;
  private long connectionsOpened;

  /** The calls that are not written completely: a Retry-After still abandons them. */
  private final Set<HttpCall> unwritten = new LinkedHashSet<>();

  /** Creates a dispatcher without connections. */
  public HttpDispatcher(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final Listener listener,
      final DescriptorBudget descriptors,
      final CourierOptions options) {
    this.clock = clock;
    this.loop = loop;
    this.polls = polls;
    this.connectTimeoutUs = config.connectTimeoutUs();
    this.idleTimeoutUs =
        (long) (IDLE_TIMEOUT_FRACTION * config.settings().limits().idleTimeoutUs());
    this.listener = listener;
    this.descriptors = descriptors;
    this.receiveBudget = ReceiveBudgets.forEndpoints(options, clock);
    this.bootstrapTemplate = bootstrapTemplate();
    this.unconfirmedCalls = new UnconfirmedCalls(loop, clock, listener);
    this.deadlines = new CallDeadlines(loop, clock, polls, this::expire);
    final long sweepUs = Math.max(MIN_SWEEP_INTERVAL_US, idleTimeoutUs / SWEEPS_PER_IDLE_TIMEOUT);
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard("sweep of idle endpoint connections", this::closeExpiredIdle),
        sweepUs,
        sweepUs,
        TimeUnit.MICROSECONDS);
  }

  private Bootstrap bootstrapTemplate() {
    return new Bootstrap()
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                connectionsOpened++;
                final EndpointConnection connection =
                    new EndpointConnection(
                        HttpDispatcher.this, receiveBudget, connectionsOpened, loop, clock);
                channel.pipeline().addLast(connection.decoder(), connection);
              }
            });
  }

  // ---------------------------------------------------------------- endpoints

  @Override
  public void updateEndpoint(
      final Endpoint endpoint, final boolean separateRoute, final InetSocketAddress address) {
    final EndpointConnectionPool pool =
        pools.computeIfAbsent(
            endpoint.id(), id -> new EndpointConnectionPool(endpoint, separateRoute, address));
    pool.updateState(endpoint.state());
    if (pool.updateAddress(address)) {
      closeIdleConnections(endpoint.id());
    }
  }

  @Override
  public void removeEndpoint(final long endpoint) {
    closeIdleConnections(endpoint);
    final EndpointConnectionPool pool = pools.remove(endpoint);
    if (pool != null) {
      pool.markRemoved();
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    final EndpointConnectionPool pool = pools.get(endpoint);
    if (pool != null) {
      pool.idleSnapshot()
          .forEach(connection -> connection.close(EndpointCloseReason.ENDPOINT_CHANGED));
    }
  }

  /**
   * Closes idle connections before the endpoint does: a call sent while the endpoint closes its
   * connection would have an unknown outcome.
   */
  private void closeExpiredIdle() {
    idleConnections.closeIdleSince(clock.nowUs() - idleTimeoutUs);
  }

  /** A connection has become idle. */
  void addIdle(final EndpointConnection connection, final EndpointConnectionPool pool) {
    idleConnections.add(connection, pool);
  }

  /** A connection must not be used again. */
  void removeIdle(final EndpointConnection connection, final EndpointConnectionPool pool) {
    idleConnections.remove(connection, pool);
  }

  /** The calls whose deliveries are to be confirmed or put in doubt. */
  UnconfirmedCalls unconfirmedCalls() {
    return unconfirmedCalls;
  }

  @Override
  public boolean areResponsesSuspect() {
    return unconfirmedCalls.wasAnyOutOfStep();
  }

  @Override
  public void resolveUnconfirmedAnswers() {
    unconfirmedCalls.resolveAll();
  }

  // ---------------------------------------------------------------- calls

  @Override
  public Call prepare(final long endpoint, final List<? extends Attempt> attempts) {
    return new HttpCall(pools.get(endpoint), endpoint, attempts, clock.nowUs());
  }

  @Override
  public void start(final Call prepared) {
    final HttpCall call = (HttpCall) prepared;
    if (call.pool() == null) {
      abandonLater(call);
      return;
    }
    calls.add(call);
    deadlines.add(call);
    call.markStarted();
    unwritten.add(call);
    dispatch(call);
  }

  /** The last byte of a call was written. */
  void onCallWritten(final HttpCall call) {
    call.markWritten();
    unwritten.remove(call);
    listener.onMessagesWritten(call.attempts().size());
  }

  private void expire(final HttpCall overdue) {
    overdue.readDirectly();
    if (calls.contains(overdue)) {
      logIfSharedAndExpired(overdue, false);
    }
    abandon(overdue, AttemptResult.TIMED_OUT);
  }

  /**
   * Logs that a call with several messages ended for all of them at the earliest deadline.
   *
   * @param answered whether a response arrived, which may have been written after that deadline
   */
  private void logIfSharedAndExpired(final HttpCall call, final boolean answered) {
    final long overdueUs = clock.nowUs() - call.messageDeadlineUs();
    if (!call.isBulk() || overdueUs < 0) {
      return;
    }
    Log.event(
        Event.SHARED_CALL_EXPIRED,
        "endpoint",
        call.endpoint(),
        "messages",
        call.attempts().size(),
        "first",
        call.attempts().get(0).message().id(),
        "after_us",
        clock.nowUs() - call.preparedUs(),
        "had_us",
        call.messageDeadlineUs() - call.preparedUs(),
        "overdue_us",
        overdueUs,
        "answered",
        answered);
  }

  /** Runs an action for a call, unless the call ends first. */
  private void scheduleFor(final HttpCall call, final long delayUs, final Runnable action) {
    call.addTimer(loop.schedule(action, delayUs, TimeUnit.MICROSECONDS));
  }

  /** Removes a call; returns false if it has already ended. */
  boolean removeCall(final HttpCall call) {
    call.cancelTimers();
    deadlines.remove(call);
    unwritten.remove(call);
    return calls.remove(call);
  }

  /**
   * Checks a call immediately before its first byte is sent, and removes the messages that may no
   * longer be sent. The decision to send may be outdated because a connection had to be established
   * or the process was paused.
   *
   * @return false if the call has ended
   */
  private boolean retainSendable(final HttpCall call) {
    if (!calls.contains(call)) {
      return false;
    }
    final long nowUs = clock.nowUs();
    final boolean overdue = call.deadlineUs() <= nowUs;
    if (overdue || !call.pool().acceptsCalls()) {
      abandon(call, AttemptResult.NOT_SENT);
      return false;
    }
    if (call.isSendable(nowUs)) {
      return true;
    }
    final List<Attempt> late = call.unsendableAttempts(nowUs);
    if (late.size() == call.attempts().size()) {
      abandon(call, AttemptResult.NOT_SENT);
      return false;
    }
    call.removeAttempts(late);
    late.forEach(attempt -> listener.onOutcome(attempt, call, failure(AttemptResult.NOT_SENT)));
    return true;
  }

  /** Sends a call over a reusable connection, waits until one is reusable, or connects. */
  private void dispatch(final HttpCall call) {
    if (!retainSendable(call)) {
      return;
    }
    final long nowUs = clock.nowUs();
    if (call.needsOwnConnection() || unconfirmedCalls.isReuseSuspended(call.endpoint())) {
      connect(call);
      return;
    }
    final EndpointConnection reusable =
        idleConnections.takeReusable(call.pool(), polls.currentPollUs());
    if (reusable != null) {
      reusable.send(call);
      return;
    }
    final OptionalLong reusableInUs = idleConnections.reusableInUs(call.pool(), nowUs);
    if (reusableInUs.isPresent()) {
      scheduleFor(call, reusableInUs.getAsLong(), () -> dispatch(call));
    } else {
      connect(call);
    }
  }

  // ---------------------------------------------------------------- connecting

  private void connect(final HttpCall call) {
    if (descriptors.isEndpointLimitReached()) {
      idleConnections.closeLongestIdle(EndpointCloseReason.MAKES_ROOM);
    }
    if (descriptors.isEndpointLimitReached()) {
      abandonLater(call);
      return;
    }
    final long startedUs = clock.nowUs();
    final ChannelFuture connecting;
    try {
      connecting =
          Connector.connect(
              loop,
              bootstrapTemplate,
              call.pool().address(),
              done -> onConnectCompleted(call, done, startedUs));
    } catch (final SocketUnavailableException e) {
      retryWithoutSocket(call, startedUs);
      return;
    }
    descriptors.addEndpointConnections(1);
    connecting
        .channel()
        .closeFuture()
        .addListener(closed -> descriptors.addEndpointConnections(-1));
    call.setConnectingChannel(connecting.channel());
    scheduleConnectTimeout(call, connecting, startedUs + connectTimeoutUs);
  }

  /** Netty's own connect timer could expire before the poll that reports the connection. */
  private void scheduleConnectTimeout(
      final HttpCall call, final ChannelFuture connecting, final long deadlineUs) {
    final Runnable abandonIfPending =
        () -> {
          if (!connecting.isDone()) {
            abandon(call, AttemptResult.NO_CONNECTION);
          }
        };
    scheduleFor(
        call, connectTimeoutUs, () -> polls.runAfterPoll(loop, deadlineUs, abandonIfPending));
  }

  /** The endpoint was not contacted, so the outcome says nothing about it. */
  private void retryWithoutSocket(final HttpCall call, final long nowUs) {
    if (nowUs - call.preparedUs() < connectTimeoutUs) {
      scheduleFor(call, SOCKET_RETRY_DELAY_US, () -> dispatch(call));
    } else {
      abandonLater(call);
    }
  }

  private void onConnectCompleted(
      final HttpCall call, final ChannelFuture connecting, final long startedUs) {
    if (connecting.isSuccess()) {
      call.pool().recordHandshake(clock.nowUs() - startedUs);
    }
    if (!connecting.isSuccess() && calls.contains(call)) {
      onConnectFailed(call, connecting.cause());
    } else if (!retainSendable(call)) {
      connecting.channel().close();
    } else if (call.pool().address().equals(connecting.channel().remoteAddress())) {
      connecting.channel().pipeline().get(EndpointConnection.class).send(call);
    } else {
      // The endpoint has moved meanwhile.
      connecting.channel().close();
      dispatch(call);
    }
  }

  private void onConnectFailed(final HttpCall call, final Throwable cause) {
    if (Connector.isLocalFailure(cause) && call.recordLocalFailure()) {
      scheduleFor(call, SOCKET_RETRY_DELAY_US, () -> dispatch(call));
    } else {
      abandon(call, AttemptResult.NO_CONNECTION);
    }
  }

  // ---------------------------------------------------------------- abandoning

  /**
   * Ends a call before its response. Its connection is closed, or its output shut down, before the
   * outcome is reported, so that a further attempt of a message cannot overlap with this one.
   */
  @Override
  public void abandon(final Call abandoned, final AttemptResult result) {
    final HttpCall call = (HttpCall) abandoned;
    final boolean pending = removeCall(call);
    if (!pending && call.isStarted()) {
      return;
    }
    final IncompleteAnswer.Outcomes outcomes =
        call.outcomesOfEnded(failure(resultOfAbandoned(call, result)));
    call.releaseConnection();
    report(call, outcomes);
  }

  private void abandonLater(final HttpCall call) {
    loop.execute(() -> abandon(call, AttemptResult.NOT_SENT));
  }

  /** The result of an abandoned call; one not written completely cannot have been executed. */
  private static AttemptResult resultOfAbandoned(final HttpCall call, final AttemptResult result) {
    if (call.isWritten() || result == AttemptResult.NOT_SENT) {
      return result;
    }
    return result == AttemptResult.CANCELLED ? AttemptResult.NOT_SENT : AttemptResult.NO_CONNECTION;
  }

  @Override
  public void abandonUnwrittenCalls(final long endpoint) {
    final EndpointConnectionPool pool = pools.get(endpoint);
    if (pool != null) {
      abandonUnwrittenCalls(pool);
    }
  }

  /** Abandons the unwritten calls to which a Retry-After of this endpoint applies. */
  void abandonUnwrittenCalls(final EndpointConnectionPool source) {
    for (final HttpCall call : List.copyOf(unwritten)) {
      if (source.sharesRetryAfterWith(call.pool())) {
        abandon(call, AttemptResult.NOT_SENT);
      }
    }
  }

  // ---------------------------------------------------------------- reporting

  private static DispatchOutcome failure(final AttemptResult result) {
    return new DispatchOutcome(result, false, 0, null);
  }

  /** Reports the same outcome of all messages of a call. */
  void report(final HttpCall call, final DispatchOutcome outcome) {
    report(call, attempt -> outcome);
  }

  /** Reports the outcome of each message of a call. */
  void report(final HttpCall call, final IncompleteAnswer.Outcomes outcomes) {
    call.attempts().forEach(attempt -> report(attempt, call, outcomes.of(attempt)));
  }

  /**
   * Reports that a response states an end of attempts, and abandons further calls of the messages
   * that are not written yet.
   */
  void reportStatedEnd(final HttpCall call, final List<Attempt> ended) {
    for (final Attempt attempt : ended) {
      listener.onEndStated(attempt, call);
      for (final HttpCall other : List.copyOf(unwritten)) {
        if (other.carries(attempt.message())) {
          abandon(other, AttemptResult.NOT_SENT);
        }
      }
    }
  }

  /**
   * Reports the outcome of one message of a call. A response that is read after the deadline of the
   * messages, because the process was paused, may have been written after that deadline, in which
   * case the endpoint does not count it. So the message is reported as timed out, which does no
   * harm if the endpoint did count the response.
   */
  void report(final Attempt attempt, final HttpCall call, final DispatchOutcome outcome) {
    final boolean tooLate =
        outcome.result() == AttemptResult.DELIVERED && clock.nowUs() > call.messageDeadlineUs();
    listener.onOutcome(
        attempt,
        call,
        tooLate
            ? new DispatchOutcome(
                AttemptResult.TIMED_OUT, false, outcome.retryAfterUs(), outcome.loadReport())
            : outcome);
  }

  /** A call with several messages was answered; logs it if the answer was read too late. */
  void onBulkResponse(final HttpCall call) {
    logIfSharedAndExpired(call, true);
  }

  /** Reports a Retry-After that came with the response to an abandoned call. */
  void reportRetryAfter(final EndpointConnectionPool source, final long retryAfterUs) {
    listener.onRetryAfter(source.endpoint(), retryAfterUs);
  }
}

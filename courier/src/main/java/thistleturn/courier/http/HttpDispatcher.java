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
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.DirectRead;
import thistleturn.courier.transport.SocketUnavailableException;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;

/**
 * Calls to endpoints, with one message or several, over connections that are kept and carry one
 * call at a time. It tells the {@link Host} how each message fared, above all whether it can have
 * run: that turns on whether the call's last byte was written before the connection broke.
 */
public final class HttpDispatcher implements Dispatcher {
  private static final long US_PER_MS = 1000;

  /**
   * Share of the endpoints' own limit after which an idle connection is closed: a request may not
   * cross it.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.8;

  /**
   * What belongs to no call may still come right behind an answer: a connection rests so long
   * before its next, and what has come by then has been looked for. The clock alone says little
   * where a pass takes longer than that.
   */
  private static final long REUSE_DELAY_US = 5_000;

  /** How soon a socket is asked for again that the system does not have, us. */
  private static final long SOCKET_RETRY_DELAY_US = 5_000;

  /** So often a call is tried again whose connection this machine's own system refused to begin. */
  private static final int MAX_LOCAL_FAILURES = 4;

  private final Clock clock;
  private final EventLoop loop;
  private final PollTracker turns;
  private final long connectTimeoutUs;
  private final Listener listener;
  private final Bootstrap bootstrapTemplate;
  private final long idleTimeoutUs;
  private final DescriptorBudget descriptors;
  private final Map<Long, EndpointConnectionPool> pools = new HashMap<>();
  private final Set<HttpCall> calls = new HashSet<>();

  /** Calls that are not written whole yet: a wait that is told meanwhile binds them. */
  private final Set<HttpCall> unwritten = new LinkedHashSet<>();

  /** Connections that carry no call, over all endpoints, the one idle longest first. */
  private final Set<EndpointConnection> idleConnections = new LinkedHashSet<>();

  private final TimeHeap<HttpCall> deadlines = new TimeHeap<>();

  /** For when the next look at deadlines is planned. */
  private long deadlineTimerUs = Long.MAX_VALUE;

  /** No connection is made yet. */
  public HttpDispatcher(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final PollTracker turns,
      final Listener listener,
      final DescriptorBudget descriptors) {
    this.clock = clock;
    this.loop = loop;
    this.turns = turns;
    this.connectTimeoutUs = config.connectTimeoutUs();
    this.listener = listener;
    this.idleTimeoutUs =
        (long) (IDLE_TIMEOUT_FRACTION * config.settings().limits().idleTimeoutUs());
    this.descriptors = descriptors;
    this.bootstrapTemplate =
        new Bootstrap()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    final EndpointConnection reader =
                        new EndpointConnection(HttpDispatcher.this, loop, clock);
                    channel.pipeline().addLast(new ResponseDecoder(reader), reader);
                  }
                });
    final long sweepUs = Math.max(US_PER_MS, idleTimeoutUs / 8);
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard("idle connections", this::closeExpiredIdle),
        sweepUs,
        sweepUs,
        TimeUnit.MICROSECONDS);
  }

  // ---------------------------------------------------------------- state

  @Override
  public void updateEndpoint(
      final Endpoint entry, final boolean apart, final InetSocketAddress address) {
    final EndpointConnectionPool pool =
        pools.computeIfAbsent(
            entry.id(), unused -> new EndpointConnectionPool(entry, apart, address));
    pool.acceptsCalls = entry.state() == EndpointState.LISTED;
    if (!pool.address.equals(address)) {
      pool.address = address;
      closeIdleConnections(entry.id());
    }
  }

  @Override
  public void removeEndpoint(final long endpoint) {
    closeIdleConnections(endpoint);
    final EndpointConnectionPool pool = pools.remove(endpoint);
    if (pool != null) {
      pool.removed = true;
      pool.acceptsCalls = false;
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    final EndpointConnectionPool pool = pools.get(endpoint);
    if (pool != null) {
      List.copyOf(pool.idleConnections).forEach(EndpointConnection::close);
    }
  }

  /**
   * Closes connections before the endpoint does: a request that crosses its close may have run, or
   * not.
   */
  private void closeExpiredIdle() {
    final long beforeUs = clock.nowUs() - idleTimeoutUs;
    while (!idleConnections.isEmpty()
        && idleConnections.iterator().next().idleSinceUs() <= beforeUs) {
      idleConnections.iterator().next().close();
    }
  }

  private void evictIdleIfFull() {
    if (descriptors.isEndpointLimitReached() && !idleConnections.isEmpty()) {
      idleConnections.iterator().next().close();
    }
  }

  // ---------------------------------------------------------------- calls

  @Override
  public Call prepare(final long endpoint, final List<? extends Attempt> parcels) {
    return new HttpCall(pools.get(endpoint), endpoint, parcels, clock.nowUs());
  }

  @Override
  public void start(final Call prepared) {
    final HttpCall call = (HttpCall) prepared;
    if (call.pool == null) {
      loop.execute(() -> abandon(call, AttemptResult.NOT_SENT));
      return;
    }
    calls.add(call);
    deadlines.schedule(call, call.deadlineUs);
    armDeadlineTimer();
    call.started = true;
    unwritten.add(call);
    dispatch(call);
  }

  /** A call's last byte is written. */
  void onCallWritten(final HttpCall call) {
    call.written = true;
    unwritten.remove(call);
    listener.onMessagesWritten(call.parcels.size());
  }

  /**
   * One timer for all calls, at the first deadline; a call that ends takes its deadline with it.
   */
  private void armDeadlineTimer() {
    final long firstUs = deadlines.earliestDueUs();
    if (firstUs < deadlineTimerUs) {
      deadlineTimerUs = firstUs;
      loop.schedule(
          this::expireOverdueCalls, Math.max(0, firstUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }
  }

  /**
   * An answer that lies unread counts as what it says: a call is given up only after a look at the
   * sockets that began after its time. A process that was stopped wakes to its timers first,
   * whatever has come meanwhile.
   */
  private void expireOverdueCalls() {
    deadlineTimerUs = Long.MAX_VALUE;
    final long lookedUs = turns.currentPollUs();
    for (HttpCall late = deadlines.poll(lookedUs); late != null; late = deadlines.poll(lookedUs)) {
      readUnpolled(late);
      abandon(late, AttemptResult.TIMED_OUT);
    }
    // What fell due since that look began is judged in the next turn, after another.
    armDeadlineTimer();
  }

  /**
   * An answer that the selector does not tell of, since the system refused to watch its connection,
   * counts as well.
   */
  private static void readUnpolled(final HttpCall call) {
    if (call.written && call.channel.isActive()) {
      DirectRead.readOnce(call.channel);
    }
  }

  /** Runs something for a call, unless the call ends first: then nothing of it is kept. */
  private void scheduleFor(final HttpCall call, final long delayUs, final Runnable action) {
    call.timers.add(loop.schedule(action, delayUs, TimeUnit.MICROSECONDS));
  }

  /** Forgets a call; false if it was over already. */
  boolean removeCall(final HttpCall call) {
    call.timers.forEach(timer -> timer.cancel(false));
    call.timers.clear();
    deadlines.remove(call);
    unwritten.remove(call);
    return calls.remove(call);
  }

  /**
   * Takes out of a call what may not go any more; the last look before its first byte.
   *
   * @return true if something is left
   */
  private boolean retainSendable(final HttpCall call) {
    if (!calls.contains(call)) {
      return false;
    }
    final long nowUs = clock.nowUs();
    if (!call.pool.acceptsCalls) {
      // The list has changed since it was decided, while a connection came up: it drains, or is
      // gone.
      abandon(call, AttemptResult.NOT_SENT);
      return false;
    }
    if (call.deadlineUs <= nowUs) {
      // This process stood still since it was decided: sent now, it would be given up at once, and
      // run all the same.
      abandon(call, AttemptResult.NOT_SENT);
      return false;
    }
    if (call.sendBeforeUs >= nowUs) {
      return true;
    }
    final List<Attempt> late =
        call.parcels.stream().filter(parcel -> parcel.latestSendUs() < nowUs).toList();
    if (late.size() == call.parcels.size()) {
      abandon(call, AttemptResult.NOT_SENT);
      return false;
    }
    call.parcels.removeAll(late);
    late.forEach(
        parcel ->
            listener.onOutcome(
                parcel, call, new DispatchOutcome(AttemptResult.NOT_SENT, false, 0, null)));
    return true;
  }

  /**
   * Over an idle connection that has had its rest and a look after it; one that needs a little more
   * is waited for.
   */
  private void dispatch(final HttpCall call) {
    if (!retainSendable(call)) {
      return;
    }
    final long nowUs = clock.nowUs();
    final long lookedUs = turns.currentPollUs();
    EndpointConnection rested = null;
    long restUs = Long.MAX_VALUE;
    // Those used last stand at the end: of the rested ones the last is taken, so that the others
    // may age.
    for (final Iterator<EndpointConnection> readers =
            call.pool.idleConnections.descendingIterator();
        readers.hasNext(); ) {
      final EndpointConnection reader = readers.next();
      if (!reader.isActive()) {
        readers.remove();
        idleConnections.remove(reader);
      } else if (reader.idleSinceUs() + REUSE_DELAY_US <= lookedUs) {
        readers.remove();
        idleConnections.remove(reader);
        rested = reader;
        break;
      } else {
        restUs = Math.min(restUs, Math.max(0, reader.idleSinceUs() + REUSE_DELAY_US - nowUs));
      }
    }
    if (rested != null) {
      rested.send(call);
    } else if (restUs <= REUSE_DELAY_US) {
      scheduleFor(call, restUs, () -> dispatch(call));
    } else {
      connect(call);
    }
  }

  private void connect(final HttpCall call) {
    evictIdleIfFull();
    if (descriptors.isEndpointLimitReached()) {
      loop.execute(() -> abandon(call, AttemptResult.NOT_SENT));
      return;
    }
    final long fromUs = clock.nowUs();
    final ChannelFuture connecting;
    try {
      connecting =
          Connector.connect(
              loop,
              bootstrapTemplate,
              call.pool.address,
              done -> onConnectCompleted(call, done, fromUs));
    } catch (final SocketUnavailableException e) {
      retryWithoutSocket(call, fromUs);
      return;
    }
    descriptors.addEndpointConnections(1);
    call.channel = connecting.channel();
    call.channel.closeFuture().addListener(closed -> descriptors.addEndpointConnections(-1));
    // Not the channel's own timer: that would judge before the look that tells that it has come up.
    scheduleFor(
        call,
        connectTimeoutUs,
        () ->
            turns.runAfterPoll(
                loop,
                fromUs + connectTimeoutUs,
                () -> {
                  if (!connecting.isDone()) {
                    abandon(call, AttemptResult.NO_CONNECTION);
                  }
                }));
  }

  /**
   * The system has no socket now. Nothing was asked of the endpoint, so nothing is said of it when
   * that lasts.
   */
  private void retryWithoutSocket(final HttpCall call, final long nowUs) {
    if (nowUs - call.sentUs < connectTimeoutUs) {
      scheduleFor(call, SOCKET_RETRY_DELAY_US, () -> dispatch(call));
    } else {
      loop.execute(() -> abandon(call, AttemptResult.NOT_SENT));
    }
  }

  private void onConnectCompleted(
      final HttpCall call, final ChannelFuture connecting, final long fromUs) {
    if (connecting.isSuccess()) {
      call.pool.recordHandshake(clock.nowUs() - fromUs);
    }
    if (!connecting.isSuccess() && calls.contains(call)) {
      if (Connector.isLocalFailure(connecting.cause())
          && call.localFailures++ < MAX_LOCAL_FAILURES) {
        call.channel = null;
        scheduleFor(call, SOCKET_RETRY_DELAY_US, () -> dispatch(call));
      } else {
        abandon(call, AttemptResult.NO_CONNECTION);
      }
    } else if (retainSendable(call)) {
      connecting.channel().pipeline().get(EndpointConnection.class).send(call);
    } else {
      connecting.channel().close();
    }
  }

  /**
   * Ends a call from our side. Its connection is closed, or its sending ended, before the outcome
   * is told, so that no further attempt of a message can meet this one.
   */
  @Override
  public void abandon(final Call given, final AttemptResult result) {
    final HttpCall call = (HttpCall) given;
    final boolean known = removeCall(call);
    if (!known && call.started) {
      return;
    }
    final DispatchOutcome delivered =
        call.connection != null && call.connection.isDelivered(call)
            ? call.connection.partialDelivery()
            : null;
    if (call.written && call.channel.isActive()) {
      call.connection.abandonCall();
    } else if (call.channel != null) {
      call.channel.close();
    }
    if (delivered != null) {
      report(call, delivered);
      return;
    }
    final AttemptResult sure =
        call.written || result == AttemptResult.NOT_SENT ? result : unwrittenResult(result);
    report(call, new DispatchOutcome(sure, false, 0, null));
  }

  /** What gave up a call that was never written whole cannot have run. */
  private static AttemptResult unwrittenResult(final AttemptResult result) {
    return result == AttemptResult.CANCELLED ? AttemptResult.NOT_SENT : AttemptResult.NO_CONNECTION;
  }

  /** Tells the outcome of all messages of a call. */
  void report(final HttpCall call, final DispatchOutcome answer) {
    call.parcels.forEach(parcel -> report(parcel, call, answer));
  }

  /**
   * Tells the outcome of one message of a call. An answer that is read after the call's time, since
   * this process stood still, may have been written after it, when nobody counts it any more: such
   * a message ends by a notice, which does no harm if the answer counted after all.
   */
  void report(final Attempt parcel, final HttpCall call, final DispatchOutcome answer) {
    final boolean tooLate =
        answer.result() == AttemptResult.DELIVERED && clock.nowUs() > call.validUntilUs;
    listener.onOutcome(
        parcel,
        call,
        tooLate
            ? new DispatchOutcome(
                AttemptResult.TIMED_OUT, false, answer.retryAfterUs(), answer.loadReport())
            : answer);
  }

  /** A wait was told: what is on its way to that destination, and not written yet, may not go. */
  void holdBack(final EndpointConnectionPool told) {
    for (final HttpCall call : List.copyOf(unwritten)) {
      final boolean bound =
          told.separateRoute ? call.pool == told : call.pool.destination == told.destination;
      if (bound) {
        abandon(call, AttemptResult.NOT_SENT);
      }
    }
  }

  /** An answer that comes too late for its call tells a wait all the same. */
  void toldToWait(final EndpointConnectionPool by, final long waitUs) {
    holdBack(by);
    listener.onRetryAfter(by.endpoint, waitUs);
  }

  @Override
  public void abandonUnwrittenCalls(final long endpoint) {
    final EndpointConnectionPool pool = pools.get(endpoint);
    if (pool != null) {
      holdBack(pool);
    }
  }

  /** A connection carries no call from now on. */
  void addIdle(final EndpointConnection connection, final EndpointConnectionPool pool) {
    pool.idleConnections.addLast(connection);
    idleConnections.add(connection);
  }

  /** A connection is in use, or not to be used again. */
  void removeIdle(final EndpointConnection connection, final EndpointConnectionPool pool) {
    if (idleConnections.remove(connection)) {
      pool.idleConnections.remove(connection);
    }
  }
}

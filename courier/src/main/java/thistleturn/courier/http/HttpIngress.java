package thistleturn.courier.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.CourierOptions;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.courier.transport.DirectRead;
import thistleturn.courier.transport.RetryingServerSocketChannel;
import thistleturn.courier.transport.RetryingSocketChannel;
import thistleturn.decisions.admission.ConnectionEvictionRanking;
import thistleturn.decisions.index.TimeHeap;

/**
 * Where clients hand messages in. A message that is taken is answered in the pass that read it;
 * whatever cannot be read or used is answered with its 4xx, and nothing is taken. No request is
 * left without an answer.
 */
public final class HttpIngress implements Ingress {
  /** Bodies that are coming in or wait their turn, on all connections together. */
  private static final int MAX_BUFFERED_BODY_BYTES = 1 << 22;

  /** What is read at once from one connection: one that floods may not keep the others waiting. */
  private static final int MAX_READ_BYTES = 1 << 14;

  /** Resting connections that wake in one turn, and how soon the next ones do, us. */
  private static final int MAX_WAKE_UPS_PER_POLL = 64;

  private static final long WAKE_UP_INTERVAL_US = 500;
  private static final int BACKLOG = 256;
  private static final long US_PER_MS = 1000;

  /** Connections accepted in one turn of the loop. */
  private static final int MAX_ACCEPTS_PER_POLL = 16;

  /** How long a new connection may take to begin a request. */
  private static final long FIRST_REQUEST_TIMEOUT_US = 2_000_000;

  /** How long a request may take to come in whole: some write theirs in two seconds. */
  private static final long REQUEST_TIMEOUT_US = 2_600_000;

  private static final ChannelOption<Boolean> REUSE_PORT =
      NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

  /** How long a connection is kept between requests where there are many. */
  private static final long CROWDED_IDLE_TIMEOUT_US = 2_100_000;

  private static final double CROWDED_FRACTION = 0.5;

  /** A connection without a request for so long gives back all but itself. */
  private static final long HIBERNATE_AFTER_US = 1_000_000;

  private static final long SWEEP_INTERVAL_MS = 200;

  /**
   * A connection that has said nothing for so long, us, is read from once without the selector's
   * word.
   */
  private static final long DIRECT_READ_AFTER_US = 50_000;

  /**
   * For so long, us, a listener that is to be closed is asked again for connections that it cannot
   * give.
   */
  private static final long FINAL_ACCEPT_TIMEOUT_US = 1_000_000;

  /**
   * Connections looked at in one turn of the loop: what falls due in the same instant is spread.
   */
  private static final int MAX_CHECKS_PER_TASK = 256;

  private final CourierConfig config;
  private final Clock clock;
  private final IngressHandler ingressHandler;
  private final PollTracker turns;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final DescriptorBudget descriptors;
  private final ConnectionEvictionRanking evictionRanking =
      new ConnectionEvictionRanking(CROWDED_IDLE_TIMEOUT_US);
  private final long idleTimeoutUs;

  /** The newest at the end. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Room is made after the next look. */
  private boolean evictionScheduled;

  /**
   * Connections that are shut on this side and wait for the other, the one shut first at the front.
   */
  private final Set<ClientConnection> closingConnections = new LinkedHashSet<>();

  /** When each connection is looked at next: it is at least as late as what falls due for it. */
  private final TimeHeap<ClientConnection.ScheduledCheck> checks = new TimeHeap<>();

  private boolean crowded;

  /**
   * Connections that wait for their turn to wake, and how many woke in which turn of the loop
   * without waiting.
   */
  private final ArrayDeque<ClientConnection> wakeUpQueue = new ArrayDeque<>();

  private long wakeUpPollUs;
  private int wokenInPoll;
  private int bufferedBodyBytes;
  private Channel listener;
  private ServerSocketChannel serverSocket;
  private boolean draining;

  /** The listener is to be closed once what waits there could be accepted. */
  private boolean acceptingBacklog;

  private Future<?> sweepTask;

  /** Accepts on the group; all that it accepts is owned by the loop. */
  public HttpIngress(
      final CourierConfig config,
      final EventLoopGroup group,
      final EventLoop loop,
      final Clock clock,
      final PollTracker turns,
      final IngressHandler desk,
      final DescriptorBudget descriptors,
      final CourierOptions tuning) {
    this.config = config;
    this.group = group;
    this.loop = loop;
    this.clock = clock;
    this.turns = turns;
    this.ingressHandler = desk;
    this.idleTimeoutUs = tuning.clientIdleTimeoutUs();
    this.descriptors = descriptors;
  }

  /** Listens on the one address of the configuration; {@code /up} is answered from then on. */
  @Override
  public CompletionStage<String> listen() {
    return listen(config.listenAddress(), false);
  }

  /**
   * Listens on an address; {@code several}: other fronts listen on it too, and the system deals
   * connections out.
   */
  public CompletionStage<String> listen(final InetSocketAddress address, final boolean several) {
    final CompletableFuture<String> listening = new CompletableFuture<>();
    draining = false;
    if (sweepTask == null) {
      sweepTask =
          loop.scheduleWithFixedDelay(
              GuardedTasks.guard("sweep of clients", this::sweep),
              SWEEP_INTERVAL_MS,
              SWEEP_INTERVAL_MS,
              TimeUnit.MILLISECONDS);
    }
    final AcceptHandler accepting = new AcceptHandler();
    try {
      serverSocket = ServerSocketChannel.open();
    } catch (final IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    final ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> new RetryingServerSocketChannel(serverSocket))
            .option(REUSE_PORT, several)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_POLL))
            .handler(accepting)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                        MAX_READ_BYTES / 16, MAX_READ_BYTES / 8, MAX_READ_BYTES)
                    .maxMessagesPerRead(1))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    final ClientConnection session =
                        new ClientConnection(
                            HttpIngress.this,
                            ingressHandler,
                            clock,
                            turns,
                            accepting.receiveTime.earliestUs());
                    channel.pipeline().addLast(session);
                  }
                })
            .bind(address);
    listener = bound.channel();
    bound.addListener(
        done -> {
          if (done.isSuccess()) {
            listening.complete(listener.localAddress().toString().replaceFirst(".*/", ""));
          } else {
            listening.completeExceptionally(done.cause());
          }
        });
    return listening;
  }

  @Override
  public void drain() {
    draining = true;
    closeIdleAfterPoll(List.copyOf(connections));
  }

  @Override
  public void stopListening() {
    final List<ClientConnection> before = List.copyOf(connections);
    closeListener();
    closeIdleAfterPoll(before);
  }

  /** What has come by now is read first: a connection with a request on it is not idle. */
  private void closeIdleAfterPoll(final List<ClientConnection> some) {
    turns.runAfterPoll(loop, clock.nowUs(), () -> some.forEach(ClientConnection::closeIfIdle));
  }

  /**
   * The process ends soon: requests that are still coming in are turned away, and so is whoever
   * asks nothing.
   */
  @Override
  public void rejectIncompleteRequests() {
    turns.runAfterPoll(
        loop,
        clock.nowUs(),
        () -> List.copyOf(connections).forEach(ClientConnection::rejectIncomplete));
  }

  /**
   * Another process takes new connections from now on. Those that stand are served until they are
   * told, with their next answer, to end; what asks nothing may still ask, and is not closed.
   */
  public void drainForHandover() {
    draining = true;
    closeListener();
  }

  @Override
  public boolean hasNoConnections() {
    return connections.isEmpty() && closingConnections.isEmpty() && !acceptingBacklog;
  }

  private void closeListener() {
    if (listener.isOpen()) {
      acceptBacklogAndClose(clock.nowUs() + FINAL_ACCEPT_TIMEOUT_US);
    }
  }

  /**
   * What waits to be accepted is accepted first: the system would reset it. What it cannot give now
   * is asked for again.
   */
  private void acceptBacklogAndClose(final long untilUs) {
    acceptingBacklog = false;
    try {
      for (SocketChannel next = serverSocket.accept(); next != null; next = serverSocket.accept()) {
        listener.pipeline().fireChannelRead(new RetryingSocketChannel(listener, next));
      }
      listener.pipeline().fireChannelReadComplete();
    } catch (final IOException | ChannelException e) {
      if (clock.nowUs() < untilUs) {
        Log.event(Event.ACCEPT_FAILED, "at", listener.localAddress(), "cause", e, "closing", true);
        acceptingBacklog = true;
        loop.schedule(() -> acceptBacklogAndClose(untilUs), US_PER_MS, TimeUnit.MICROSECONDS);
        return;
      }
      Log.event(Event.ACCEPT_GIVEN_UP, "at", listener.localAddress(), "cause", e);
    }
    listener.close();
  }

  /**
   * Closes what is of no use, and answers what does not come to an end, before anyone has to ask
   * why.
   */
  private void sweep() {
    final boolean many = connections.size() > CROWDED_FRACTION * descriptors.maxClientConnections();
    if (many && !crowded) {
      // Less time is left to each of them than when they were last looked at.
      connections.forEach(
          session -> checks.schedule(session.scheduledCheck(), nextCheckUs(session)));
    }
    crowded = many;
    checkDueConnections();
    if (listener != null && listener.isActive() && listener.config().isAutoRead()) {
      DirectRead.readOnce(listener);
    }
  }

  private void checkDueConnections() {
    final long nowUs = clock.nowUs();
    int looked = 0;
    for (ClientConnection.ScheduledCheck due = checks.poll(nowUs);
        due != null;
        due = checks.poll(nowUs)) {
      check(due.connection, nowUs);
      if (++looked == MAX_CHECKS_PER_TASK) {
        loop.execute(this::checkDueConnections);
        return;
      }
    }
  }

  private void check(final ClientConnection session, final long nowUs) {
    // A look that began after it was accepted has told of it, if it is watched.
    if (session.mayBeUnwatched() && turns.currentPollUs() > session.idleSinceUs()) {
      session.readDirectly();
      if (!connections.contains(session)) {
        return;
      }
    }
    if (isRequestOverdue(session, nowUs) || isIdleTooLong(session, nowUs)) {
      // What had come by now is read before it is judged, however long this process stood still.
      turns.runAfterPoll(loop, nowUs, () -> closeIfStillOverdue(session, nowUs));
      return;
    }
    if (session.isIdle() && session.idleSinceUs() <= nowUs - HIBERNATE_AFTER_US) {
      session.hibernate();
    }
    checks.schedule(session.scheduledCheck(), Math.max(nextCheckUs(session), nowUs + US_PER_MS));
  }

  private boolean isRequestOverdue(final ClientConnection session, final long nowUs) {
    return session.requestStartedUs() <= nowUs - REQUEST_TIMEOUT_US
        && !session.isClosing()
        && !session.isAwaitingWakeUp();
  }

  private boolean isIdleTooLong(final ClientConnection session, final long nowUs) {
    return session.isIdle() && session.idleSinceUs() <= nowUs - allowedIdleUs(session);
  }

  /**
   * Ends what was too late, or idle for too long, at that moment and has not been saved by what had
   * come by then.
   */
  private void closeIfStillOverdue(final ClientConnection session, final long thenUs) {
    if (!connections.contains(session)) {
      return;
    }
    if (isRequestOverdue(session, thenUs)) {
      session.reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (isIdleTooLong(session, thenUs)) {
      session.closeIfIdle();
      return;
    }
    checks.schedule(
        session.scheduledCheck(), Math.max(nextCheckUs(session), clock.nowUs() + US_PER_MS));
  }

  private long allowedIdleUs(final ClientConnection session) {
    return !session.hasSentRequest()
        ? FIRST_REQUEST_TIMEOUT_US
        : crowded ? Math.min(CROWDED_IDLE_TIMEOUT_US, idleTimeoutUs) : idleTimeoutUs;
  }

  /** When something is to be done about a connection unless something happens to it before. */
  private long nextCheckUs(final ClientConnection session) {
    if (session.mayBeUnwatched()) {
      return Math.max(session.idleSinceUs() + DIRECT_READ_AFTER_US, clock.nowUs());
    }
    if (!session.isIdle()) {
      return Math.min(session.requestStartedUs(), clock.nowUs()) + REQUEST_TIMEOUT_US;
    }
    return session.idleSinceUs()
        + (session.isHibernating()
            ? allowedIdleUs(session)
            : Math.min(HIBERNATE_AFTER_US, allowedIdleUs(session)));
  }

  /**
   * Too many connections: those by which least is lost make room. It is judged after a look: after
   * a standstill many wait to be accepted, each with a request on it, and one that has not been
   * read yet only seems to say nothing.
   */
  private void evictExcessConnections() {
    evictionScheduled = false;
    while (connections.size() + closingConnections.size() > descriptors.maxClientConnections()) {
      if (closingConnections.isEmpty()) {
        evictionCandidate().closeNow();
      } else {
        closingConnections.iterator().next().closeNow();
      }
    }
  }

  /**
   * By rank, the one that has been of no use longest; where none may go by rank, the newest, best
   * one that asks nothing. What was accepted since the look began has not been read, and goes last
   * of all.
   */
  private ClientConnection evictionCandidate() {
    final long nowUs = clock.nowUs();
    ClientConnection least = null;
    int leastRank = ConnectionEvictionRanking.NEVER_EVICT;
    ClientConnection newest = null;
    for (final ClientConnection session : connections) {
      if (!session.hasSentRequest() && session.idleSinceUs() >= turns.currentPollUs()) {
        newest = newest == null ? session : newest;
        continue;
      }
      final int rank = session.evictionRank(evictionRanking, nowUs);
      if (rank < leastRank
          || (rank == leastRank
              && rank < ConnectionEvictionRanking.NEVER_EVICT
              && session.idleSinceUs() < least.idleSinceUs())) {
        least = session;
        leastRank = rank;
      }
      newest = newest == null || session.isIdle() || !newest.isIdle() ? session : newest;
    }
    return least == null ? newest : least;
  }

  /**
   * Reckons since when a connection that is accepted may have waited for that, with a request on
   * it.
   */
  private final class AcceptHandler extends AcceptRetryHandler {
    private final ReceiveTimeBound receiveTime = new ReceiveTimeBound(clock.nowUs());
    private int acceptedInPoll;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object connection) {
      acceptedInPoll++;
      // One more may always wait behind it; whether that is so is known when the reading ends.
      receiveTime.onRead(clock.nowUs(), turns.previousPollUs(), false);
      super.channelRead(context, connection);
    }

    /** More may wait than could be taken. */
    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      receiveTime.setDrained(false);
      super.exceptionCaught(context, cause);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
      receiveTime.setDrained(acceptedInPoll < MAX_ACCEPTS_PER_POLL);
      acceptedInPoll = 0;
      context.fireChannelReadComplete();
    }
  }

  // ---------------------------------------------------------------- what its sessions ask

  void onConnectionOpened(final ClientConnection session) {
    connections.add(session);
    checks.schedule(session.scheduledCheck(), nextCheckUs(session));
    descriptors.setClientConnections(connections.size() + closingConnections.size());
    if (!evictionScheduled
        && connections.size() + closingConnections.size() > descriptors.maxClientConnections()) {
      evictionScheduled = true;
      turns.runAfterPoll(loop, clock.nowUs(), this::evictExcessConnections);
    }
  }

  /** A connection that was answered has asked again, or has ended without. */
  void recordKeepAliveOutcome(final boolean askedAgain) {
    evictionRanking.recordReuse(askedAgain);
  }

  /**
   * A connection is shut on this side: it is served no more, but still there. False if it has ended
   * meanwhile.
   */
  boolean moveToClosing(final ClientConnection session) {
    checks.remove(session.scheduledCheck());
    return connections.remove(session) && closingConnections.add(session);
  }

  void onConnectionClosed(final ClientConnection session) {
    connections.remove(session);
    closingConnections.remove(session);
    descriptors.setClientConnections(connections.size() + closingConnections.size());
    checks.remove(session.scheduledCheck());
  }

  /** True when so many resting connections wake in one turn that the further ones take turns. */
  boolean mustQueueWakeUp() {
    if (turns.currentPollUs() != wakeUpPollUs) {
      wakeUpPollUs = turns.currentPollUs();
      wokenInPoll = 0;
    }
    return !wakeUpQueue.isEmpty() || ++wokenInPoll > MAX_WAKE_UPS_PER_POLL;
  }

  /**
   * It wakes behind those that wait already; some are woken in each turn, beside the active ones.
   */
  void queueWakeUp(final ClientConnection session) {
    wakeUpQueue.add(session);
    if (wakeUpQueue.size() == 1) {
      loop.schedule(this::wakeNextBatch, WAKE_UP_INTERVAL_US, TimeUnit.MICROSECONDS);
    }
  }

  private void wakeNextBatch() {
    for (int woken = 0; woken < MAX_WAKE_UPS_PER_POLL && !wakeUpQueue.isEmpty(); woken++) {
      wakeUpQueue.poll().wakeUp();
    }
    if (!wakeUpQueue.isEmpty()) {
      loop.schedule(this::wakeNextBatch, WAKE_UP_INTERVAL_US, TimeUnit.MICROSECONDS);
    }
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Reckons with some bytes of a body; false, and nothing reckoned, if there is no room for them.
   */
  boolean reserveBodyBytes(final int bytes) {
    if (bufferedBodyBytes + bytes > MAX_BUFFERED_BODY_BYTES) {
      return false;
    }
    bufferedBodyBytes += bytes;
    return true;
  }

  void releaseBodyBytes(final int bytes) {
    bufferedBodyBytes -= bytes;
  }
}

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
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.Descriptors;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.LoopTasks;
import thistleturn.courier.runtime.LoopTurns;
import thistleturn.courier.transport.AcceptRetry;
import thistleturn.courier.transport.DirectRead;
import thistleturn.courier.transport.PatientServerSocketChannel;
import thistleturn.courier.transport.PatientSocketChannel;
import thistleturn.decisions.admission.ConnectionEvictionRanking;
import thistleturn.decisions.index.TimeHeap;

/**
 * Where clients hand messages in. A message that is taken is answered in the pass that read it;
 * whatever cannot be read or used is answered with its 4xx, and nothing is taken. No request is
 * left without an answer.
 */
public final class HttpFront implements Ingress {
  /** Bodies that are coming in or wait their turn, on all connections together. */
  private static final int MOST_HELD_BYTES = 1 << 22;

  /** What is read at once from one connection: one that floods may not keep the others waiting. */
  private static final int READ_BYTES = 1 << 14;

  /** Resting connections that wake in one turn, and how soon the next ones do, us. */
  private static final int MOST_WAKES = 64;

  private static final long WAKE_US = 500;
  private static final int BACKLOG = 256;
  private static final long US_PER_MS = 1000;

  /** Connections accepted in one turn of the loop. */
  private static final int MOST_ACCEPTS = 16;

  /** How long a new connection may take to begin a request. */
  private static final long BEGIN_US = 2_000_000;

  /** How long a request may take to come in whole: some write theirs in two seconds. */
  private static final long REQUEST_US = 2_600_000;

  private static final ChannelOption<Boolean> REUSE_PORT =
      NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

  /** How long a connection is kept between requests where there are many. */
  private static final long CROWDED_IDLE_US = 2_100_000;

  private static final double CROWDED_SHARE = 0.5;

  /** A connection without a request for so long gives back all but itself. */
  private static final long REST_US = 1_000_000;

  private static final long SWEEP_MS = 200;

  /**
   * A connection that has said nothing for so long, us, is read from once without the selector's
   * word.
   */
  private static final long UNHEARD_US = 50_000;

  /**
   * For so long, us, a listener that is to be closed is asked again for connections that it cannot
   * give.
   */
  private static final long LAST_ACCEPTS_US = 1_000_000;

  /**
   * Connections looked at in one turn of the loop: what falls due in the same instant is spread.
   */
  private static final int MOST_LOOKS = 256;

  private final Config config;
  private final Clock clock;
  private final IngressHandler desk;
  private final LoopTurns turns;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final Descriptors descriptors;
  private final ConnectionEvictionRanking crowd = new ConnectionEvictionRanking(CROWDED_IDLE_US);
  private final long idleUs;

  /** The newest at the end. */
  private final Set<HttpSession> sessions = new LinkedHashSet<>();

  /** Room is made after the next look. */
  private boolean makesRoom;

  /**
   * Connections that are shut on this side and wait for the other, the one shut first at the front.
   */
  private final Set<HttpSession> leaving = new LinkedHashSet<>();

  /** When each connection is looked at next: it is at least as late as what falls due for it. */
  private final TimeHeap<HttpSession.Look> looks = new TimeHeap<>();

  private boolean crowded;

  /**
   * Connections that wait for their turn to wake, and how many woke in which turn of the loop
   * without waiting.
   */
  private final ArrayDeque<HttpSession> waking = new ArrayDeque<>();

  private long wakeTurnUs;
  private int wokenInTurn;
  private int heldBytes;
  private Channel listener;
  private ServerSocketChannel accepts;
  private boolean draining;

  /** The listener is to be closed once what waits there could be accepted. */
  private boolean acceptsLast;

  private Future<?> sweeping;

  /** Accepts on the group; all that it accepts is owned by the loop. */
  public HttpFront(
      final Config config,
      final EventLoopGroup group,
      final EventLoop loop,
      final Clock clock,
      final LoopTurns turns,
      final IngressHandler desk,
      final Descriptors descriptors,
      final CourierOptions tuning) {
    this.config = config;
    this.group = group;
    this.loop = loop;
    this.clock = clock;
    this.turns = turns;
    this.desk = desk;
    this.idleUs = tuning.clientIdleTimeoutUs();
    this.descriptors = descriptors;
  }

  /** Listens on the one address of the configuration; {@code /up} is answered from then on. */
  @Override
  public CompletionStage<String> listen() {
    return listen(config.listen(), false);
  }

  /**
   * Listens on an address; {@code several}: other fronts listen on it too, and the system deals
   * connections out.
   */
  public CompletionStage<String> listen(final InetSocketAddress address, final boolean several) {
    final CompletableFuture<String> listening = new CompletableFuture<>();
    draining = false;
    if (sweeping == null) {
      sweeping =
          loop.scheduleWithFixedDelay(
              LoopTasks.guarded("sweep of clients", this::sweep),
              SWEEP_MS,
              SWEEP_MS,
              TimeUnit.MILLISECONDS);
    }
    final Accepting accepting = new Accepting();
    try {
      accepts = ServerSocketChannel.open();
    } catch (final IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    final ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> new PatientServerSocketChannel(accepts))
            .option(REUSE_PORT, several)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MOST_ACCEPTS))
            .handler(accepting)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(READ_BYTES / 16, READ_BYTES / 8, READ_BYTES)
                    .maxMessagesPerRead(1))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    final HttpSession session =
                        new HttpSession(
                            HttpFront.this, desk, clock, turns, accepting.arrival.sinceUs());
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
    shutIdle(List.copyOf(sessions));
  }

  @Override
  public void stopListening() {
    final List<HttpSession> before = List.copyOf(sessions);
    closeListener();
    shutIdle(before);
  }

  /** What has come by now is read first: a connection with a request on it is not idle. */
  private void shutIdle(final List<HttpSession> some) {
    turns.afterLook(loop, clock.nowUs(), () -> some.forEach(HttpSession::shutIfIdle));
  }

  /**
   * The process ends soon: requests that are still coming in are turned away, and so is whoever
   * asks nothing.
   */
  @Override
  public void rejectIncompleteRequests() {
    turns.afterLook(
        loop, clock.nowUs(), () -> List.copyOf(sessions).forEach(HttpSession::turnAway));
  }

  /**
   * Another process takes new connections from now on. Those that stand are served until they are
   * told, with their next answer, to end; what asks nothing may still ask, and is not closed.
   */
  public void handOver() {
    draining = true;
    closeListener();
  }

  @Override
  public boolean hasNoConnections() {
    return sessions.isEmpty() && leaving.isEmpty() && !acceptsLast;
  }

  private void closeListener() {
    if (listener.isOpen()) {
      acceptLast(clock.nowUs() + LAST_ACCEPTS_US);
    }
  }

  /**
   * What waits to be accepted is accepted first: the system would reset it. What it cannot give now
   * is asked for again.
   */
  private void acceptLast(final long untilUs) {
    acceptsLast = false;
    try {
      for (SocketChannel next = accepts.accept(); next != null; next = accepts.accept()) {
        listener.pipeline().fireChannelRead(new PatientSocketChannel(listener, next));
      }
      listener.pipeline().fireChannelReadComplete();
    } catch (final IOException | ChannelException e) {
      if (clock.nowUs() < untilUs) {
        Log.event(Event.ACCEPT_FAILED, "at", listener.localAddress(), "cause", e, "closing", true);
        acceptsLast = true;
        loop.schedule(() -> acceptLast(untilUs), US_PER_MS, TimeUnit.MICROSECONDS);
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
    final boolean many = sessions.size() > CROWDED_SHARE * descriptors.mostClients();
    if (many && !crowded) {
      // Less time is left to each of them than when they were last looked at.
      sessions.forEach(session -> looks.schedule(session.look(), dueUs(session)));
    }
    crowded = many;
    lookAtDue();
    if (listener != null && listener.isActive() && listener.config().isAutoRead()) {
      DirectRead.of(listener);
    }
  }

  private void lookAtDue() {
    final long nowUs = clock.nowUs();
    int looked = 0;
    for (HttpSession.Look due = looks.poll(nowUs); due != null; due = looks.poll(nowUs)) {
      look(due.session, nowUs);
      if (++looked == MOST_LOOKS) {
        loop.execute(this::lookAtDue);
        return;
      }
    }
  }

  private void look(final HttpSession session, final long nowUs) {
    // A look that began after it was accepted has told of it, if it is watched.
    if (session.mayBeUnwatched() && turns.lookUs() > session.sinceUs()) {
      session.readDirectly();
      if (!sessions.contains(session)) {
        return;
      }
    }
    if (isTooLate(session, nowUs) || isIdleTooLong(session, nowUs)) {
      // What had come by now is read before it is judged, however long this process stood still.
      turns.afterLook(loop, nowUs, () -> end(session, nowUs));
      return;
    }
    if (session.isIdle() && session.sinceUs() <= nowUs - REST_US) {
      session.rest();
    }
    looks.schedule(session.look(), Math.max(dueUs(session), nowUs + US_PER_MS));
  }

  private boolean isTooLate(final HttpSession session, final long nowUs) {
    return session.askedSinceUs() <= nowUs - REQUEST_US
        && !session.isClosing()
        && !session.isWaking();
  }

  private boolean isIdleTooLong(final HttpSession session, final long nowUs) {
    return session.isIdle() && session.sinceUs() <= nowUs - patienceUs(session);
  }

  /**
   * Ends what was too late, or idle for too long, at that moment and has not been saved by what had
   * come by then.
   */
  private void end(final HttpSession session, final long thenUs) {
    if (!sessions.contains(session)) {
      return;
    }
    if (isTooLate(session, thenUs)) {
      session.reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (isIdleTooLong(session, thenUs)) {
      session.shutIfIdle();
      return;
    }
    looks.schedule(session.look(), Math.max(dueUs(session), clock.nowUs() + US_PER_MS));
  }

  private long patienceUs(final HttpSession session) {
    return !session.hasAsked() ? BEGIN_US : crowded ? Math.min(CROWDED_IDLE_US, idleUs) : idleUs;
  }

  /** When something is to be done about a connection unless something happens to it before. */
  private long dueUs(final HttpSession session) {
    if (session.mayBeUnwatched()) {
      return Math.max(session.sinceUs() + UNHEARD_US, clock.nowUs());
    }
    if (!session.isIdle()) {
      return Math.min(session.askedSinceUs(), clock.nowUs()) + REQUEST_US;
    }
    return session.sinceUs()
        + (session.isResting() ? patienceUs(session) : Math.min(REST_US, patienceUs(session)));
  }

  /**
   * Too many connections: those by which least is lost make room. It is judged after a look: after
   * a standstill many wait to be accepted, each with a request on it, and one that has not been
   * read yet only seems to say nothing.
   */
  private void makeRoom() {
    makesRoom = false;
    while (sessions.size() + leaving.size() > descriptors.mostClients()) {
      if (leaving.isEmpty()) {
        leastLost().drop();
      } else {
        leaving.iterator().next().drop();
      }
    }
  }

  /**
   * By rank, the one that has been of no use longest; where none may go by rank, the newest, best
   * one that asks nothing. What was accepted since the look began has not been read, and goes last
   * of all.
   */
  private HttpSession leastLost() {
    final long nowUs = clock.nowUs();
    HttpSession least = null;
    int leastRank = ConnectionEvictionRanking.NEVER_EVICT;
    HttpSession newest = null;
    for (final HttpSession session : sessions) {
      if (!session.hasAsked() && session.sinceUs() >= turns.lookUs()) {
        newest = newest == null ? session : newest;
        continue;
      }
      final int rank = session.rank(crowd, nowUs);
      if (rank < leastRank
          || (rank == leastRank
              && rank < ConnectionEvictionRanking.NEVER_EVICT
              && session.sinceUs() < least.sinceUs())) {
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
  private final class Accepting extends AcceptRetry {
    private final Arrival arrival = new Arrival(clock.nowUs());
    private int accepted;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object connection) {
      accepted++;
      // One more may always wait behind it; whether that is so is known when the reading ends.
      arrival.read(clock.nowUs(), turns.previousLookUs(), false);
      super.channelRead(context, connection);
    }

    /** More may wait than could be taken. */
    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      arrival.drained(false);
      super.exceptionCaught(context, cause);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
      arrival.drained(accepted < MOST_ACCEPTS);
      accepted = 0;
      context.fireChannelReadComplete();
    }
  }

  // ---------------------------------------------------------------- what its sessions ask

  void opened(final HttpSession session) {
    sessions.add(session);
    looks.schedule(session.look(), dueUs(session));
    descriptors.clients(sessions.size() + leaving.size());
    if (!makesRoom && sessions.size() + leaving.size() > descriptors.mostClients()) {
      makesRoom = true;
      turns.afterLook(loop, clock.nowUs(), this::makeRoom);
    }
  }

  /** A connection that was answered has asked again, or has ended without. */
  void learn(final boolean askedAgain) {
    crowd.recordReuse(askedAgain);
  }

  /**
   * A connection is shut on this side: it is served no more, but still there. False if it has ended
   * meanwhile.
   */
  boolean leaves(final HttpSession session) {
    looks.remove(session.look());
    return sessions.remove(session) && leaving.add(session);
  }

  void closed(final HttpSession session) {
    sessions.remove(session);
    leaving.remove(session);
    descriptors.clients(sessions.size() + leaving.size());
    looks.remove(session.look());
  }

  /** True when so many resting connections wake in one turn that the further ones take turns. */
  boolean isWakeUp() {
    if (turns.lookUs() != wakeTurnUs) {
      wakeTurnUs = turns.lookUs();
      wokenInTurn = 0;
    }
    return !waking.isEmpty() || ++wokenInTurn > MOST_WAKES;
  }

  /**
   * It wakes behind those that wait already; some are woken in each turn, beside the active ones.
   */
  void wakeInTurn(final HttpSession session) {
    waking.add(session);
    if (waking.size() == 1) {
      loop.schedule(this::wakeSome, WAKE_US, TimeUnit.MICROSECONDS);
    }
  }

  private void wakeSome() {
    for (int woken = 0; woken < MOST_WAKES && !waking.isEmpty(); woken++) {
      waking.poll().wake();
    }
    if (!waking.isEmpty()) {
      loop.schedule(this::wakeSome, WAKE_US, TimeUnit.MICROSECONDS);
    }
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Reckons with some bytes of a body; false, and nothing reckoned, if there is no room for them.
   */
  boolean hold(final int bytes) {
    if (heldBytes + bytes > MOST_HELD_BYTES) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void release(final int bytes) {
    heldBytes -= bytes;
  }
}

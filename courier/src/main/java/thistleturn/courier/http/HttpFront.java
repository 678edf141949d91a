package thistleturn.courier.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Front;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.LoopTurns;

/**
 * Where clients hand messages in. A message that is taken is answered in the pass that read it; whatever cannot be
 * read or used is answered with its 4xx, and nothing is taken. No request is left without an answer.
 */
public final class HttpFront implements Front {
    /** Bodies that are coming in or wait their turn, on all connections together. */
    private static final int MOST_HELD_BYTES = 1 << 22;
    /** What is read at once from one connection: one that floods may not keep the others waiting. */
    private static final int READ_BYTES = 1 << 14;
    private static final int BACKLOG = 256;
    /** Connections accepted in one turn of the loop. */
    private static final int MOST_ACCEPTS = 16;
    /** How long a request may take to come in whole, and a new connection to begin one. */
    private static final long REQUEST_US = 2_000_000;
    /** How long a connection is kept between requests, and how long where there are many. */
    private static final long IDLE_US = 10_000_000;
    private static final long CROWDED_IDLE_US = 2_100_000;
    private static final double CROWDED_SHARE = 0.5;
    private static final long SWEEP_MS = 200;
    /** Share of the descriptors for clients. */
    private static final double SOCKET_SHARE = 0.4;

    private final Config config;
    private final Clock clock;
    private final Desk desk;
    private final LoopTurns turns;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final int mostConnections;
    private final Set<HttpSession> sessions = new HashSet<>();
    private int heldBytes;
    private Channel listener;
    private boolean draining;

    /** Accepts on the group; all that it accepts is owned by the loop. */
    public HttpFront(final Config config, final EventLoopGroup group, final EventLoop loop, final Clock clock,
                     final LoopTurns turns, final Desk desk) {
        this.config = config;
        this.group = group;
        this.loop = loop;
        this.clock = clock;
        this.turns = turns;
        this.desk = desk;
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
    }

    /** Listens on the one address of the configuration; {@code /up} is answered from then on. */
    @Override
    public CompletionStage<String> listen() {
        final CompletableFuture<String> listening = new CompletableFuture<>();
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        final Accepting accepting = new Accepting();
        final ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator()
                        .maxMessagesPerRead(MOST_ACCEPTS))
                .handler(accepting).childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(READ_BYTES / 16, READ_BYTES / 8, READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final HttpSession session = new HttpSession(HttpFront.this, desk, clock, turns,
                                accepting.arrival.sinceUs());
                        channel.pipeline().addLast(new RequestDecoder(session::bytesCame), new HttpResponseEncoder(),
                                new HttpServerExpectContinueHandler(), session);
                    }
                }).bind(config.listen());
        listener = bound.channel();
        bound.addListener(done -> {
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
        List.copyOf(sessions).forEach(HttpSession::closeIfIdle);
    }

    @Override
    public void stopListening() {
        listener.close();
        List.copyOf(sessions).forEach(HttpSession::closeIfIdle);
    }

    /** Closes what is of no use, and answers what does not come to an end, before anyone has to ask why. */
    private void sweep() {
        final long nowUs = clock.nowUs();
        final long idleUs = sessions.size() > CROWDED_SHARE * mostConnections ? CROWDED_IDLE_US : IDLE_US;
        for (final HttpSession session : List.copyOf(sessions)) {
            if (session.askedSinceUs() <= nowUs - REQUEST_US && !session.isClosing()) {
                session.reject(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (session.isIdle()
                    && session.sinceUs() <= nowUs - (session.hasAsked() ? idleUs : REQUEST_US)) {
                session.drop();
            }
        }
    }

    /**
     * Too many connections: one makes room. First those that are rejected already, then those that never asked, then
     * those whose request does not end, then those that have long been idle; failing these, the newest goes.
     */
    private void makeRoom(final HttpSession newest) {
        if (sessions.size() <= mostConnections) {
            return;
        }
        final long idleBeforeUs = clock.nowUs() - CROWDED_IDLE_US;
        sessions.stream().filter(session -> session != newest && session.usefulness(idleBeforeUs) < HttpSession.IN_USE)
                .min(Comparator.comparingInt((HttpSession session) -> session.usefulness(idleBeforeUs))
                        .thenComparingLong(HttpSession::sinceUs))
                .orElse(newest).drop();
    }

    /** Reckons since when a connection that is accepted may have waited for that, with a request on it. */
    private final class Accepting extends ChannelInboundHandlerAdapter {
        private final Arrival arrival = new Arrival(clock.nowUs());
        private int accepted;

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object connection) {
            accepted++;
            // One more may always wait behind it; whether that is so is known when the reading ends.
            arrival.read(clock.nowUs(), turns.previousLookUs(), false);
            context.fireChannelRead(connection);
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
        makeRoom(session);
    }

    void closed(final HttpSession session) {
        sessions.remove(session);
    }

    boolean isDraining() {
        return draining;
    }

    /** Reckons with some bytes of a body; false, and nothing reckoned, if there is no room for them. */
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

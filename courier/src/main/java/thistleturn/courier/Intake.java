package thistleturn.courier;

import thistleturn.decisions.Courier;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Where clients hand messages in. A message that is taken is answered in the pass that read it; whatever cannot be
 * read or used is answered with its 4xx, and nothing is taken. No request is left without an answer.
 */
final class Intake {
    static final int TOO_MANY = 429;
    static final int UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;
    private static final int FAILED = 500;
    private static final int MOST_BODY_BYTES = 1 << 16;
    private static final int MOST_ID_CHARS = 128;
    private static final int MOST_QUEUED = 16;
    /** Bodies that are coming in or wait their turn, on all connections together. */
    private static final int MOST_HELD_BYTES = 1 << 22;
    /** What is read at once from one connection: one that floods may not keep the others waiting. */
    private static final int READ_BYTES = 1 << 14;
    private static final int BACKLOG = 256;
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
    /** How long a request may take to come in whole, and a new connection to begin one. */
    private static final long REQUEST_US = 2_000_000;
    /** How long a connection is kept between requests, and how long where there are many. */
    private static final long IDLE_US = 10_000_000;
    private static final long CROWDED_IDLE_US = 2_100_000;
    private static final double CROWDED_SHARE = 0.5;
    /** For how long, and how much, what a client sends behind its last answer is read away. */
    private static final long LINGER_MS = 500;
    private static final int MOST_DRAINED_BYTES = 1 << 18;
    private static final long SWEEP_MS = 200;
    /** For how long a request may have waited to be read, beyond what an end may be late anyway. */
    private static final long WAITED_US = 200_000;
    private static final long GONE_RETRY_US = 500_000;
    /** Share of the descriptors for clients. */
    private static final double SOCKET_SHARE = 0.4;

    private final Config config;
    private final Clock clock;
    private final Host host;
    private final int mostConnections;
    private final Set<Session> sessions = new HashSet<>();
    private int heldBytes;
    private Channel listener;
    private boolean draining;

    Intake(final Config config, final Clock clock, final Host host) {
        this.config = config;
        this.clock = clock;
        this.host = host;
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
    }

    /** Listens on the one address of the configuration; {@code /up} is answered from then on. */
    ChannelFuture listen(final EventLoopGroup group, final EventLoop loop) {
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        final ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(READ_BYTES / 16, READ_BYTES / 8, READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final Session session = new Session();
                        channel.pipeline().addLast(new RequestDecoder(session::bytesCame), new HttpResponseEncoder(),
                                new HttpServerExpectContinueHandler(), session);
                    }
                }).bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** Where it listens in fact. */
    String address() {
        return listener.localAddress().toString().replaceFirst(".*/", "");
    }

    /** From now on answers end their connections, and those on which nothing is asked are closed. */
    void drain() {
        draining = true;
        List.copyOf(sessions).forEach(Session::closeIfIdle);
    }

    /** Accepts no further connection; those that stand are still served. */
    void stopListening() {
        listener.close();
        List.copyOf(sessions).forEach(Session::closeIfIdle);
    }

    /** Closes what is of no use, and answers what does not come to an end, before anyone has to ask why. */
    private void sweep() {
        final long nowUs = clock.nowUs();
        final long idleUs = sessions.size() > CROWDED_SHARE * mostConnections ? CROWDED_IDLE_US : IDLE_US;
        for (final Session session : List.copyOf(sessions)) {
            if (session.askedSinceUs <= nowUs - REQUEST_US && !session.isClosing()) {
                session.reject(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (session.isIdle()
                    && session.sinceUs <= nowUs - (session.hasAsked ? idleUs : REQUEST_US)) {
                session.drop();
            }
        }
    }

    /**
     * Too many connections: one makes room. First those that are rejected already, then those that never asked, then
     * those whose request does not end, then those that have long been idle; failing these, the newest goes.
     */
    private void makeRoom(final Session newest) {
        if (sessions.size() <= mostConnections) {
            return;
        }
        final long idleBeforeUs = clock.nowUs() - CROWDED_IDLE_US;
        sessions.stream().filter(session -> session != newest && session.usefulness(idleBeforeUs) < Session.IN_USE)
                .min(Comparator.comparingInt((Session session) -> session.usefulness(idleBeforeUs))
                        .thenComparingLong(session -> session.sinceUs))
                .orElse(newest).drop();
    }

    /** A whole request that waits for its turn on its connection. */
    private record Request(HttpRequest head, byte[] body) { }

    /** One client's connection. */
    private final class Session extends ChannelInboundHandlerAdapter {
        private static final int IN_USE = 4;
        private ChannelHandlerContext context;
        private HttpRequest head;
        /** What has come of a body; nothing is kept of it once the request is whole. */
        private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private final Deque<Request> queue = new ArrayDeque<>();
        private int queuedBytes;
        private Request current;
        private String currentId;
        private boolean reading;
        private boolean hasAsked;
        /** What is said once all before it is answered; then nothing further is read. */
        private HttpResponseStatus last;
        private boolean rejected;
        private int drainedBytes;
        /** Since when it has been of no use, and since when a request has been coming in. */
        private long sinceUs = clock.nowUs();
        private long askedSinceUs = Long.MAX_VALUE;

        private boolean isIdle() {
            return askedSinceUs == Long.MAX_VALUE && current == null && queue.isEmpty() && !isClosing();
        }

        private boolean isClosing() {
            return last != null;
        }

        private int usefulness(final long idleBeforeUs) {
            if (rejected) {
                return 0;
            }
            if (current != null || !queue.isEmpty()) {
                return IN_USE;
            }
            if (isIdle()) {
                return !hasAsked ? 1 : sinceUs <= idleBeforeUs ? IN_USE - 1 : IN_USE;
            }
            return 2;
        }

        private void closeIfIdle() {
            if (isIdle()) {
                drop();
            }
        }

        /** Closes it, and no longer counts it from this moment: its end is told only after this pass. */
        private void drop() {
            sessions.remove(this);
            context.close();
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            sessions.add(this);
            makeRoom(this);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            sessions.remove(this);
            heldBytes -= body.size() + queuedBytes;
            queuedBytes = 0;
            body = new ByteArrayOutputStream(0);
            queue.clear();
            if (currentId != null) {
                host.withdraw(currentId);
            }
        }

        /**
         * The client sends no more. One that is not answered yet has most likely given up, so that its message is not
         * taken on; but it may have closed its sending side only, and is told so.
         */
        @Override
        public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
            if (event != ChannelInputShutdownEvent.INSTANCE) {
                return;
            }
            if (currentId != null) {
                final String id = currentId;
                last = HttpResponseStatus.SERVICE_UNAVAILABLE;
                host.withdraw(id);
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, GONE_RETRY_US);
            } else if (isClosing() || current == null && queue.isEmpty()) {
                drop();
            } else {
                last = HttpResponseStatus.BAD_REQUEST;
            }
        }

        /** Bytes have come, perhaps too few to make a head. */
        private void bytesCame() {
            if (askedSinceUs == Long.MAX_VALUE) {
                askedSinceUs = clock.nowUs();
            }
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object part) {
            try {
                if (part instanceof HttpObject object && !isClosing()) {
                    read(object);
                } else if (part instanceof ByteBuf bytes && rejected) {
                    // It is read away, within bounds, lest a reset overtake the answer.
                    drainedBytes += bytes.readableBytes();
                    if (drainedBytes > MOST_DRAINED_BYTES) {
                        ctx.close();
                    }
                }
            } finally {
                ReferenceCountUtil.release(part);
            }
        }

        private void read(final HttpObject part) {
            if (part.decoderResult().isFailure()) {
                final Throwable cause = part.decoderResult().cause();
                reject(cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                        : cause instanceof TooLongHttpHeaderException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
                reading = true;
                bytesCame();
                if (!RequestDecoder.isFramedPlainly(request)) {
                    reject(HttpResponseStatus.BAD_REQUEST);
                    return;
                }
                if (HttpUtil.getContentLength(request, 0L) > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
            }
            if (part instanceof HttpContent content && reading) {
                final int more = content.content().readableBytes();
                if (body.size() + more > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                if (heldBytes + more > MOST_HELD_BYTES) {
                    reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                    return;
                }
                heldBytes += more;
                final byte[] bytes = new byte[more];
                content.content().readBytes(bytes);
                body.writeBytes(bytes);
                if (part instanceof LastHttpContent) {
                    complete();
                }
            }
        }

        /** A request has come whole: it takes its turn. */
        private void complete() {
            reading = false;
            hasAsked = true;
            askedSinceUs = Long.MAX_VALUE;
            queue.add(new Request(head, body.toByteArray()));
            queuedBytes += body.size();
            head = null;
            body = new ByteArrayOutputStream(0);
            if (queue.size() > MOST_QUEUED) {
                reject(HttpResponseStatus.TOO_MANY_REQUESTS);
            }
            next();
        }

        /** Serves requests of one connection in turn, so that their answers keep their order. */
        private void next() {
            while (current == null && !queue.isEmpty() && !rejected) {
                current = queue.poll();
                queuedBytes -= current.body().length;
                heldBytes -= current.body().length;
                serve(current);
            }
            if (current == null && queue.isEmpty() && last != null && !rejected) {
                sayLast();
            }
            context.channel().config().setAutoRead(queue.isEmpty());
        }

        private void serve(final Request request) {
            final String uri = request.head().uri();
            final int query = uri.indexOf('?');
            final String path = query < 0 ? uri : uri.substring(0, query);
            if (path.equals("/up")) {
                if (!request.head().method().equals(HttpMethod.GET)) {
                    answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                } else {
                    answer(draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, 0);
                }
                return;
            }
            final String className = path.substring(Math.min(path.length(), 1)).split("/", 2)[0];
            final Courier.MessageClass kind = host.kind(className);
            if (kind == null) {
                answer(HttpResponseStatus.NOT_FOUND, 0);
            } else if (!request.head().method().equals(HttpMethod.POST)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
            } else {
                handIn(request, kind);
            }
        }

        private void handIn(final Request request, final Courier.MessageClass kind) {
            final HttpHeaders headers = request.head().headers();
            final String id = headers.get("X-Request-ID", "");
            final long timeoutMs = whole(headers.get("X-Timeout-Ms"));
            final long destination = destination(headers.get("X-Consignee"));
            final String key = headers.get("Idempotency-Key");
            final boolean keyed = kind.effect() == Courier.Effect.KEYED;
            if (id.isEmpty() || id.length() > MOST_ID_CHARS || timeoutMs < 0 || destination < 0
                    || !kind.name().equals(headers.get("X-Priority-Class")) || keyed && (key == null || key.isEmpty())) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            if (!host.knows(destination)) {
                answer(HttpResponseStatus.NOT_FOUND, 0);
                return;
            }
            if (host.holds(id)) {
                answer(HttpResponseStatus.CONFLICT, 0);
                return;
            }
            final long lifeUs = lifeUs(timeoutMs, kind.deadlineUs());
            currentId = id;
            host.offer(new Held(id, kind.name(), key, destination, clock.wallUs() + lifeUs, request.body()),
                    clock.nowUs() + lifeUs, new Host.Reply() {
                        @Override
                        public void accepted() {
                            // A client that never gets this counts on nothing: its message is withdrawn.
                            answer(HttpResponseStatus.valueOf(ACCEPTED), 0).addListener(done -> {
                                if (!done.isSuccess()) {
                                    host.withdraw(id);
                                }
                            });
                        }

                        @Override
                        public void refused(final int status, final long retryAfterUs) {
                            answer(HttpResponseStatus.valueOf(status), retryAfterUs);
                        }

                        @Override
                        public void failed() {
                            answer(HttpResponseStatus.valueOf(FAILED), 0);
                        }
                    });
        }

        private ChannelFuture answer(final HttpResponseStatus status, final long retryAfterUs) {
            // Who asks for what cannot be had is not trusted with what it sends behind it.
            final boolean good = status.code() < HttpResponseStatus.BAD_REQUEST.code()
                    || status.code() == TOO_MANY || status.code() == UNAVAILABLE || status.code() == FAILED;
            final boolean keep = good && HttpUtil.isKeepAlive(current.head()) && !draining && last == null;
            current = null;
            currentId = null;
            sinceUs = clock.nowUs();
            final var response = response(status);
            if (retryAfterUs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
            }
            if (!keep && queue.isEmpty() || !good) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
                return end(response);
            }
            final ChannelFuture written = context.writeAndFlush(response);
            if (context.channel().isWritable()) {
                context.executor().execute(this::next);
            } else {
                // It asks and does not read what it is told.
                context.close();
            }
            return written;
        }

        /** Turns away what cannot be read, once what was read before it is answered. */
        private void reject(final HttpResponseStatus status) {
            last = status;
            reading = false;
            heldBytes -= body.size();
            body = new ByteArrayOutputStream(0);
            if (current == null && queue.isEmpty()) {
                sayLast();
            }
        }

        private void sayLast() {
            final var response = response(last);
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            end(response);
        }

        /** The last answer of a connection; what still comes is read away for a while and not looked at. */
        private ChannelFuture end(final DefaultFullHttpResponse response) {
            last = response.status();
            rejected = true;
            heldBytes -= queuedBytes;
            queuedBytes = 0;
            queue.clear();
            if (context.pipeline().get(RequestDecoder.class) != null) {
                context.pipeline().remove(RequestDecoder.class);
            }
            context.channel().config().setAutoRead(true);
            final ChannelFuture written = context.writeAndFlush(response);
            written.addListener(done -> {
                if (context.channel() instanceof SocketChannel socket && done.isSuccess()) {
                    socket.shutdownOutput();
                }
                context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            });
            return written;
        }

        private static DefaultFullHttpResponse response(final HttpResponseStatus status) {
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            return response;
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("a client's connection", cause);
            }
            ctx.close();
        }
    }

    /**
     * How long a message that is read now may still be delivered. Its time runs from when it was sent, and it may have
     * waited to be read for nearly as long as a client waits for an answer: without a margin its end could be told too
     * late, which loses it.
     */
    static long lifeUs(final long timeoutMs, final long deadlineUs) {
        final long lifeUs = Math.min(timeoutMs, deadlineUs / US_PER_MS) * US_PER_MS;
        return lifeUs - Math.min(WAITED_US, lifeUs / 4);
    }

    /** A whole number that is not negative, or -1. */
    private static long whole(final String text) {
        try {
            return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    /** The destination that a header of {@code name=value} pairs names, or -1. */
    private static long destination(final String text) {
        if (text != null) {
            for (final String pair : text.split("[,;]")) {
                final String trimmed = pair.trim();
                if (trimmed.startsWith("dest=")) {
                    return whole(trimmed.substring("dest=".length()));
                }
            }
        }
        return -1;
    }
}

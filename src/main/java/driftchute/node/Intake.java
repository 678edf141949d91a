package driftchute.node;

import driftchute.Courier;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
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
    private static final int BACKLOG = 1024;
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
    /** How long a request may take to come in whole, and what is left of a refused one is read away. */
    private static final long REQUEST_US = 10_000_000;
    private static final long LINGER_MS = 1000;
    private static final long SWEEP_MS = 500;
    /** Share of the descriptors for clients. */
    private static final double SOCKET_SHARE = 0.4;

    private final Config config;
    private final Clock clock;
    private final Host host;
    private final int mostConnections;
    private final Set<Session> sessions = new HashSet<>();
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
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpServerExpectContinueHandler(),
                                new Session());
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

    private void sweep() {
        final long beforeUs = clock.nowUs() - REQUEST_US;
        for (final Session session : List.copyOf(sessions)) {
            if (session.reading && session.sinceUs <= beforeUs) {
                session.reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        }
    }

    /** Too many connections: the one that has been of no use for longest makes room. */
    private void makeRoom() {
        if (sessions.size() > mostConnections) {
            sessions.stream().filter(Session::isIdle).min(Comparator.comparingLong(session -> session.sinceUs))
                    .ifPresent(Session::closeIfIdle);
        }
    }

    /** A whole request that waits for its turn on its connection. */
    private record Request(HttpRequest head, byte[] body) { }

    /** One client's connection. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext context;
        private HttpRequest head;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Deque<Request> queue = new ArrayDeque<>();
        private Request current;
        private String currentId;
        private boolean reading;
        /** A rejected request's rest is read away, and nothing further is served. */
        private boolean closing;
        private long sinceUs = clock.nowUs();

        private boolean isIdle() {
            return !reading && current == null && queue.isEmpty() && !closing;
        }

        private void closeIfIdle() {
            if (isIdle()) {
                context.close();
            }
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            sessions.add(this);
            makeRoom();
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            sessions.remove(this);
            queue.clear();
            if (currentId != null) {
                host.withdraw(currentId);
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (closing) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                final Throwable cause = part.decoderResult().cause();
                reject(cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                        : cause instanceof TooLongHttpHeaderException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
                body.reset();
                reading = true;
                sinceUs = clock.nowUs();
                if (HttpUtil.getContentLength(request, 0L) > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
            }
            if (part instanceof HttpContent content && reading) {
                if (body.size() + content.content().readableBytes() > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                try {
                    content.content().readBytes(body, content.content().readableBytes());
                } catch (final IOException e) {
                    throw new IllegalStateException("writing to memory failed", e);
                }
                if (part instanceof LastHttpContent) {
                    reading = false;
                    queue.add(new Request(head, body.toByteArray()));
                    next();
                }
            }
        }

        /** Serves requests of one connection in turn, so that their answers keep their order. */
        private void next() {
            while (current == null && !queue.isEmpty() && !closing) {
                current = queue.poll();
                sinceUs = clock.nowUs();
                serve(current);
            }
            context.channel().config().setAutoRead(queue.size() < MOST_QUEUED);
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
            if (host.holds(id)) {
                answer(HttpResponseStatus.CONFLICT, 0);
                return;
            }
            final long lifeUs = Math.min(timeoutMs, kind.deadlineUs() / US_PER_MS) * US_PER_MS;
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
            final boolean keep = HttpUtil.isKeepAlive(current.head()) && !draining;
            current = null;
            currentId = null;
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (retryAfterUs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
            }
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            final ChannelFuture written = context.writeAndFlush(response);
            if (!keep && queue.isEmpty()) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                context.executor().execute(this::next);
            }
            return written;
        }

        /** Answers what cannot be read, and reads away what is still coming, lest a reset overtake the answer. */
        private void reject(final HttpResponseStatus status) {
            closing = true;
            reading = false;
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(written -> {
                if (context.channel() instanceof SocketChannel socket && written.isSuccess()) {
                    socket.shutdownOutput();
                }
                context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            });
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("a client's connection", cause);
            }
            ctx.close();
        }
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

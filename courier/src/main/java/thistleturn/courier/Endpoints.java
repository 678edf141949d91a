package thistleturn.courier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import thistleturn.decisions.Courier;
import thistleturn.decisions.Courier.Result;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Calls to endpoints, with one message or several, over connections that are kept and carry one call at a time. It
 * tells the {@link Host} how each message fared, above all whether it can have run: that turns on whether the call's
 * last byte was written before the connection broke.
 */
final class Endpoints {
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
    private static final int MOST_BODY_BYTES = 1 << 16;
    /** Share of the endpoints' own limit after which an idle connection is closed: a request may not cross it. */
    private static final double IDLE_SHARE = 0.8;
    /** Share of the descriptors for connections to endpoints; the rest is for clients and the process. */
    private static final double SOCKET_SHARE = 0.4;
    private static final int OK = 200;
    private static final int INFORMATIONAL = 200;
    private static final int MOST_STATUS = 599;
    private static final int GONE = 410;
    private static final int BUSY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int NO_MORE = 504;

    /** An answer that has begun comes whole within this, ms: its sender has it all. */
    private static final long ANSWER_MS = 500;
    /** What belongs to no call may still come right behind an answer; a connection rests so long before its next. */
    private static final long REST_US = 5_000;
    /** A number as an answer may tell it: no sign, no exponent, no word. */
    private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,18})?");
    /** No wait or limit is believed beyond these: an hour and a million calls a second. */
    private static final double MOST_WAIT_S = 3600;
    private static final double MOST_RATE = 1e6;
    private static final double MOST_SHARE = 2;

    private final Clock clock;
    private final EventLoop loop;
    private final Host host;
    private final Bootstrap bootstrap;
    private final ObjectMapper json = new ObjectMapper();
    private final long idleUs;
    private final int mostConnections;
    private final Map<Long, Pool> pools = new HashMap<>();
    private final Set<Call> calls = new HashSet<>();
    private int connections;

    /** How a message fared in a call. {@code waitUs}: what the answer told to wait, or 0. */
    record Answer(Result result, boolean over, long waitUs, Courier.Allowance allowance) { }

    Endpoints(final Config config, final EventLoop loop, final Clock clock, final Host host) {
        this.clock = clock;
        this.loop = loop;
        this.host = host;
        this.idleUs = (long) (IDLE_SHARE * config.settings().limits().idleCloseUs());
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (config.connectTimeoutUs() / US_PER_MS))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final Reader reader = new Reader();
                        channel.pipeline().addLast(new AnswerDecoder(reader), new HttpRequestEncoder(), reader);
                    }
                });
        final long sweepUs = Math.max(US_PER_MS, idleUs / 8);
        loop.scheduleWithFixedDelay(this::closeOld, sweepUs, sweepUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- state

    /** The connections to one endpoint. */
    private static final class Pool {
        private final long endpoint;
        private final long destination;
        private final boolean apart;
        private InetSocketAddress address;
        /** Idle ones, the one used last at the end. */
        private final Deque<Reader> idle = new ArrayDeque<>();
        private boolean removed;

        Pool(final Courier.Endpoint entry, final boolean apart, final InetSocketAddress address) {
            this.endpoint = entry.id();
            this.destination = entry.destination();
            this.apart = apart;
            this.address = address;
        }
    }

    /** One call: the messages in it, and how far it has come. */
    static final class Call {
        private final Pool pool;
        private final long endpoint;
        private final long sentUs;
        private final long deadlineUs;
        private final List<Host.Parcel> parcels;
        /** What falls due for it: its time-outs, and the end of a connection's rest. */
        private final List<Future<?>> timers = new ArrayList<>();
        private Channel channel;
        private Reader reader;
        private boolean started;
        private boolean written;

        Call(final Pool pool, final long endpoint, final List<Host.Parcel> parcels, final long sentUs) {
            this.pool = pool;
            this.endpoint = endpoint;
            this.parcels = new ArrayList<>(parcels);
            this.sentUs = sentUs;
            this.deadlineUs = sentUs + parcels.stream().mapToLong(Host.Parcel::timeoutUs).max().orElse(0);
        }

        long endpoint() {
            return endpoint;
        }

        long sentUs() {
            return sentUs;
        }
    }

    /** The list names an endpoint, or its address has changed. */
    void listed(final Courier.Endpoint entry, final boolean apart, final InetSocketAddress address) {
        final Pool pool = pools.computeIfAbsent(entry.id(), unused -> new Pool(entry, apart, address));
        if (!pool.address.equals(address)) {
            pool.address = address;
            closeIdle(entry.id());
        }
    }

    /** The list names an endpoint no more: its idle connections serve nothing. */
    void removed(final long endpoint) {
        closeIdle(endpoint);
        final Pool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
        }
    }

    void closeIdle(final long endpoint) {
        final Pool pool = pools.get(endpoint);
        if (pool != null) {
            List.copyOf(pool.idle).forEach(Reader::close);
        }
    }

    /** Closes connections before the endpoint does: a request that crosses its close may have run, or not. */
    private void closeOld() {
        final long beforeUs = clock.nowUs() - idleUs;
        pools.values().forEach(pool -> List.copyOf(pool.idle).stream()
                .filter(reader -> reader.idleSinceUs <= beforeUs).forEach(Reader::close));
    }

    private void makeRoom() {
        if (connections >= mostConnections) {
            pools.values().stream().filter(pool -> !pool.idle.isEmpty()).map(pool -> pool.idle.peekFirst())
                    .min(Comparator.comparingLong(reader -> reader.idleSinceUs)).ifPresent(Reader::close);
        }
    }

    // ---------------------------------------------------------------- calls

    /** A call that has not begun; the journal comes first. */
    Call prepare(final long endpoint, final List<Host.Parcel> parcels) {
        return new Call(pools.get(endpoint), endpoint, parcels, clock.nowUs());
    }

    void start(final Call call) {
        if (call.pool == null || call.pool.removed) {
            loop.execute(() -> abandon(call, Result.NOT_SENT));
            return;
        }
        calls.add(call);
        later(call, call.deadlineUs - call.sentUs, () -> abandon(call, Result.TIMED_OUT));
        for (final Host.Parcel parcel : call.parcels) {
            final long untilUs = call.sentUs + parcel.timeoutUs();
            if (untilUs < call.deadlineUs && untilUs >= parcel.open().validUntilUs - US_PER_MS) {
                later(call, parcel.timeoutUs(), () -> expire(call, parcel));
            }
        }
        call.started = true;
        dispatch(call);
    }

    /** Runs something for a call, unless the call ends first: then nothing of it is kept. */
    private void later(final Call call, final long delayUs, final Runnable action) {
        call.timers.add(loop.schedule(action, delayUs, TimeUnit.MICROSECONDS));
    }

    /** Forgets a call; false if it was over already. */
    private boolean remove(final Call call) {
        call.timers.forEach(timer -> timer.cancel(false));
        call.timers.clear();
        return calls.remove(call);
    }

    /** Over an idle connection that has had its rest; one that needs a little more is waited for. */
    private void dispatch(final Call call) {
        if (!calls.contains(call)) {
            return;
        }
        final long nowUs = clock.nowUs();
        Reader rested = null;
        long restUs = Long.MAX_VALUE;
        for (final Reader reader : List.copyOf(call.pool.idle)) {
            if (!reader.context.channel().isActive()) {
                call.pool.idle.remove(reader);
            } else if (reader.idleSinceUs + REST_US <= nowUs) {
                rested = reader;
            } else {
                restUs = Math.min(restUs, reader.idleSinceUs + REST_US - nowUs);
            }
        }
        if (rested != null) {
            call.pool.idle.remove(rested);
            rested.write(call);
        } else if (restUs <= REST_US) {
            later(call, restUs, () -> dispatch(call));
        } else {
            connect(call);
        }
    }

    private void connect(final Call call) {
        makeRoom();
        if (connections >= mostConnections) {
            loop.execute(() -> abandon(call, Result.NOT_SENT));
            return;
        }
        connections++;
        final ChannelFuture connecting = bootstrap.connect(call.pool.address);
        call.channel = connecting.channel();
        call.channel.closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (!calls.contains(call)) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                connecting.channel().pipeline().get(Reader.class).write(call);
            } else {
                abandon(call, Result.NO_CONNECTION);
            }
        });
    }

    /**
     * Ends a call from our side. Its connection is closed before the outcome is told, so that no further attempt
     * of a message can meet this one.
     */
    void abandon(final Call call, final Result result) {
        final boolean known = remove(call);
        if (!known && call.started) {
            return;
        }
        if (call.channel != null) {
            call.channel.close();
        }
        if (call.reader != null && call.reader.isDelivered(call)) {
            tell(call, call.reader.delivered());
            return;
        }
        final Result sure = call.written || result == Result.NOT_SENT ? result : neverWritten(result);
        tell(call, new Answer(sure, false, 0, null));
    }

    /** What gave up a call that was never written whole cannot have run. */
    private static Result neverWritten(final Result result) {
        return result == Result.CANCELLED ? Result.NOT_SENT : Result.NO_CONNECTION;
    }

    /** A message whose own time is up leaves a call that others still wait for. It is not sent again. */
    private void expire(final Call call, final Host.Parcel parcel) {
        if (calls.contains(call) && call.parcels.remove(parcel)) {
            host.outcome(parcel, call, new Answer(Result.TIMED_OUT, false, 0, null));
        }
    }

    private void tell(final Call call, final Answer answer) {
        call.parcels.forEach(parcel -> host.outcome(parcel, call, answer));
    }

    /** A wait was told: what is on its way to that destination, and not written yet, may not go. */
    private void holdBack(final Pool told) {
        for (final Call call : List.copyOf(calls)) {
            final boolean bound = told.apart ? call.pool == told : call.pool.destination == told.destination;
            if (bound && !call.written) {
                abandon(call, Result.NOT_SENT);
            }
        }
    }

    // ---------------------------------------------------------------- one connection

    /** Reads the answers of one connection. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> implements AnswerDecoder.Listener {
        private ChannelHandlerContext context;
        private Call call;
        private long idleSinceUs;
        /** The answer's first line, as soon as it has come; its head, once that has. */
        private HttpResponse line;
        private HttpResponse head;
        private boolean keep;
        private ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** When an answer that has begun is given up. */
        private Future<?> wholeBy;

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private void write(final Call next) {
            call = next;
            call.channel = context.channel();
            call.reader = this;
            line = null;
            head = null;
            body = new ByteArrayOutputStream(0);
            context.writeAndFlush(request(call)).addListener(done -> {
                if (done.isSuccess()) {
                    next.written = true;
                }
            });
        }

        private void close() {
            if (call == null) {
                unpool();
                context.close();
            }
        }

        private void unpool() {
            pools.values().forEach(pool -> pool.idle.remove(this));
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                // Bytes that answer nothing, or nothing that can be read: this connection cannot be trusted.
                broken(Result.ERROR);
                return;
            }
            if (part instanceof HttpResponse response) {
                final int code = response.status().code();
                if (code > MOST_STATUS || !RequestDecoder.isFramedPlainly(response)) {
                    broken(Result.ERROR);
                    return;
                }
                head = response;
                keep = HttpUtil.isKeepAlive(response);
            }
            if (part instanceof HttpContent content) {
                if (body.size() + content.content().readableBytes() > MOST_BODY_BYTES) {
                    broken(Result.ERROR);
                    return;
                }
                read(content.content());
            }
            if (part instanceof LastHttpContent && head != null) {
                stopWaiting();
                if (head.status().code() >= INFORMATIONAL) {
                    finish();
                } else {
                    line = null;
                    head = null;
                }
            }
        }

        @Override
        public void begun() {
            if (call == null || !call.written) {
                // It answers no call, or comes before its call: it belongs to an earlier one.
                broken(Result.RESET);
            } else if (wholeBy == null) {
                wholeBy = loop.schedule(() -> broken(Result.ERROR), ANSWER_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void firstLine(final HttpResponse answer) {
            line = answer;
        }

        private void stopWaiting() {
            if (wholeBy != null) {
                wholeBy.cancel(false);
                wholeBy = null;
            }
        }

        /** True if the answer to this call says so in its first line; for several messages only all of it tells. */
        private boolean isDelivered(final Call of) {
            return of == call && line != null && line.status().code() == OK && of.written && of.parcels.size() == 1
                    && line.protocolVersion().majorVersion() == 1;
        }

        /** What a delivery tells whose answer was cut off: waits and reports only if its head came whole. */
        private Answer delivered() {
            return head == null ? new Answer(Result.DELIVERED, true, 0, null) : answer(head, waitUs(head));
        }

        private void read(final ByteBuf content) {
            try {
                content.readBytes(body, content.readableBytes());
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
        }

        private void finish() {
            final Call done = call;
            call = null;
            if (!remove(done)) {
                context.close();
                return;
            }
            if (keep && done.written && !done.pool.removed) {
                idleSinceUs = clock.nowUs();
                done.pool.idle.addLast(this);
            } else {
                context.close();
            }
            final long waitUs = waitUs(head);
            if (waitUs > 0) {
                holdBack(done.pool);
            }
            final Answer all = answer(head, waitUs);
            if (done.parcels.size() > 1 && head.status().code() == OK) {
                tellEach(done, all);
            } else {
                tell(done, all);
            }
        }

        /**
         * The connection has ended, or is of no more use. An answer that cannot be read is an answer all the same:
         * the destination is there and its work is done, so that counts as an error and not as a reset.
         */
        private void broken(final Result spoilt) {
            stopWaiting();
            unpool();
            context.close();
            final Call cut = call;
            final boolean delivered = cut != null && isDelivered(cut);
            call = null;
            if (cut == null || !remove(cut)) {
                return;
            }
            if (delivered) {
                final Answer answer = delivered();
                if (answer.waitUs() > 0) {
                    holdBack(cut.pool);
                }
                tell(cut, answer);
            } else {
                tell(cut, new Answer(cut.written ? spoilt : Result.NO_CONNECTION, false, 0, null));
            }
        }

        /** Several messages' ends, each with its state; one that is not named may have run. */
        private void tellEach(final Call done, final Answer all) {
            final Map<String, String> states = new HashMap<>();
            try {
                for (final JsonNode item : json.readTree(body.toByteArray())) {
                    states.put(item.path("id").asText(), item.path("state").asText());
                }
            } catch (final IOException e) {
                // Spoilt: each of them may have run.
                states.clear();
            }
            for (final Host.Parcel parcel : done.parcels) {
                final Answer one = switch (states.getOrDefault(parcel.open().held.id, "")) {
                    case "accepted" -> new Answer(Result.DELIVERED, true, all.waitUs(), all.allowance());
                    case "deferred" -> new Answer(Result.REFUSED, false, all.waitUs(), all.allowance());
                    case "expired" -> new Answer(Result.NOT_SENT, true, all.waitUs(), all.allowance());
                    case "no_more" -> new Answer(Result.NOT_SENT, false, all.waitUs(), all.allowance());
                    default -> new Answer(Result.ERROR, false, all.waitUs(), all.allowance());
                };
                host.outcome(parcel, done, one);
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            broken(Result.RESET);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("connection to an endpoint", cause);
            }
            broken(Result.RESET);
        }
    }

    // ---------------------------------------------------------------- requests and answers

    private FullHttpRequest request(final Call call) {
        final boolean many = call.parcels.size() > 1;
        final byte[] body = many ? bulk(call) : call.parcels.get(0).open().held.body();
        final FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                many ? "/inbox/bulk" : "/inbox", Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, call.pool.address.getHostString());
        request.headers().set("X-Timeout-Ms", Math.max(1, (call.deadlineUs - clock.nowUs()) / US_PER_MS));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (many) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        } else {
            final Held held = call.parcels.get(0).open().held;
            request.headers().set("X-Request-ID", held.id);
            if (held.idempotencyKey != null) {
                request.headers().set("Idempotency-Key", held.idempotencyKey);
            }
        }
        return request;
    }

    private byte[] bulk(final Call call) {
        final ArrayNode items = json.createArrayNode();
        for (final Host.Parcel parcel : call.parcels) {
            final Held held = parcel.open().held;
            final ObjectNode item = items.addObject().put("id", held.id);
            if (held.idempotencyKey != null) {
                item.put("key", held.idempotencyKey);
            }
            item.put("body", held.body());
        }
        try {
            return json.writeValueAsString(items).getBytes(StandardCharsets.UTF_8);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    private static Answer answer(final HttpResponse head, final long waitUs) {
        final Courier.Allowance allowance = allowance(head.headers().get("X-Server-Load"));
        final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
        return switch (head.status().code()) {
            case OK -> new Answer(Result.DELIVERED, true, waitUs, allowance);
            case BUSY -> new Answer(Result.REFUSED, false, waitUs, allowance);
            case UNAVAILABLE -> new Answer(lineBusy ? Result.NOT_SENT : Result.REFUSED, false, waitUs, allowance);
            case NO_MORE -> new Answer(Result.NOT_SENT, false, waitUs, allowance);
            case GONE -> new Answer(Result.NOT_SENT, true, waitUs, allowance);
            default -> new Answer(Result.ERROR, false, waitUs, allowance);
        };
    }

    /** The wait that an answer tells: seconds, with decimals. One that cannot be read is none. */
    private static long waitUs(final HttpResponse head) {
        final double seconds = number(head.headers().get(HttpHeaderNames.RETRY_AFTER));
        return seconds >= 0 ? (long) Math.ceil(Math.min(seconds, MOST_WAIT_S) * US_PER_SECOND) : 0;
    }

    /** What a destination told of its limit; null if it told nothing, or nothing that can be read. */
    private static Courier.Allowance allowance(final String report) {
        if (report == null) {
            return null;
        }
        double shareLeft = -1;
        double callsPerSecond = -1;
        for (final String field : report.split(",")) {
            final String value = field.substring(field.indexOf('=') + 1);
            if (field.trim().startsWith("x0=")) {
                shareLeft = number(value);
            } else if (field.trim().startsWith("x1=")) {
                callsPerSecond = number(value);
            }
        }
        // A little over one is noise; far over it is nonsense.
        final boolean whole = shareLeft >= 0 && shareLeft <= MOST_SHARE && callsPerSecond >= 0
                && callsPerSecond <= MOST_RATE;
        return whole ? new Courier.Allowance(Math.min(1, shareLeft), callsPerSecond) : null;
    }

    /** A number that an answer tells, or -1 if it tells none. */
    private static double number(final String text) {
        return text != null && NUMBER.matcher(text.trim()).matches() ? Double.parseDouble(text.trim()) : -1;
    }
}

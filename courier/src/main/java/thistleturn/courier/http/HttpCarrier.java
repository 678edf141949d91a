package thistleturn.courier.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.decisions.Courier.Result;
import thistleturn.decisions.Courier;

/**
 * Calls to endpoints, with one message or several, over connections that are kept and carry one call at a time. It
 * tells the {@link Host} how each message fared, above all whether it can have run: that turns on whether the call's
 * last byte was written before the connection broke.
 */
public final class HttpCarrier implements Carrier {
    private static final long US_PER_MS = 1000;
    /** Share of the endpoints' own limit after which an idle connection is closed: a request may not cross it. */
    private static final double IDLE_SHARE = 0.8;
    /** Share of the descriptors for connections to endpoints; the rest is for clients and the process. */
    private static final double SOCKET_SHARE = 0.4;

    /** What belongs to no call may still come right behind an answer; a connection rests so long before its next. */
    private static final long REST_US = 5_000;

    private final Clock clock;
    private final EventLoop loop;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final long idleUs;
    private final int mostConnections;
    private final Map<Long, HttpPool> pools = new HashMap<>();
    private final Set<HttpCall> calls = new HashSet<>();
    private int connections;

    /** No connection is made yet. */
    public HttpCarrier(final Config config, final EventLoop loop, final Clock clock, final Listener listener) {
        this.clock = clock;
        this.loop = loop;
        this.listener = listener;
        this.idleUs = (long) (IDLE_SHARE * config.settings().limits().idleCloseUs());
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (config.connectTimeoutUs() / US_PER_MS))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final HttpConnection reader = new HttpConnection(HttpCarrier.this, loop, clock);
                        channel.pipeline().addLast(new AnswerDecoder(reader), new HttpRequestEncoder(), reader);
                    }
                });
        final long sweepUs = Math.max(US_PER_MS, idleUs / 8);
        loop.scheduleWithFixedDelay(this::closeOld, sweepUs, sweepUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- state

    @Override
    public void listed(final Courier.Endpoint entry, final boolean apart, final InetSocketAddress address) {
        final HttpPool pool = pools.computeIfAbsent(entry.id(), unused -> new HttpPool(entry, apart, address));
        if (!pool.address.equals(address)) {
            pool.address = address;
            closeIdle(entry.id());
        }
    }

    @Override
    public void removed(final long endpoint) {
        closeIdle(endpoint);
        final HttpPool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
        }
    }

    @Override
    public void closeIdle(final long endpoint) {
        final HttpPool pool = pools.get(endpoint);
        if (pool != null) {
            List.copyOf(pool.idle).forEach(HttpConnection::close);
        }
    }

    /** Closes connections before the endpoint does: a request that crosses its close may have run, or not. */
    private void closeOld() {
        final long beforeUs = clock.nowUs() - idleUs;
        pools.values().forEach(pool -> List.copyOf(pool.idle).stream()
                .filter(reader -> reader.idleSinceUs() <= beforeUs).forEach(HttpConnection::close));
    }

    private void makeRoom() {
        if (connections >= mostConnections) {
            pools.values().stream().filter(pool -> !pool.idle.isEmpty()).map(pool -> pool.idle.peekFirst())
                    .min(Comparator.comparingLong(reader -> reader.idleSinceUs())).ifPresent(HttpConnection::close);
        }
    }

    // ---------------------------------------------------------------- calls

    @Override
    public Call prepare(final long endpoint, final List<? extends Parcel> parcels) {
        return new HttpCall(pools.get(endpoint), endpoint, parcels, clock.nowUs());
    }

    @Override
    public void start(final Call prepared) {
        final HttpCall call = (HttpCall) prepared;
        if (call.pool == null || call.pool.removed) {
            loop.execute(() -> abandon(call, Result.NOT_SENT));
            return;
        }
        calls.add(call);
        later(call, call.deadlineUs - call.sentUs, () -> abandon(call, Result.TIMED_OUT));
        for (final Parcel parcel : call.parcels) {
            final long untilUs = call.sentUs + parcel.timeoutUs();
            if (untilUs < call.deadlineUs && untilUs >= parcel.validUntilUs() - US_PER_MS) {
                later(call, parcel.timeoutUs(), () -> expire(call, parcel));
            }
        }
        call.started = true;
        dispatch(call);
    }

    /** Runs something for a call, unless the call ends first: then nothing of it is kept. */
    private void later(final HttpCall call, final long delayUs, final Runnable action) {
        call.timers.add(loop.schedule(action, delayUs, TimeUnit.MICROSECONDS));
    }

    /** Forgets a call; false if it was over already. */
    boolean remove(final HttpCall call) {
        call.timers.forEach(timer -> timer.cancel(false));
        call.timers.clear();
        return calls.remove(call);
    }

    /** Over an idle connection that has had its rest; one that needs a little more is waited for. */
    private void dispatch(final HttpCall call) {
        if (!calls.contains(call)) {
            return;
        }
        final long nowUs = clock.nowUs();
        HttpConnection rested = null;
        long restUs = Long.MAX_VALUE;
        for (final HttpConnection reader : List.copyOf(call.pool.idle)) {
            if (!reader.isActive()) {
                call.pool.idle.remove(reader);
            } else if (reader.idleSinceUs() + REST_US <= nowUs) {
                rested = reader;
            } else {
                restUs = Math.min(restUs, reader.idleSinceUs() + REST_US - nowUs);
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

    private void connect(final HttpCall call) {
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
                connecting.channel().pipeline().get(HttpConnection.class).write(call);
            } else {
                abandon(call, Result.NO_CONNECTION);
            }
        });
    }

    /**
     * Ends a call from our side. Its connection is closed before the outcome is told, so that no further attempt
     * of a message can meet this one.
     */
    @Override
    public void abandon(final Call given, final Result result) {
        final HttpCall call = (HttpCall) given;
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
    private void expire(final HttpCall call, final Parcel parcel) {
        if (calls.contains(call) && call.parcels.remove(parcel)) {
            listener.outcome(parcel, call, new Answer(Result.TIMED_OUT, false, 0, null));
        }
    }

    void tell(final HttpCall call, final Answer answer) {
        call.parcels.forEach(parcel -> listener.outcome(parcel, call, answer));
    }

    /** A wait was told: what is on its way to that destination, and not written yet, may not go. */
    void holdBack(final HttpPool told) {
        for (final HttpCall call : List.copyOf(calls)) {
            final boolean bound = told.apart ? call.pool == told : call.pool.destination == told.destination;
            if (bound && !call.written) {
                abandon(call, Result.NOT_SENT);
            }
        }
    }

    /** Tells the outcome of one message of a call. */
    void tell(final Parcel parcel, final HttpCall call, final Answer answer) {
        listener.outcome(parcel, call, answer);
    }

    /** A connection that is not to be used again. */
    void unpool(final HttpConnection connection) {
        pools.values().forEach(pool -> pool.idle.remove(connection));
    }
}

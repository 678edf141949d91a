package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.JsonNode;
import thistleturn.decisions.Courier;
import thistleturn.courier.port.Directory;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The list of endpoints: the copy from the configuration at first, then a watch on its changes. When the watch breaks,
 * falls silent or says what cannot be read, the decisions are told that it is lost; they say when to ask again.
 */
public final class Discovery implements Directory {
    /** Two of the empty lines that say that the watch lives have not come. */
    private static final int SILENT_MS = 4500;
    /** An answer waits its turn for two seconds at most. */
    private static final int ANSWER_MS = 2500;
    /** While the watch has been heard within this, what it does not name does not exist. */
    private static final long FRESH_US = 10_000_000;
    /** No version of the list is known that the one asked would understand. */
    private static final long NONE = -1;
    private static final int CONNECT_MS = 1000;
    private static final int MOST_LINE_BYTES = 1 << 22;
    private static final int OK = 200;

    private final EventLoop loop;
    private final Clock clock;
    private final JsonNode known;
    private Listener listener;
    private InetSocketAddress address;
    /** When the list was last known to be up to date. */
    private long freshUs;
    private long seq;
    private Watch watch;

    /** A watch that does not ask for anything yet. */
    public Discovery(final Config config, final EventLoop loop, final Clock clock) {
        this.known = config.known();
        this.loop = loop;
        this.clock = clock;
        this.address = config.discovery();
    }

    @Override
    public void start(final Listener told) {
        listener = told;
        if (known.path("hosts").isArray()) {
            apply(known, Courier.Update.RESTORED);
        }
    }

    /**
     * While the list is old nothing is known not to exist: refusing a destination that was added meanwhile would be
     * wrong, and what has no endpoint in time is refused later.
     */
    @Override
    public boolean isFresh() {
        return clock.nowUs() - freshUs <= FRESH_US;
    }

    @Override
    public void follow() {
        if (watch != null) {
            return;
        }
        open();
    }

    /** From now on the list is at another address, whose versions are numbered in their own way. */
    @Override
    public void reload(final Config fresh) {
        final InetSocketAddress next = fresh.discovery();
        if (next.equals(address)) {
            return;
        }
        address = next;
        seq = NONE;
        final Watch old = watch;
        open();
        if (old != null) {
            old.close();
        }
    }

    private void open() {
        final Watch fresh = new Watch();
        watch = fresh;
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new ReadTimeoutHandler(ANSWER_MS, TimeUnit.MILLISECONDS),
                                new HttpClientCodec(), fresh);
                    }
                }).connect(address).addListener(done -> {
                    if (!done.isSuccess()) {
                        fresh.lost();
                    }
                });
    }

    private void apply(final JsonNode list, final Courier.Update update) {
        final List<Listing> listings = new ArrayList<>();
        for (final JsonNode node : list.path("hosts")) {
            listings.add(listing(node));
        }
        seq = list.path("seq").asLong(seq);
        listener.told(update, listings);
    }

    private static Listing listing(final JsonNode node) {
        final String name = node.path("host").asText();
        if (name.isEmpty() || !node.path("block").canConvertToLong()) {
            throw new IllegalArgumentException("an entry without a host or a block: " + node);
        }
        final Courier.Condition condition = switch (node.path("health").asText()) {
            case "Ready" -> Courier.Condition.LISTED;
            case "Terminating" -> Courier.Condition.DRAINING;
            case "Gone" -> Courier.Condition.GONE;
            default -> throw new IllegalArgumentException("unknown health: " + node);
        };
        return new Listing(name, condition, Config.address("dial", node.path("dial").asText()),
                node.path("site").asText(), node.path("share").asDouble(0), node.path("class").asText(),
                node.path("block").asLong());
    }

    /** One watch, until its connection ends; before it the whole list, where no version is known. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private ChannelHandlerContext context;
        private boolean asksWhole;
        private boolean answered;

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            if (watch == this) {
                ask();
            } else {
                ctx.close();
            }
        }

        private void ask() {
            asksWhole = seq == NONE;
            final var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    asksWhole ? "/discovery/hosts" : "/discovery/hosts?watch=1&after=" + seq);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString());
            context.writeAndFlush(request);
        }

        /** Its connection may still be coming up; then it ends as soon as it is. */
        private void close() {
            if (context != null) {
                context.close();
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (watch != this || part.decoderResult().isFailure()
                    || part instanceof HttpResponse response && response.status().code() != OK) {
                ctx.close();
                return;
            }
            if (part instanceof HttpContent content) {
                freshUs = asksWhole ? freshUs : clock.nowUs();
                final byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                for (final byte next : bytes) {
                    if (next == '\n' && !asksWhole) {
                        final String text = line.toString(StandardCharsets.UTF_8).trim();
                        line.reset();
                        if (!text.isEmpty()) {
                            read(text);
                        }
                    } else {
                        line.write(next);
                    }
                }
            }
            if (part instanceof LastHttpContent && asksWhole) {
                final String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                read(text);
                ask();
            } else if (part instanceof LastHttpContent || line.size() > MOST_LINE_BYTES) {
                ctx.close();
            } else if (part instanceof HttpContent && !asksWhole && !answered) {
                answered = true;
                ctx.pipeline().replace(ReadTimeoutHandler.class, null,
                        new ReadTimeoutHandler(SILENT_MS, TimeUnit.MILLISECONDS));
            }
        }

        private void read(final String text) {
            try {
                final JsonNode list = Json.read(text);
                apply(list, list.path("whole").asBoolean() ? Courier.Update.WHOLE : Courier.Update.CHANGES);
            } catch (final IOException e) {
                throw new IllegalArgumentException("the list cannot be read: " + e.getMessage(), e);
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof io.netty.channel.ChannelException)) {
                Log.failure("watch on the list", cause);
            }
            ctx.close();
        }

        private void lost() {
            if (watch == this) {
                watch = null;
                listener.told(Courier.Update.LOST, List.of());
            }
        }
    }
}

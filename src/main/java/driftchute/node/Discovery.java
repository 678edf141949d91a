package driftchute.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import driftchute.Courier;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The list of endpoints: the copy from the configuration at first, then a watch on its changes. When the watch breaks,
 * falls silent or says what cannot be read, the decisions are told that it is lost; they say when to ask again.
 */
final class Discovery {
    /** Three of the empty lines that say that the watch lives have not come. */
    private static final int SILENT_MS = 6500;
    private static final int CONNECT_MS = 1000;
    private static final int MOST_LINE_BYTES = 1 << 22;
    private static final int OK = 200;

    private final Config config;
    private final EventLoop loop;
    private final Host host;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, Courier.Endpoint> entries = new HashMap<>();
    private long nextId = 1;
    private long seq;
    private Watch watch;

    Discovery(final Config config, final EventLoop loop, final Host host) {
        this.config = config;
        this.loop = loop;
        this.host = host;
    }

    /** Begins with the list as this courier last had it; it may be old. */
    void restore(final JsonNode known) {
        if (known.path("hosts").isArray()) {
            apply(known, Courier.Update.RESTORED);
        }
    }

    /** Messages that one call to an endpoint may carry. */
    int messagesPerCall(final long endpoint) {
        final Courier.Endpoint entry = entries.get(endpoint);
        return entry == null || entry.kind() < 0 ? 1 : config.settings().kinds().get(entry.kind()).messagesPerCall();
    }

    String zone(final long endpoint) {
        final Courier.Endpoint entry = entries.get(endpoint);
        return entry == null ? "" : entry.zone();
    }

    /** Watches for changes; while a watch is being asked for or stands, that is enough. */
    void follow() {
        if (watch != null) {
            return;
        }
        final Watch fresh = new Watch();
        watch = fresh;
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new ReadTimeoutHandler(SILENT_MS, TimeUnit.MILLISECONDS),
                                new HttpClientCodec(), fresh);
                    }
                }).connect(config.discovery()).addListener(done -> {
                    if (!done.isSuccess()) {
                        fresh.lost();
                    }
                });
    }

    private void apply(final JsonNode list, final Courier.Update update) {
        final List<Courier.Endpoint> changed = new ArrayList<>();
        final List<Long> gone = new ArrayList<>();
        if (update != Courier.Update.CHANGES) {
            gone.addAll(entries.keySet());
        }
        for (final JsonNode node : list.path("hosts")) {
            final Courier.Endpoint entry = entry(node);
            changed.add(entry);
            gone.remove(entry.id());
            if (entry.condition() == Courier.Condition.GONE) {
                gone.add(entry.id());
                continue;
            }
            entries.put(entry.id(), entry);
            final boolean apart = entry.kind() >= 0 && config.settings().kinds().get(entry.kind()).routesApart();
            final InetSocketAddress address = Config.address("dial", node.path("dial").asText());
            host.endpoints().listed(entry, apart, address);
        }
        seq = list.path("seq").asLong(seq);
        host.list(update, changed);
        gone.forEach(this::forget);
    }

    private void forget(final long endpoint) {
        host.endpoints().removed(endpoint);
        entries.remove(endpoint);
        ids.values().remove(endpoint);
    }

    private Courier.Endpoint entry(final JsonNode node) {
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
        final String kindName = node.path("class").asText();
        int kind = -1;
        for (int index = 0; index < config.settings().kinds().size(); index++) {
            if (config.settings().kinds().get(index).name().equals(kindName)) {
                kind = index;
            }
        }
        final long id = ids.computeIfAbsent(name, unused -> nextId++);
        return new Courier.Endpoint(id, condition, node.path("site").asText(), node.path("share").asDouble(0), kind,
                node.path("block").asLong());
    }

    /** One watch, until its connection ends. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            final var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/discovery/hosts?watch=1&after=" + seq);
            request.headers().set(HttpHeaderNames.HOST, config.discovery().getHostString());
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (part.decoderResult().isFailure()
                    || part instanceof HttpResponse response && response.status().code() != OK) {
                ctx.close();
                return;
            }
            if (part instanceof HttpContent content) {
                final byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                for (final byte next : bytes) {
                    if (next == '\n') {
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
            if (part instanceof LastHttpContent || line.size() > MOST_LINE_BYTES) {
                ctx.close();
            }
        }

        private void read(final String text) {
            try {
                final JsonNode list = json.readTree(text);
                apply(list, list.path("whole").asBoolean() ? Courier.Update.WHOLE : Courier.Update.CHANGES);
            } catch (final JsonProcessingException e) {
                throw new IllegalArgumentException("the list cannot be read: " + e.getOriginalMessage(), e);
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
                host.list(Courier.Update.LOST, List.of());
            }
        }
    }
}

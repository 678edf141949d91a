package thistleturn.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * A client as the protocol describes it: one request at a time on a connection, persistent
 * connections, 400 ms to wait for an answer, and no retry. It reports to the rule checker what it
 * submitted and what it was answered.
 */
public final class StandInClient implements AutoCloseable {
  private static final long ANSWER_TIMEOUT_MS = 400;
  private static final int ACCEPTED_MIN = 200;
  private static final int ACCEPTED_MAX = 202;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final RuleChecker ruleChecker;
  private final MonotonicClock clock;
  private final Deque<Channel> idle = new ArrayDeque<>();
  private final AtomicLong pending = new AtomicLong();
  private final AtomicLong lastNumber = new AtomicLong();
  private final String prefix;
  private volatile InetSocketAddress courier;
  private volatile LongConsumer latencyUs = unused -> {};
  private volatile boolean keepsConnections = true;
  private volatile boolean opensConnections = true;
  private volatile long answerTimeoutMs = ANSWER_TIMEOUT_MS;

  private final Queue<Unanswered> unansweredRequests = new ConcurrentLinkedQueue<>();

  /** A request that was written and never completely answered. */
  public record Unanswered(String id, long writtenUs, long endedUs, boolean timedOut) {}

  /** Ids of its messages begin with the prefix. */
  public StandInClient(
      final EventLoopGroup group,
      final String prefix,
      final RuleChecker ruleChecker,
      final MonotonicClock clock) {
    this.loop = group.next();
    this.prefix = prefix;
    this.ruleChecker = ruleChecker;
    this.clock = clock;
  }

  /** Sets the courier's address; connections to an earlier one are not used again. */
  public void setCourierAddress(final String address) {
    final int colon = address.lastIndexOf(':');
    courier =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    loop.execute(
        () -> {
          idle.forEach(Channel::close);
          idle.clear();
        });
  }

  /** Reports how long each answer took, us. */
  public void onAnswer(final LongConsumer listener) {
    latencyUs = listener;
  }

  /** Keeps connections for further messages, or uses a new connection for each. */
  public void keepConnections(final boolean keep) {
    keepsConnections = keep;
  }

  /** Opens new connections when needed, or submits only over those that it has kept. */
  public void openConnections(final boolean open) {
    opensConnections = open;
  }

  /**
   * Sets how long it waits for an answer, for tests that must distinguish a late one from none.
   * Clients of the protocol wait 400 ms.
   */
  public void setAnswerTimeoutMs(final long ms) {
    answerTimeoutMs = ms;
  }

  /**
   * The ids of requests that were written and had no answer within the timeout, or whose connection
   * ended without one.
   */
  public List<String> unansweredIds() {
    return unansweredRequests.stream().map(Unanswered::id).toList();
  }

  /** The same requests, with the times that show why each had no answer. */
  public List<Unanswered> unansweredRequests() {
    return List.copyOf(unansweredRequests);
  }

  /** The number of requests that have no answer yet. */
  public long pendingRequests() {
    return pending.get();
  }

  /** Submits one message; returns its id. */
  public String submit(final String className, final long destination, final long timeoutMs) {
    final String id = prefix + lastNumber.incrementAndGet();
    final InetSocketAddress to = courier;
    pending.incrementAndGet();
    loop.execute(
        () -> {
          final Channel kept = idle.pollLast();
          final Request request = new Request(id, className, destination, timeoutMs);
          if (kept != null && kept.isActive()) {
            request.write(kept);
            return;
          }
          if (!opensConnections) {
            pending.decrementAndGet();
            return;
          }
          connect(to, request);
        });
    return id;
  }

  private void connect(final InetSocketAddress to, final Request request) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(1 << 16),
                        new AnswerHandler());
              }
            })
        .connect(to)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                request.write(connected.channel());
              } else {
                pending.decrementAndGet();
              }
            });
  }

  @Override
  public void close() {
    loop.execute(() -> idle.forEach(Channel::close));
  }

  /** One request in progress. */
  private final class Request {
    private final String id;
    private final String className;
    private final long destination;
    private final long timeoutMs;
    private long sentUs;
    private Future<?> timeout;
    private boolean timedOut;

    Request(final String id, final String className, final long destination, final long timeoutMs) {
      this.id = id;
      this.className = className;
      this.destination = destination;
      this.timeoutMs = timeoutMs;
    }

    private void write(final Channel channel) {
      final var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.POST,
              "/" + className,
              Unpooled.copiedBuffer("body of " + id, StandardCharsets.UTF_8));
      request
          .headers()
          .set("Host", "backend.local")
          .set("X-Request-ID", id)
          .set("X-Priority-Class", className)
          .set("X-Timeout-Ms", timeoutMs)
          .set("Idempotency-Key", "key-" + id)
          .set("X-Consignee", "dest=" + destination)
          .set("Content-Length", request.content().readableBytes());
      channel.pipeline().get(AnswerHandler.class).request = this;
      sentUs = clock.nowUs();
      ruleChecker.recordSubmitted(sentUs, id, className, destination, null, timeoutMs * 1000);
      timeout =
          loop.schedule(
              () -> {
                timedOut = true;
                channel.close();
              },
              answerTimeoutMs,
              TimeUnit.MILLISECONDS);
      channel.writeAndFlush(request);
    }

    private void answered(final int status) {
      pending.decrementAndGet();
      timeout.cancel(false);
      final long nowUs = clock.nowUs();
      if (status >= ACCEPTED_MIN && status <= ACCEPTED_MAX) {
        ruleChecker.recordAccepted(nowUs, id);
      } else if (status == BUSY || status == UNAVAILABLE) {
        ruleChecker.recordRejected(nowUs, id);
      } else {
        ruleChecker.recordFailed(nowUs, id);
      }
      latencyUs.accept(nowUs - sentUs);
    }
  }

  private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Request request;

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpResponse answer) {
      final Request finished = request;
      request = null;
      if (finished != null) {
        finished.answered(answer.status().code());
      }
      if (keepsConnections && HttpUtil.isKeepAlive(answer) && context.channel().isActive()) {
        idle.addLast(context.channel());
      } else {
        context.close();
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      idle.remove(context.channel());
      final Request unfinished = request;
      request = null;
      if (unfinished != null) {
        unfinished.timeout.cancel(false);
        pending.decrementAndGet();
        unansweredRequests.add(
            new Unanswered(unfinished.id, unfinished.sentUs, clock.nowUs(), unfinished.timedOut));
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}

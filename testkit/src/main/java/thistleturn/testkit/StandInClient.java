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
 * A client as the protocol has it: one request at a time on a connection, connections kept, 400 ms
 * of patience for an answer, and no second try. It tells the Auditor what it handed in and what it
 * was answered.
 */
public final class StandInClient implements AutoCloseable {
  private static final long PATIENCE_MS = 400;
  private static final int TAKEN_LEAST = 200;
  private static final int TAKEN_MOST = 202;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final RuleChecker auditor;
  private final MonotonicClock ticks;
  private final Deque<Channel> idle = new ArrayDeque<>();
  private final AtomicLong out = new AtomicLong();
  private final AtomicLong numbers = new AtomicLong();
  private final String prefix;
  private volatile InetSocketAddress courier;
  private volatile LongConsumer latencyUs = unused -> {};
  private volatile boolean keepsConnections = true;
  private volatile boolean opensConnections = true;
  private volatile long patienceMs = PATIENCE_MS;

  private final Queue<Unanswered> unansweredRequests = new ConcurrentLinkedQueue<>();

  /**
   * A request that was written and never had a whole answer.
   *
   * @param endedUs when its connection ended
   * @param timedOut whether the client closed it at the end of its answer timeout
   */
  public record Unanswered(String id, long writtenUs, long endedUs, boolean timedOut) {}

  /** A client of the courier at that address; ids begin with the prefix. */
  public StandInClient(
      final EventLoopGroup group,
      final String prefix,
      final RuleChecker auditor,
      final MonotonicClock ticks) {
    this.loop = group.next();
    this.prefix = prefix;
    this.auditor = auditor;
    this.ticks = ticks;
  }

  /** Where the courier is from now on; older connections are not used again. */
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

  /** Is told how long each answer took, us. */
  public void onAnswer(final LongConsumer listener) {
    latencyUs = listener;
  }

  /** From now on each message goes over a connection of its own, or not. */
  public void keepConnections(final boolean keep) {
    keepsConnections = keep;
  }

  /** From now on it opens new connections, or hands in over those alone that it has kept. */
  public void openConnections(final boolean open) {
    opensConnections = open;
  }

  /**
   * From now on it waits so long for an answer, where a late one is to be told from none. Clients
   * of the protocol wait 400 ms.
   */
  public void setAnswerTimeoutMs(final long ms) {
    patienceMs = ms;
  }

  /**
   * The requests that were written, and then had no answer in the client's patience, or whose
   * connection ended without one.
   */
  public List<String> unansweredIds() {
    return unansweredRequests.stream().map(Unanswered::id).toList();
  }

  /** The same requests, with the times that tell why each had no answer. */
  public List<Unanswered> unansweredRequests() {
    return List.copyOf(unansweredRequests);
  }

  /** Requests without an answer as yet. */
  public long pendingRequests() {
    return out.get();
  }

  /** Hands in one message; returns its id. */
  public String submit(final String className, final long destination, final long timeoutMs) {
    final String id = prefix + numbers.incrementAndGet();
    final InetSocketAddress to = courier;
    out.incrementAndGet();
    loop.execute(
        () -> {
          final Channel kept = idle.pollLast();
          final Request request = new Request(id, className, destination, timeoutMs);
          if (kept != null && kept.isActive()) {
            request.write(kept);
            return;
          }
          if (!opensConnections) {
            out.decrementAndGet();
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
                        new HttpClientCodec(), new HttpObjectAggregator(1 << 16), new Answers());
              }
            })
        .connect(to)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                request.write(connected.channel());
              } else {
                out.decrementAndGet();
              }
            });
  }

  @Override
  public void close() {
    loop.execute(() -> idle.forEach(Channel::close));
  }

  /** One request under way. */
  private final class Request {
    private final String id;
    private final String className;
    private final long destination;
    private final long timeoutMs;
    private long sentUs;
    private Future<?> patience;
    private boolean patienceOver;

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
      channel.pipeline().get(Answers.class).request = this;
      sentUs = ticks.nowUs();
      auditor.recordSubmitted(sentUs, id, className, destination, null, timeoutMs * 1000);
      patience =
          loop.schedule(
              () -> {
                patienceOver = true;
                channel.close();
              },
              patienceMs,
              TimeUnit.MILLISECONDS);
      channel.writeAndFlush(request);
    }

    private void answered(final int status) {
      out.decrementAndGet();
      patience.cancel(false);
      final long nowUs = ticks.nowUs();
      if (status >= TAKEN_LEAST && status <= TAKEN_MOST) {
        auditor.recordAccepted(nowUs, id);
      } else if (status == BUSY || status == UNAVAILABLE) {
        auditor.recordRejected(nowUs, id);
      } else {
        auditor.recordFailed(nowUs, id);
      }
      latencyUs.accept(nowUs - sentUs);
    }
  }

  private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Request request;

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpResponse answer) {
      final Request done = request;
      request = null;
      if (done != null) {
        done.answered(answer.status().code());
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
      final Request cut = request;
      request = null;
      if (cut != null) {
        cut.patience.cancel(false);
        out.decrementAndGet();
        unansweredRequests.add(new Unanswered(cut.id, cut.sentUs, ticks.nowUs(), cut.patienceOver));
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}

package thistleturn.benchmarks.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Clients that submit messages over persistent connections, one request at a time on each. In a
 * closed loop the next request follows the response, while {@code maySubmit} returns true. In an
 * open loop requests become due at a fixed rate and are sent over an idle connection; a request for
 * which no connection is idle is given up at once, and one answered after the client's timeout
 * counts as late.
 */
final class Clients implements AutoCloseable {
  private static final String BODY = "x".repeat(200);
  private static final long TIMEOUT_NS = 400_000_000;
  private static final long TICK_US = 500;
  private static final int ACCEPTED = 202;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  final AtomicLong accepted = new AtomicLong();
  final AtomicLong refused = new AtomicLong();
  final AtomicLong failed = new AtomicLong();

  /** Requests that became due and were not answered within the client's timeout. */
  final AtomicLong late = new AtomicLong();

  final Histogram latencyUs = new ConcurrentHistogram(60_000_000, 3);
  private final AtomicInteger nextMessageId = new AtomicInteger(1);
  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final int destinations;
  private final BooleanSupplier maySubmit;
  private final List<OpenLoop> openLoops = new ArrayList<>();
  private volatile boolean stopped;

  Clients(
      final EventLoopGroup group,
      final InetSocketAddress address,
      final int destinations,
      final BooleanSupplier maySubmit) {
    this.group = group;
    this.address = address;
    this.destinations = destinations;
    this.maySubmit = maySubmit;
  }

  /** Clients that submit while fewer than {@code held} messages are accepted but not delivered. */
  static Clients holding(
      final EventLoopGroup group,
      final InetSocketAddress address,
      final int destinations,
      final Endpoints endpoints,
      final int held) {
    final Clients[] created = new Clients[1];
    created[0] =
        new Clients(
            group,
            address,
            destinations,
            () -> created[0].accepted.get() - endpoints.calls.get() < held);
    return created[0];
  }

  /** Starts a closed loop over the given number of connections. */
  void closed(final int connections) {
    for (int index = 0; index < connections; index++) {
      new Connection(null, index).connect();
    }
  }

  /**
   * Starts an open loop at the given rate over at most {@code connections} connections, which are
   * divided among {@code loops} event loops.
   */
  void open(final double perSecond, final int connections, final int loops) {
    for (int index = 0; index < loops; index++) {
      final OpenLoop openLoop = new OpenLoop(group.next(), perSecond / loops);
      openLoops.add(openLoop);
      for (int one = index; one < connections; one += loops) {
        new Connection(openLoop, one).connect();
      }
      openLoop.loop.execute(openLoop::start);
    }
  }

  @Override
  public void close() {
    stopped = true;
  }

  /** The due requests and the idle connections of one event loop. */
  private final class OpenLoop {
    private final EventLoop loop;
    private final double perNs;
    private final ArrayDeque<Long> due = new ArrayDeque<>();
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private long startNs;
    private long dueCount;

    private OpenLoop(final EventLoop loop, final double perSecond) {
      this.loop = loop;
      this.perNs = perSecond / 1e9;
    }

    private void start() {
      startNs = System.nanoTime();
      loop.scheduleAtFixedRate(this::tick, TICK_US, TICK_US, TimeUnit.MICROSECONDS);
    }

    private void tick() {
      final long nowNs = System.nanoTime();
      while (!stopped && dueCount < (nowNs - startNs) * perNs) {
        due.add(startNs + (long) (dueCount++ / perNs));
      }
      sendDue();
    }

    private void sendDue() {
      while (!due.isEmpty() && !idle.isEmpty()) {
        idle.poll().submit(due.poll());
      }
      late.addAndGet(due.size());
      due.clear();
    }
  }

  private final class Connection extends Framing {
    private final OpenLoop openLoop;
    private final SplittableRandom random;
    private Channel channel;
    private long sinceNs;

    private Connection(final OpenLoop openLoop, final int seed) {
      this.openLoop = openLoop;
      this.random = new SplittableRandom(seed);
    }

    private void connect() {
      new Bootstrap()
          .group(openLoop == null ? group.next() : openLoop.loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(final Channel fresh) {
                  fresh.pipeline().addLast(Connection.this);
                }
              })
          .connect(address);
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      channel = context.channel();
      next();
    }

    private void next() {
      if (openLoop != null) {
        openLoop.idle.add(this);
      } else if (stopped) {
        channel.close();
      } else if (maySubmit.getAsBoolean()) {
        submit(System.nanoTime());
      } else {
        channel.eventLoop().schedule(this::next, 1, TimeUnit.MILLISECONDS);
      }
    }

    private void submit(final long dueNs) {
      sinceNs = dueNs;
      final String text =
          "POST /safe HTTP/1.1\r\nHost: b\r\nX-Request-ID: "
              + nextMessageId.getAndIncrement()
              + "\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 600000\r\nX-Consignee: dest="
              + (1 + random.nextInt(destinations))
              + "\r\nContent-Length: "
              + BODY.length()
              + "\r\n\r\n"
              + BODY;
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    void onMessage(
        final ChannelHandlerContext context,
        final ByteBuf bytes,
        final int from,
        final int headEnd) {
      final int status = number(bytes, from + "HTTP/1.1 ".length());
      final long latencyNs = System.nanoTime() - sinceNs;
      latencyUs.recordValue(Math.min(latencyNs / 1000, 59_000_000));
      if (openLoop != null && latencyNs > TIMEOUT_NS) {
        late.incrementAndGet();
      } else if (status == ACCEPTED) {
        accepted.incrementAndGet();
      } else if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
        refused.incrementAndGet();
      } else {
        failed.incrementAndGet();
      }
      if (status == ACCEPTED || openLoop != null) {
        // Deferred, so that the decoder consumes the bytes of this response first.
        channel.eventLoop().execute(this::next);
      } else {
        channel.eventLoop().schedule(this::next, 2, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      if (!stopped) {
        failed.incrementAndGet();
        new Connection(openLoop, random.nextInt()).connect();
      }
    }
  }
}

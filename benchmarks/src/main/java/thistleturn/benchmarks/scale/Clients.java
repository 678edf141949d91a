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
 * Clients that hand in over connections that are kept, one request at a time on each. Closed: the
 * next request follows the answer, while {@code mayAsk} says so. Open: requests fall due at a rate
 * and go over a free connection; where none is free they are given up at once, and those answered
 * later than a client's patience were for nothing.
 */
final class Clients implements AutoCloseable {
  private static final String BODY = "x".repeat(200);
  private static final long PATIENCE_NS = 400_000_000;
  private static final long TICK_US = 500;
  private static final int ACCEPTED = 202;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;

  final AtomicLong accepted = new AtomicLong();
  final AtomicLong refused = new AtomicLong();
  final AtomicLong failed = new AtomicLong();

  /** Requests that fell due and were not answered within a client's patience. */
  final AtomicLong late = new AtomicLong();

  final Histogram latencyUs = new ConcurrentHistogram(60_000_000, 3);
  private final AtomicInteger numbers = new AtomicInteger(1);
  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final int destinations;
  private final BooleanSupplier mayAsk;
  private final List<Line> lines = new ArrayList<>();
  private volatile boolean stopped;

  Clients(
      final EventLoopGroup group,
      final InetSocketAddress address,
      final int destinations,
      final BooleanSupplier mayAsk) {
    this.group = group;
    this.address = address;
    this.destinations = destinations;
    this.mayAsk = mayAsk;
  }

  /** Clients that ask while fewer messages than {@code held} are taken on and not delivered. */
  static Clients holding(
      final EventLoopGroup group,
      final InetSocketAddress address,
      final int destinations,
      final Endpoints endpoints,
      final int held) {
    final Clients[] made = new Clients[1];
    made[0] =
        new Clients(
            group,
            address,
            destinations,
            () -> made[0].accepted.get() - endpoints.calls.get() < held);
    return made[0];
  }

  /** So many connections in a closed loop. */
  void closed(final int connections) {
    for (int index = 0; index < connections; index++) {
      new Connection(null, index).connect();
    }
  }

  /**
   * So many requests a second, over so many connections at most; each of several loops drives a
   * part of them.
   */
  void open(final double perSecond, final int connections, final int loops) {
    for (int index = 0; index < loops; index++) {
      final Line line = new Line(group.next(), perSecond / loops);
      lines.add(line);
      for (int one = index; one < connections; one += loops) {
        new Connection(line, one).connect();
      }
      line.loop.execute(line::begin);
    }
  }

  @Override
  public void close() {
    stopped = true;
  }

  /** What falls due on one loop, and who is free to ask it. */
  private final class Line {
    private final EventLoop loop;
    private final double perNs;
    private final ArrayDeque<Long> due = new ArrayDeque<>();
    private final ArrayDeque<Connection> free = new ArrayDeque<>();
    private long beganNs;
    private long fallen;

    private Line(final EventLoop loop, final double perSecond) {
      this.loop = loop;
      this.perNs = perSecond / 1e9;
    }

    private void begin() {
      beganNs = System.nanoTime();
      loop.scheduleAtFixedRate(this::tick, TICK_US, TICK_US, TimeUnit.MICROSECONDS);
    }

    private void tick() {
      final long nowNs = System.nanoTime();
      while (!stopped && fallen < (nowNs - beganNs) * perNs) {
        due.add(beganNs + (long) (fallen++ / perNs));
      }
      serve();
    }

    private void serve() {
      while (!due.isEmpty() && !free.isEmpty()) {
        free.poll().ask(due.poll());
      }
      late.addAndGet(due.size());
      due.clear();
    }
  }

  private final class Connection extends Framing {
    private final Line line;
    private final SplittableRandom random;
    private Channel channel;
    private long sinceNs;

    private Connection(final Line line, final int seed) {
      this.line = line;
      this.random = new SplittableRandom(seed);
    }

    private void connect() {
      new Bootstrap()
          .group(line == null ? group.next() : line.loop)
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
      if (line != null) {
        line.free.add(this);
      } else if (stopped) {
        channel.close();
      } else if (mayAsk.getAsBoolean()) {
        ask(System.nanoTime());
      } else {
        channel.eventLoop().schedule(this::next, 1, TimeUnit.MILLISECONDS);
      }
    }

    private void ask(final long dueNs) {
      sinceNs = dueNs;
      final String text =
          "POST /safe HTTP/1.1\r\nHost: b\r\nX-Request-ID: "
              + numbers.getAndIncrement()
              + "\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 600000\r\nX-Consignee: dest="
              + (1 + random.nextInt(destinations))
              + "\r\nContent-Length: "
              + BODY.length()
              + "\r\n\r\n"
              + BODY;
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    void message(
        final ChannelHandlerContext context,
        final ByteBuf bytes,
        final int from,
        final int headEnd) {
      final int status = number(bytes, from + "HTTP/1.1 ".length());
      final long tookNs = System.nanoTime() - sinceNs;
      latencyUs.recordValue(Math.min(tookNs / 1000, 59_000_000));
      if (line != null && tookNs > PATIENCE_NS) {
        late.incrementAndGet();
      } else if (status == ACCEPTED) {
        accepted.incrementAndGet();
      } else if (status == BUSY || status == UNAVAILABLE) {
        refused.incrementAndGet();
      } else {
        failed.incrementAndGet();
      }
      if (status == ACCEPTED || line != null) {
        // Outside of the reading, so that its bytes are taken first.
        channel.eventLoop().execute(this::next);
      } else {
        channel.eventLoop().schedule(this::next, 2, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      if (!stopped) {
        failed.incrementAndGet();
        new Connection(line, random.nextInt()).connect();
      }
    }
  }
}

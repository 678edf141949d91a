package thistleturn.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/**
 * A fault between a server and its clients: some responses are sent again on their connection, some
 * time after the original. The choice comes from a seed. Thread-safe.
 */
public final class ResponseCopier {
  private static final long US_PER_MS = 1000;
  private static final int HALF = 2;

  private final Plan plan;
  private final Random random;
  private final AtomicLong copies = new AtomicLong();

  /**
   * What is copied, and when.
   *
   * @param share the share of the responses that are copied, 0 to 1
   * @param minLagMs the least time from a response to its copy, or between two copies
   * @param maxLagMs the longest such time
   * @param copiesOfEach how often a chosen response is sent again
   * @param statusLine a response is copied only if its text contains this
   * @param onlyHalf whether only the first half of the bytes is sent again
   */
  public record Plan(
      double share,
      long minLagMs,
      long maxLagMs,
      int copiesOfEach,
      Pattern statusLine,
      boolean onlyHalf) {
    /** One copy of a share of all responses, whatever their status. */
    public static Plan ofShare(final double share, final long minLagMs, final long maxLagMs) {
      return new Plan(share, minLagMs, maxLagMs, 1, Pattern.compile("HTTP/1.1 "), false);
    }

    /** The same with that many copies. */
    public Plan times(final int count) {
      return new Plan(share, minLagMs, maxLagMs, count, statusLine, onlyHalf);
    }

    /** The same for responses with one status. */
    public Plan ofStatus(final int status) {
      final Pattern only = Pattern.compile("HTTP/1.1 " + status + " ");
      return new Plan(share, minLagMs, maxLagMs, copiesOfEach, only, onlyHalf);
    }

    /** The same with half of the bytes only. */
    public Plan halves() {
      return new Plan(share, minLagMs, maxLagMs, copiesOfEach, statusLine, true);
    }
  }

  /** Copies as a plan says; all choices come from the seed. */
  public ResponseCopier(final Plan plan, final long seed) {
    this.plan = plan;
    this.random = new Random(seed);
  }

  /** The number of copies that were sent so far. */
  public long copies() {
    return copies.get();
  }

  /** Returns the handler for one connection; it has to be the first of the pipeline. */
  ChannelHandler handler(final Runnable onCopy) {
    return new CopyHandler(onCopy);
  }

  private synchronized boolean isChosen(final String text) {
    return plan.statusLine().matcher(text).lookingAt() && random.nextDouble() < plan.share();
  }

  private synchronized long nextLagUs() {
    final long spanUs = (plan.maxLagMs() - plan.minLagMs()) * US_PER_MS;
    return plan.minLagMs() * US_PER_MS + (long) (random.nextDouble() * spanUs);
  }

  /** Collects the bytes of each response until they are flushed. */
  private final class CopyHandler extends ChannelOutboundHandlerAdapter {
    private final ByteArrayOutputStream response = new ByteArrayOutputStream();
    private final Runnable onCopy;

    CopyHandler(final Runnable onCopy) {
      this.onCopy = onCopy;
    }

    @Override
    public void write(
        final ChannelHandlerContext context, final Object part, final ChannelPromise promise) {
      if (part instanceof ByteBuf bytes) {
        response.writeBytes(ByteBufUtil.getBytes(bytes));
      }
      context.write(part, promise);
    }

    @Override
    public void flush(final ChannelHandlerContext context) {
      context.flush();
      final byte[] bytes = response.toByteArray();
      response.reset();
      if (isChosen(new String(bytes, StandardCharsets.ISO_8859_1))) {
        final byte[] copy = plan.onlyHalf() ? Arrays.copyOf(bytes, bytes.length / HALF) : bytes;
        scheduleCopy(context, copy, plan.copiesOfEach());
      }
    }

    private void scheduleCopy(
        final ChannelHandlerContext context, final byte[] copy, final int remaining) {
      if (remaining > 0) {
        context
            .executor()
            .schedule(() -> sendCopy(context, copy, remaining), nextLagUs(), TimeUnit.MICROSECONDS);
      }
    }

    private void sendCopy(
        final ChannelHandlerContext context, final byte[] copy, final int remaining) {
      if (context.channel().isActive()) {
        copies.incrementAndGet();
        onCopy.run();
        context.writeAndFlush(Unpooled.wrappedBuffer(copy));
        scheduleCopy(context, copy, remaining - 1);
      }
    }
  }
}

package thistleturn.courier.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;

/**
 * Tells the platform how messages ended that were taken on and not delivered: in batches, one under
 * way at a time, and again until each is confirmed. A notice that is told twice does no harm; one
 * that is not told loses a message.
 */
public final class HttpOutcomeNotifier implements OutcomeNotifier {
  private static final int MAX_BATCH_SIZE = 200;

  /**
   * A message ends 200 ms before its time, and its notice may come 300 ms after it. The platform
   * answers at once; where a connection does not come up, or has fallen silent, another try on a
   * new one has to fit into that.
   */
  private static final long CONNECT_TIMEOUT_US = 200_000;

  private static final long RESPONSE_TIMEOUT_US = 200_000;
  private static final int MIN_BACKOFF_MS = 50;
  private static final int MAX_BACKOFF_MS = 250;
  private static final int STATUS_CONFIRMED = 204;

  private InetSocketAddress address;
  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker turns;
  private final Listener listener;
  private final Map<String, StoredMessage> unconfirmed = new LinkedHashMap<>();
  private ReportSession session;
  private List<StoredMessage> batchInFlight = List.of();
  private boolean backingOff;
  private int backoffMs = MIN_BACKOFF_MS;

  /** Nothing is told yet. */
  public HttpOutcomeNotifier(
      final InetSocketAddress address,
      final EventLoop loop,
      final Clock clock,
      final PollTracker turns,
      final Listener listener) {
    this.address = address;
    this.loop = loop;
    this.clock = clock;
    this.turns = turns;
    this.listener = listener;
  }

  @Override
  public void enqueue(final StoredMessage held) {
    unconfirmed.put(held.id(), held);
  }

  @Override
  public boolean isEmpty() {
    return unconfirmed.isEmpty();
  }

  @Override
  public void flush() {
    if (unconfirmed.isEmpty() || !batchInFlight.isEmpty() || backingOff) {
      return;
    }
    batchInFlight = unconfirmed.values().stream().limit(MAX_BATCH_SIZE).toList();
    if (session != null) {
      session.sendBatch();
      return;
    }
    final ReportSession fresh = new ReportSession();
    session = fresh;
    fresh.connect();
  }

  /**
   * From now on the platform is at another address: what it has not confirmed goes there, at once.
   */
  @Override
  public void reload(final CourierConfig fresh) {
    final InetSocketAddress next = fresh.discoveryAddress();
    if (next.equals(address)) {
      return;
    }
    address = next;
    final ReportSession old = session;
    session = null;
    batchInFlight = List.of();
    backingOff = false;
    backoffMs = MIN_BACKOFF_MS;
    if (old != null) {
      old.close();
    }
    flush();
  }

  private static String reportLine(final StoredMessage held) {
    final ObjectNode line = JsonNodeFactory.instance.objectNode().put("id", held.id());
    line.put("status", held.finalOutcome().failed() ? "undeliverable" : "deferred");
    if (!held.finalOutcome().failed() && held.finalOutcome().retryAfterMs() > 0) {
      line.put("again_ms", held.finalOutcome().retryAfterMs());
    }
    return Json.toText(line) + "\n";
  }

  private void retryLater() {
    batchInFlight = List.of();
    backingOff = true;
    final long delayMs = ThreadLocalRandom.current().nextLong(backoffMs / 2, backoffMs);
    backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    loop.schedule(
        () -> {
          backingOff = false;
          flush();
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  /** One connection to the platform. */
  private final class ReportSession extends SimpleChannelInboundHandler<HttpObject> {
    private PlatformConnection connection;
    private HttpResponse head;
    private long requestNumber;

    private void connect() {
      connection = PlatformConnection.open(loop, address, this, this::onEnded);
      closeUnlessAnsweredWithin(CONNECT_TIMEOUT_US);
    }

    /**
     * What has come by the time that is over counts: it is read before the connection is given up.
     */
    private void closeUnlessAnsweredWithin(final long us) {
      final long waitsFor = requestNumber;
      final long dueUs = clock.nowUs() + us;
      loop.schedule(
          () ->
              turns.runAfterPoll(
                  loop,
                  dueUs,
                  () -> {
                    if (requestNumber == waitsFor && session == this) {
                      close();
                    }
                  }),
          us,
          TimeUnit.MICROSECONDS);
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
      if (session == this) {
        sendBatch();
      } else {
        ctx.close();
      }
    }

    private void close() {
      connection.close();
    }

    private void sendBatch() {
      final StringBuilder text = new StringBuilder();
      batchInFlight.forEach(held -> text.append(reportLine(held)));
      final var body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
      final var request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/outcomes", body);
      request.headers().set(HttpHeaderNames.HOST, address.getHostString());
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      head = null;
      requestNumber++;
      connection.write(request);
      closeUnlessAnsweredWithin(RESPONSE_TIMEOUT_US);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
      if (session != this || batchInFlight.isEmpty() || part.decoderResult().isFailure()) {
        // What an address that was left still says, or what nothing asked for, confirms nothing
        // that is under way.
        ctx.close();
        return;
      }
      if (part instanceof HttpResponse response) {
        head = response;
      }
      if (part instanceof LastHttpContent && head != null) {
        if (head.status().code() == STATUS_CONFIRMED) {
          onConfirmed();
        } else {
          Log.info("the platform answers notices with " + head.status());
          ctx.close();
        }
      }
    }

    private void onConfirmed() {
      final List<StoredMessage> done = batchInFlight;
      batchInFlight = List.of();
      requestNumber++;
      backoffMs = MIN_BACKOFF_MS;
      done.forEach(held -> unconfirmed.remove(held.id()));
      listener.onConfirmed(done);
      if (!HttpUtil.isKeepAlive(head)) {
        session = null;
        close();
      }
      flush();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
      onEnded();
    }

    private void onEnded() {
      if (session == this) {
        session = null;
        if (!batchInFlight.isEmpty()) {
          retryLater();
        }
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        Log.failure("connection for notices", cause);
      }
      ctx.close();
    }
  }
}

package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.LoopTurns;
import thistleturn.courier.transport.DirectRead;
import thistleturn.decisions.admission.ConnectionEvictionRanking;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.MessageClass;

/**
 * One client's connection: requests are read strictly and served in turn, each with its one answer.
 */
final class HttpSession extends ChannelInboundHandlerAdapter {
  private static final int MOST_BODY_BYTES = 1 << 16;
  private static final int MOST_QUEUED = 16;

  /** For how long, and how much, what a client sends behind its last answer is read away. */
  private static final long LINGER_MS = 500;

  private static final int MOST_DRAINED_BYTES = 1 << 18;

  /** The answer to nearly every request, made once. */
  private static final ByteBuf ACCEPTED =
      Unpooled.unreleasableBuffer(
              Unpooled.directBuffer()
                  .writeBytes(
                      "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"
                          .getBytes(StandardCharsets.US_ASCII)))
          .asReadOnly();

  /**
   * What is kept of a connection that waits for its turn to wake: it is read once, so hardly more
   * than a request.
   */
  private static final int MOST_WAKING_BYTES = 1 << 10;

  private static final long GONE_RETRY_US = 500_000;
  private static final long US_PER_MS = 1000;
  private static final double US_PER_SECOND = 1_000_000;

  private final HttpFront front;
  private final IngressHandler desk;
  private final Clock clock;
  private final LoopTurns turns;
  private final Arrival arrival;
  private ChannelHandlerContext context;

  /** Writes bytes as they are; null while it rests. */
  private ChannelHandlerContext toSocket;

  /** What it said while many woke at once. */
  private ByteBuf waking;

  private HttpRequest head;

  /** What has come of a body; nothing is kept of it once the request is whole. */
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  private final Look look = new Look(this);
  private final Deque<Request> queue = new ArrayDeque<>(1);
  private int queuedBytes;
  private Request current;
  private String currentId;
  private long currentDestination;
  private boolean reading;
  private boolean hasAsked;

  /**
   * It was read from once without the selector's word; it is being; that found what the selector
   * had not told.
   */
  private boolean readDirectly;

  private boolean readsDirectly;
  private boolean unwatched;

  /** What is said once all before it is answered; then nothing further is read. */
  private HttpResponseStatus last;

  private boolean rejected;
  private int drainedBytes;

  /** Since when it has been of no use, and since when a request has been coming in. */
  private long sinceUs;

  private long askedSinceUs = Long.MAX_VALUE;
  private long lastByteUs;

  HttpSession(
      final HttpFront front,
      final IngressHandler desk,
      final Clock clock,
      final LoopTurns turns,
      final long acceptableSinceUs) {
    this.turns = turns;
    this.arrival = new Arrival(acceptableSinceUs);
    this.front = front;
    this.desk = desk;
    this.clock = clock;
    this.sinceUs = clock.nowUs();
  }

  /** When a session is looked at next. */
  static final class Look extends TimeHeap.Entry {
    final HttpSession session;

    private Look(final HttpSession session) {
      this.session = session;
    }
  }

  /** A whole request that waits for its turn on its connection. */
  private record Request(
      HttpRequest head, byte[] body, long arrivedUs, long firstByteUs, long wholeUs) {}

  Look look() {
    return look;
  }

  /** True while it holds nothing but itself: no decoder, no buffer. */
  boolean isResting() {
    return toSocket == null;
  }

  /** Gives back what reading and writing need, until bytes come. */
  void rest() {
    if (!isResting() && !rejected) {
      toSocket = null;
      context.pipeline().remove(HttpResponseEncoder.class);
      context.pipeline().remove(HttpServerExpectContinueHandler.class);
      // Last of all: what it has of a further request comes out here, and wakes the connection at
      // once.
      context.pipeline().remove(RequestDecoder.class);
    }
  }

  /** Bytes have come: they are read from the start of the pipeline. */
  private void wake(final Object bytes) {
    context
        .pipeline()
        .addFirst(
            new RequestDecoder(this::bytesCame),
            new HttpResponseEncoder(),
            new HttpServerExpectContinueHandler());
    toSocket = context.pipeline().context(HttpResponseEncoder.class);
    context.pipeline().fireChannelRead(bytes);
  }

  /**
   * Many wake at once: what it says is kept, and read when its turn comes; until then it is asked
   * for no more.
   */
  private void wakeInTurn(final ByteBuf bytes) {
    bytesCame(bytes);
    context.channel().config().setAutoRead(false);
    if (waking == null) {
      waking = Unpooled.copiedBuffer(bytes);
      front.wakeInTurn(this);
    } else {
      waking = Unpooled.wrappedBuffer(waking, Unpooled.copiedBuffer(bytes));
    }
    bytes.release();
  }

  /** True while it waits for its turn to wake. */
  boolean isWaking() {
    return waking != null;
  }

  /** Its turn to wake has come. */
  void wake() {
    final ByteBuf bytes = waking;
    waking = null;
    if (context.channel().isActive()) {
      context.channel().config().setAutoRead(true);
      wake(bytes);
    } else {
      bytes.release();
    }
  }

  /**
   * True while it has not been known to be watched by the selector: nothing has been heard of it,
   * or not by that way.
   */
  boolean mayBeUnwatched() {
    return unwatched
        || (!readDirectly && !hasAsked && askedSinceUs == Long.MAX_VALUE && !isClosing());
  }

  /** Reads what it has without the selector's word; what is found that way is watched by nobody. */
  void readDirectly() {
    readDirectly = true;
    readsDirectly = true;
    DirectRead.of(context.channel());
    readsDirectly = false;
  }

  /** Since when it has been of no use, us. */
  long sinceUs() {
    return sinceUs;
  }

  /** Since when a request has been coming in, us; never, while none is. */
  long askedSinceUs() {
    return askedSinceUs;
  }

  boolean hasAsked() {
    return hasAsked;
  }

  boolean isIdle() {
    return askedSinceUs == Long.MAX_VALUE && current == null && queue.isEmpty() && !isClosing();
  }

  boolean isClosing() {
    return last != null || rejected;
  }

  /** How little is lost if it makes room for another. */
  int rank(final ConnectionEvictionRanking crowd, final long nowUs) {
    return crowd.rank(
        rejected
            ? ConnectionEvictionRanking.ConnectionState.REJECTED
            : current != null || !queue.isEmpty()
                ? ConnectionEvictionRanking.ConnectionState.PROCESSING_REQUEST
                : !isIdle()
                    ? ConnectionEvictionRanking.ConnectionState.RECEIVING_REQUEST
                    : hasAsked
                        ? ConnectionEvictionRanking.ConnectionState.IDLE_AFTER_RESPONSE
                        : ConnectionEvictionRanking.ConnectionState.NO_REQUEST_YET,
        sinceUs,
        lastByteUs,
        nowUs);
  }

  /** Ends a connection that asks nothing. */
  void shutIfIdle() {
    if (isIdle() && front.leaves(this)) {
      shut(context.newSucceededFuture());
    }
  }

  /** The process ends: what has not come whole by now is not taken on. */
  void turnAway() {
    shutIfIdle();
    if (!isClosing() && askedSinceUs != Long.MAX_VALUE) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  /** Closes it, and no longer counts it from this moment: its end is told only after this pass. */
  void drop() {
    logClosed("makes_room");
    front.closed(this);
    context.close();
  }

  /** That a connection is ended from this side, unless it is between two requests. */
  private void logClosed(final String why) {
    if (current != null || !queue.isEmpty() || askedSinceUs != Long.MAX_VALUE) {
      Log.event(
          Event.CONNECTION_CLOSED,
          "client",
          context.channel().remoteAddress(),
          "why",
          why,
          "id",
          currentId,
          "queued",
          queue.size(),
          "coming_in",
          askedSinceUs != Long.MAX_VALUE);
    }
  }

  @Override
  public void channelActive(final ChannelHandlerContext ctx) {
    context = ctx;
    front.opened(this);
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    if (hasAsked && isIdle()) {
      front.learn(false);
    }
    front.closed(this);
    front.release(body.size() + queuedBytes);
    queuedBytes = 0;
    body = new ByteArrayOutputStream(0);
    queue.clear();
    if (currentId != null) {
      Log.event(
          Event.REQUEST_UNANSWERED,
          "id",
          currentId,
          "client",
          ctx.channel().remoteAddress(),
          "after_us",
          clock.nowUs() - current.wholeUs());
      desk.withdraw(currentId, currentDestination);
      current = null;
      currentId = null;
    }
  }

  /**
   * The client sends no more. One that is not answered yet has most likely given up, so that its
   * message is not taken on; but it may have closed its sending side only, and is told so.
   */
  @Override
  public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
    if (event != ChannelInputShutdownEvent.INSTANCE) {
      return;
    }
    if (currentId != null && !desk.isAnsweredOnThisLoop(currentDestination)) {
      // Its answer is on its way from another loop, where its first attempt may have begun.
      last = HttpResponseStatus.SERVICE_UNAVAILABLE;
    } else if (currentId != null) {
      last = HttpResponseStatus.SERVICE_UNAVAILABLE;
      desk.withdraw(currentId, currentDestination);
      answer(HttpResponseStatus.SERVICE_UNAVAILABLE, GONE_RETRY_US);
    } else if (isClosing() || (current == null && queue.isEmpty())) {
      drop();
    } else {
      last = HttpResponseStatus.BAD_REQUEST;
    }
  }

  /** Bytes have come, perhaps too few to make a head. */
  void bytesCame(final ByteBuf bytes) {
    lastByteUs = clock.nowUs();
    if (readsDirectly && !unwatched) {
      unwatched = true;
      Log.event(
          Event.CONNECTION_UNWATCHED,
          "client",
          context.channel().remoteAddress(),
          "after_us",
          lastByteUs - sinceUs);
    }
    arrival.read(lastByteUs, turns.previousLookUs(), bytes.isWritable());
    if (hasAsked && isIdle()) {
      front.learn(true);
    }
    asking();
  }

  private void asking() {
    if (askedSinceUs == Long.MAX_VALUE) {
      askedSinceUs = clock.nowUs();
    }
  }

  @Override
  public void channelRead(final ChannelHandlerContext ctx, final Object part) {
    if (isResting() && part instanceof ByteBuf bytes && !rejected) {
      if (waking == null && (bytes.readableBytes() > MOST_WAKING_BYTES || !front.isWakeUp())) {
        wake(bytes);
      } else {
        wakeInTurn(bytes);
      }
      return;
    }
    try {
      if (part instanceof HttpObject object && !isClosing()) {
        read(object);
      } else if (part instanceof ByteBuf bytes && rejected) {
        // It is read away, within bounds, lest a reset overtake the answer.
        drainedBytes += bytes.readableBytes();
        if (drainedBytes > MOST_DRAINED_BYTES) {
          ctx.close();
        }
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void read(final HttpObject part) {
    if (part.decoderResult().isFailure()) {
      final Throwable cause = part.decoderResult().cause();
      reject(
          cause instanceof TooLongHttpLineException
              ? HttpResponseStatus.REQUEST_URI_TOO_LONG
              : cause instanceof TooLongHttpHeaderException
                  ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                  : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (part instanceof HttpRequest request) {
      head = request;
      reading = true;
      asking();
      if (!RequestDecoder.isFramedPlainly(request)) {
        reject(HttpResponseStatus.BAD_REQUEST);
        return;
      }
      if (HttpUtil.getContentLength(request, 0L) > MOST_BODY_BYTES) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
    }
    if (part instanceof HttpContent content && reading) {
      final int more = content.content().readableBytes();
      if (body.size() + more > MOST_BODY_BYTES) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      if (!front.hold(more)) {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        return;
      }
      final byte[] bytes = new byte[more];
      content.content().readBytes(bytes);
      body.writeBytes(bytes);
      if (part instanceof LastHttpContent) {
        complete();
      }
    }
  }

  /** A request has come whole: it takes its turn. */
  private void complete() {
    reading = false;
    hasAsked = true;
    final long nowUs = clock.nowUs();
    queue.add(
        new Request(
            head,
            body.toByteArray(),
            Math.max(arrival.sinceUs(), nowUs - HandIn.CLIENT_PATIENCE_US),
            askedSinceUs,
            nowUs));
    askedSinceUs = Long.MAX_VALUE;
    queuedBytes += body.size();
    head = null;
    body = new ByteArrayOutputStream(0);
    if (queue.size() > MOST_QUEUED) {
      reject(HttpResponseStatus.TOO_MANY_REQUESTS);
    }
    next();
  }

  /** Serves requests of one connection in turn, so that their answers keep their order. */
  private void next() {
    while (current == null && !queue.isEmpty() && !rejected) {
      current = queue.poll();
      queuedBytes -= current.body().length;
      front.release(current.body().length);
      serve(current);
    }
    if (current == null && queue.isEmpty() && last != null && !rejected) {
      sayLast();
    }
    if (!queue.isEmpty()) {
      arrival.paused(clock.nowUs());
    }
    context.channel().config().setAutoRead(queue.isEmpty());
  }

  private void serve(final Request request) {
    final String uri = request.head().uri();
    final int query = uri.indexOf('?');
    final String path = query < 0 ? uri : uri.substring(0, query);
    if (path.equals("/up")) {
      if (!request.head().method().equals(HttpMethod.GET)) {
        answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
      } else {
        answer(
            front.isDraining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, 0);
      }
      return;
    }
    final String className = path.substring(Math.min(path.length(), 1)).split("/", 2)[0];
    final MessageClass kind = desk.messageClass(className);
    if (kind == null) {
      answer(HttpResponseStatus.NOT_FOUND, 0);
    } else if (!request.head().method().equals(HttpMethod.POST)) {
      answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
    } else {
      handIn(request, kind);
    }
  }

  private void handIn(final Request request, final MessageClass kind) {
    final HandIn handIn = HandIn.read(request.head().headers(), kind);
    if (handIn == null) {
      answer(HttpResponseStatus.BAD_REQUEST, 0);
      return;
    }
    final long validUntilUs =
        request.arrivedUs() + HandIn.lifeUs(handIn.timeoutMs(), kind.deadlineUs());
    currentId = handIn.id();
    currentDestination = handIn.destination();
    final StoredMessage held =
        new StoredMessage(
            handIn.id(),
            kind.name(),
            handIn.key(),
            handIn.destination(),
            validUntilUs,
            request.body());
    held.startTimeline(
        new MessageTimeline(
            request.arrivedUs(),
            request.firstByteUs(),
            request.wholeUs(),
            request.arrivedUs() + handIn.timeoutMs() * US_PER_MS));
    desk.submit(held, validUntilUs, new Answerer(request, handIn.id(), handIn.destination()));
  }

  /** Answers the request that is current, once its message's fate at the door is known. */
  private final class Answerer implements Ingress.Reply {
    private final Request request;
    private final String id;
    private final long destination;

    private Answerer(final Request request, final String id, final long destination) {
      this.request = request;
      this.id = id;
      this.destination = destination;
    }

    @Override
    public void accepted() {
      if (current == request) {
        // A client that never gets this counts on nothing: its message is withdrawn.
        answer(HttpResponseStatus.ACCEPTED, 0)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    desk.withdraw(id, destination);
                  }
                });
      }
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      say(
          why == Ingress.RejectionReason.NO_ROOM
              ? HttpResponseStatus.SERVICE_UNAVAILABLE
              : HttpResponseStatus.TOO_MANY_REQUESTS,
          retryAfterUs);
    }

    @Override
    public void failed() {
      say(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      Log.event(Event.REQUEST_UNUSABLE, "id", id, "dest", destination, "why", fault);
      say(
          fault == Ingress.InvalidReason.NO_DESTINATION
              ? HttpResponseStatus.NOT_FOUND
              : HttpResponseStatus.CONFLICT,
          0);
    }

    /** Its connection may have ended meanwhile, and then nobody is told. */
    private void say(final HttpResponseStatus status, final long retryAfterUs) {
      if (current == request) {
        answer(status, retryAfterUs);
      }
    }
  }

  private ChannelFuture answer(final HttpResponseStatus status, final long retryAfterUs) {
    // Who asks for what cannot be had is not trusted with what it sends behind it.
    final boolean good =
        status.code() < HttpResponseStatus.BAD_REQUEST.code()
            || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
            || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            || status.equals(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    final boolean keep =
        good
            && HttpUtil.isKeepAlive(current.head())
            && !front.isDraining()
            && last == null
            && !unwatched;
    current = null;
    currentId = null;
    sinceUs = clock.nowUs();
    final boolean plain = keep && status == HttpResponseStatus.ACCEPTED;
    final var response = plain ? null : response(status);
    if (retryAfterUs > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
    }
    if ((!keep && queue.isEmpty()) || !good) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      return end(response);
    }
    final ChannelFuture written =
        plain ? toSocket.writeAndFlush(ACCEPTED.duplicate()) : context.writeAndFlush(response);
    if (context.channel().isWritable()) {
      if (!queue.isEmpty() || last != null) {
        context.executor().execute(this::next);
      }
    } else {
      // It asks and does not read what it is told.
      logClosed("does_not_read");
      context.close();
    }
    return written;
  }

  /** Turns away what cannot be read, once what was read before it is answered. */
  void reject(final HttpResponseStatus status) {
    Log.event(
        Event.CONNECTION_CLOSED,
        "client",
        context.channel().remoteAddress(),
        "why",
        status.code(),
        "id",
        currentId,
        "queued",
        queue.size());
    last = status;
    reading = false;
    front.release(body.size());
    body = new ByteArrayOutputStream(0);
    if (current == null && queue.isEmpty()) {
      sayLast();
    }
  }

  private void sayLast() {
    final var response = response(last);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    end(response);
  }

  /**
   * The last answer of a connection; what still comes is read away for a while and not looked at.
   */
  private ChannelFuture end(final DefaultFullHttpResponse response) {
    last = response.status();
    front.release(queuedBytes);
    queuedBytes = 0;
    queue.clear();
    final ChannelFuture written = context.writeAndFlush(response);
    shut(written);
    return written;
  }

  /**
   * Says no more once that is written. What still comes is read away for a while and not looked at:
   * a close over bytes that were not read would reset the connection, and take back answers that
   * are on their way. Whoever sent them sends them again on another connection.
   */
  private void shut(final ChannelFuture written) {
    rejected = true;
    if (context.pipeline().get(RequestDecoder.class) != null) {
      context.pipeline().remove(RequestDecoder.class);
    }
    context.channel().config().setAutoRead(true);
    written.addListener(
        done -> {
          if (context.channel() instanceof SocketChannel socket && done.isSuccess()) {
            socket.shutdownOutput();
          }
          context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        });
  }

  private static DefaultFullHttpResponse response(final HttpResponseStatus status) {
    final var response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return response;
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.failure("a client's connection", cause);
    }
    logClosed(String.valueOf(cause));
    ctx.close();
  }
}

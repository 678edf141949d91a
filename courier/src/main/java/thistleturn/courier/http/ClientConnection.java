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
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.DirectRead;
import thistleturn.decisions.admission.ConnectionEvictionRanking;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.MessageClass;

/**
 * One client's connection: requests are read strictly and served in turn, each with its one answer.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int MAX_QUEUED_REQUESTS = 16;

  /** For how long, and how much, what a client sends behind its last answer is read away. */
  private static final long LINGER_MS = 500;

  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  /** The answer to nearly every request, made once. */
  private static final ByteBuf ACCEPTED_RESPONSE =
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
  private static final int MAX_DEFERRED_BYTES = 1 << 10;

  private static final long HALF_CLOSED_RETRY_AFTER_US = 500_000;
  private static final long US_PER_MS = 1000;
  private static final double US_PER_SECOND = 1_000_000;

  private final HttpIngress ingress;
  private final IngressHandler ingressHandler;
  private final Clock clock;
  private final PollTracker turns;
  private final ReceiveTimeBound receiveTime;
  private ChannelHandlerContext context;

  /** Writes bytes as they are; null while it rests. */
  private ChannelHandlerContext encoderContext;

  /** What it said while many woke at once. */
  private ByteBuf deferredBytes;

  private HttpRequest requestHead;

  /** What has come of a body; nothing is kept of it once the request is whole. */
  private ByteArrayOutputStream requestBody = new ByteArrayOutputStream(0);

  private final ScheduledCheck scheduledCheck = new ScheduledCheck(this);
  private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>(1);
  private int queuedBytes;
  private QueuedRequest currentRequest;
  private String currentId;
  private long currentDestination;
  private boolean readingBody;
  private boolean hasSentRequest;

  /**
   * It was read from once without the selector's word; it is being; that found what the selector
   * had not told.
   */
  private boolean directReadDone;

  private boolean directReadActive;
  private boolean unwatched;

  /** What is said once all before it is answered; then nothing further is read. */
  private HttpResponseStatus finalStatus;

  private boolean discardingInput;
  private int discardedBytes;

  /** Since when it has been of no use, and since when a request has been coming in. */
  private long idleSinceUs;

  private long requestStartedUs = Long.MAX_VALUE;
  private long lastReceivedUs;

  ClientConnection(
      final HttpIngress front,
      final IngressHandler desk,
      final Clock clock,
      final PollTracker turns,
      final long acceptableSinceUs) {
    this.turns = turns;
    this.receiveTime = new ReceiveTimeBound(acceptableSinceUs);
    this.ingress = front;
    this.ingressHandler = desk;
    this.clock = clock;
    this.idleSinceUs = clock.nowUs();
  }

  /** When a session is looked at next. */
  static final class ScheduledCheck extends TimeHeap.Entry {
    final ClientConnection connection;

    private ScheduledCheck(final ClientConnection session) {
      this.connection = session;
    }
  }

  /** A whole request that waits for its turn on its connection. */
  private record QueuedRequest(
      HttpRequest head, byte[] body, long receivedUs, long firstByteUs, long completedUs) {}

  ScheduledCheck scheduledCheck() {
    return scheduledCheck;
  }

  /** True while it holds nothing but itself: no decoder, no buffer. */
  boolean isHibernating() {
    return encoderContext == null;
  }

  /** Gives back what reading and writing need, until bytes come. */
  void hibernate() {
    if (!isHibernating() && !discardingInput) {
      encoderContext = null;
      context.pipeline().remove(HttpResponseEncoder.class);
      context.pipeline().remove(HttpServerExpectContinueHandler.class);
      // Last of all: what it has of a further request comes out here, and wakes the connection at
      // once.
      context.pipeline().remove(RequestDecoder.class);
    }
  }

  /** Bytes have come: they are read from the start of the pipeline. */
  private void wakeUp(final Object bytes) {
    context
        .pipeline()
        .addFirst(
            new RequestDecoder(this::onBytesReceived),
            new HttpResponseEncoder(),
            new HttpServerExpectContinueHandler());
    encoderContext = context.pipeline().context(HttpResponseEncoder.class);
    context.pipeline().fireChannelRead(bytes);
  }

  /**
   * Many wake at once: what it says is kept, and read when its turn comes; until then it is asked
   * for no more.
   */
  private void deferWakeUp(final ByteBuf bytes) {
    onBytesReceived(bytes);
    context.channel().config().setAutoRead(false);
    if (deferredBytes == null) {
      deferredBytes = Unpooled.copiedBuffer(bytes);
      ingress.queueWakeUp(this);
    } else {
      deferredBytes = Unpooled.wrappedBuffer(deferredBytes, Unpooled.copiedBuffer(bytes));
    }
    bytes.release();
  }

  /** True while it waits for its turn to wake. */
  boolean isAwaitingWakeUp() {
    return deferredBytes != null;
  }

  /** Its turn to wake has come. */
  void wakeUp() {
    final ByteBuf bytes = deferredBytes;
    deferredBytes = null;
    if (context.channel().isActive()) {
      context.channel().config().setAutoRead(true);
      wakeUp(bytes);
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
        || (!directReadDone
            && !hasSentRequest
            && requestStartedUs == Long.MAX_VALUE
            && !isClosing());
  }

  /** Reads what it has without the selector's word; what is found that way is watched by nobody. */
  void readDirectly() {
    directReadDone = true;
    directReadActive = true;
    DirectRead.readOnce(context.channel());
    directReadActive = false;
  }

  /** Since when it has been of no use, us. */
  long idleSinceUs() {
    return idleSinceUs;
  }

  /** Since when a request has been coming in, us; never, while none is. */
  long requestStartedUs() {
    return requestStartedUs;
  }

  boolean hasSentRequest() {
    return hasSentRequest;
  }

  boolean isIdle() {
    return requestStartedUs == Long.MAX_VALUE
        && currentRequest == null
        && queuedRequests.isEmpty()
        && !isClosing();
  }

  boolean isClosing() {
    return finalStatus != null || discardingInput;
  }

  /** How little is lost if it makes room for another. */
  int evictionRank(final ConnectionEvictionRanking crowd, final long nowUs) {
    return crowd.rank(
        discardingInput
            ? ConnectionEvictionRanking.ConnectionState.REJECTED
            : currentRequest != null || !queuedRequests.isEmpty()
                ? ConnectionEvictionRanking.ConnectionState.PROCESSING_REQUEST
                : !isIdle()
                    ? ConnectionEvictionRanking.ConnectionState.RECEIVING_REQUEST
                    : hasSentRequest
                        ? ConnectionEvictionRanking.ConnectionState.IDLE_AFTER_RESPONSE
                        : ConnectionEvictionRanking.ConnectionState.NO_REQUEST_YET,
        idleSinceUs,
        lastReceivedUs,
        nowUs);
  }

  /** Ends a connection that asks nothing. */
  void closeIfIdle() {
    if (isIdle() && ingress.moveToClosing(this)) {
      closeOutputAfter(context.newSucceededFuture());
    }
  }

  /** The process ends: what has not come whole by now is not taken on. */
  void rejectIncomplete() {
    closeIfIdle();
    if (!isClosing() && requestStartedUs != Long.MAX_VALUE) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  /** Closes it, and no longer counts it from this moment: its end is told only after this pass. */
  void closeNow() {
    logClosed("makes_room");
    ingress.onConnectionClosed(this);
    context.close();
  }

  /** That a connection is ended from this side, unless it is between two requests. */
  private void logClosed(final String why) {
    if (currentRequest != null || !queuedRequests.isEmpty() || requestStartedUs != Long.MAX_VALUE) {
      Log.event(
          Event.CONNECTION_CLOSED,
          "client",
          context.channel().remoteAddress(),
          "why",
          why,
          "id",
          currentId,
          "queued",
          queuedRequests.size(),
          "coming_in",
          requestStartedUs != Long.MAX_VALUE);
    }
  }

  @Override
  public void channelActive(final ChannelHandlerContext ctx) {
    context = ctx;
    ingress.onConnectionOpened(this);
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    if (hasSentRequest && isIdle()) {
      ingress.recordKeepAliveOutcome(false);
    }
    ingress.onConnectionClosed(this);
    ingress.releaseBodyBytes(requestBody.size() + queuedBytes);
    queuedBytes = 0;
    requestBody = new ByteArrayOutputStream(0);
    queuedRequests.clear();
    if (currentId != null) {
      Log.event(
          Event.REQUEST_UNANSWERED,
          "id",
          currentId,
          "client",
          ctx.channel().remoteAddress(),
          "after_us",
          clock.nowUs() - currentRequest.completedUs());
      ingressHandler.withdraw(currentId, currentDestination);
      currentRequest = null;
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
    if (currentId != null && !ingressHandler.isAnsweredOnThisLoop(currentDestination)) {
      // Its answer is on its way from another loop, where its first attempt may have begun.
      finalStatus = HttpResponseStatus.SERVICE_UNAVAILABLE;
    } else if (currentId != null) {
      finalStatus = HttpResponseStatus.SERVICE_UNAVAILABLE;
      ingressHandler.withdraw(currentId, currentDestination);
      respond(HttpResponseStatus.SERVICE_UNAVAILABLE, HALF_CLOSED_RETRY_AFTER_US);
    } else if (isClosing() || (currentRequest == null && queuedRequests.isEmpty())) {
      closeNow();
    } else {
      finalStatus = HttpResponseStatus.BAD_REQUEST;
    }
  }

  /** Bytes have come, perhaps too few to make a head. */
  void onBytesReceived(final ByteBuf bytes) {
    lastReceivedUs = clock.nowUs();
    if (directReadActive && !unwatched) {
      unwatched = true;
      Log.event(
          Event.CONNECTION_UNWATCHED,
          "client",
          context.channel().remoteAddress(),
          "after_us",
          lastReceivedUs - idleSinceUs);
    }
    receiveTime.onRead(lastReceivedUs, turns.previousPollUs(), bytes.isWritable());
    if (hasSentRequest && isIdle()) {
      ingress.recordKeepAliveOutcome(true);
    }
    markRequestStarted();
  }

  private void markRequestStarted() {
    if (requestStartedUs == Long.MAX_VALUE) {
      requestStartedUs = clock.nowUs();
    }
  }

  @Override
  public void channelRead(final ChannelHandlerContext ctx, final Object part) {
    if (isHibernating() && part instanceof ByteBuf bytes && !discardingInput) {
      if (deferredBytes == null
          && (bytes.readableBytes() > MAX_DEFERRED_BYTES || !ingress.mustQueueWakeUp())) {
        wakeUp(bytes);
      } else {
        deferWakeUp(bytes);
      }
      return;
    }
    try {
      if (part instanceof HttpObject object && !isClosing()) {
        onHttpObject(object);
      } else if (part instanceof ByteBuf bytes && discardingInput) {
        // It is read away, within bounds, lest a reset overtake the answer.
        discardedBytes += bytes.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
          ctx.close();
        }
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void onHttpObject(final HttpObject part) {
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
      requestHead = request;
      readingBody = true;
      markRequestStarted();
      if (!RequestDecoder.hasUnambiguousFraming(request)) {
        reject(HttpResponseStatus.BAD_REQUEST);
        return;
      }
      if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
    }
    if (part instanceof HttpContent content && readingBody) {
      final int more = content.content().readableBytes();
      if (requestBody.size() + more > MAX_BODY_BYTES) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      if (!ingress.reserveBodyBytes(more)) {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        return;
      }
      final byte[] bytes = new byte[more];
      content.content().readBytes(bytes);
      requestBody.writeBytes(bytes);
      if (part instanceof LastHttpContent) {
        onRequestComplete();
      }
    }
  }

  /** A request has come whole: it takes its turn. */
  private void onRequestComplete() {
    readingBody = false;
    hasSentRequest = true;
    final long nowUs = clock.nowUs();
    queuedRequests.add(
        new QueuedRequest(
            requestHead,
            requestBody.toByteArray(),
            Math.max(receiveTime.earliestUs(), nowUs - SubmitRequest.CLIENT_TIMEOUT_US),
            requestStartedUs,
            nowUs));
    requestStartedUs = Long.MAX_VALUE;
    queuedBytes += requestBody.size();
    requestHead = null;
    requestBody = new ByteArrayOutputStream(0);
    if (queuedRequests.size() > MAX_QUEUED_REQUESTS) {
      reject(HttpResponseStatus.TOO_MANY_REQUESTS);
    }
    serveNext();
  }

  /** Serves requests of one connection in turn, so that their answers keep their order. */
  private void serveNext() {
    while (currentRequest == null && !queuedRequests.isEmpty() && !discardingInput) {
      currentRequest = queuedRequests.poll();
      queuedBytes -= currentRequest.body().length;
      ingress.releaseBodyBytes(currentRequest.body().length);
      serve(currentRequest);
    }
    if (currentRequest == null
        && queuedRequests.isEmpty()
        && finalStatus != null
        && !discardingInput) {
      sendFinalResponse();
    }
    if (!queuedRequests.isEmpty()) {
      receiveTime.onReadPaused(clock.nowUs());
    }
    context.channel().config().setAutoRead(queuedRequests.isEmpty());
  }

  private void serve(final QueuedRequest request) {
    final String uri = request.head().uri();
    final int query = uri.indexOf('?');
    final String path = query < 0 ? uri : uri.substring(0, query);
    if (path.equals("/up")) {
      if (!request.head().method().equals(HttpMethod.GET)) {
        respond(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
      } else {
        respond(
            ingress.isDraining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
            0);
      }
      return;
    }
    final String className = path.substring(Math.min(path.length(), 1)).split("/", 2)[0];
    final MessageClass kind = ingressHandler.messageClass(className);
    if (kind == null) {
      respond(HttpResponseStatus.NOT_FOUND, 0);
    } else if (!request.head().method().equals(HttpMethod.POST)) {
      respond(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
    } else {
      submit(request, kind);
    }
  }

  private void submit(final QueuedRequest request, final MessageClass kind) {
    final SubmitRequest handIn = SubmitRequest.parse(request.head().headers(), kind);
    if (handIn == null) {
      respond(HttpResponseStatus.BAD_REQUEST, 0);
      return;
    }
    final long validUntilUs =
        request.receivedUs() + SubmitRequest.remainingTimeUs(handIn.timeoutMs(), kind.deadlineUs());
    currentId = handIn.id();
    currentDestination = handIn.destination();
    final StoredMessage held =
        new StoredMessage(
            handIn.id(),
            kind.name(),
            handIn.idempotencyKey(),
            handIn.destination(),
            validUntilUs,
            request.body());
    held.startTimeline(
        new MessageTimeline(
            request.receivedUs(),
            request.firstByteUs(),
            request.completedUs(),
            request.receivedUs() + handIn.timeoutMs() * US_PER_MS));
    ingressHandler.submit(
        held, validUntilUs, new SubmitReply(request, handIn.id(), handIn.destination()));
  }

  /** Answers the request that is current, once its message's fate at the door is known. */
  private final class SubmitReply implements Ingress.Reply {
    private final QueuedRequest request;
    private final String id;
    private final long destination;

    private SubmitReply(final QueuedRequest request, final String id, final long destination) {
      this.request = request;
      this.id = id;
      this.destination = destination;
    }

    @Override
    public void accepted() {
      if (currentRequest == request) {
        // A client that never gets this counts on nothing: its message is withdrawn.
        respond(HttpResponseStatus.ACCEPTED, 0)
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    ingressHandler.withdraw(id, destination);
                  }
                });
      }
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      respondIfCurrent(
          why == Ingress.RejectionReason.NO_ROOM
              ? HttpResponseStatus.SERVICE_UNAVAILABLE
              : HttpResponseStatus.TOO_MANY_REQUESTS,
          retryAfterUs);
    }

    @Override
    public void failed() {
      respondIfCurrent(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      Log.event(Event.REQUEST_UNUSABLE, "id", id, "dest", destination, "why", fault);
      respondIfCurrent(
          fault == Ingress.InvalidReason.NO_DESTINATION
              ? HttpResponseStatus.NOT_FOUND
              : HttpResponseStatus.CONFLICT,
          0);
    }

    /** Its connection may have ended meanwhile, and then nobody is told. */
    private void respondIfCurrent(final HttpResponseStatus status, final long retryAfterUs) {
      if (currentRequest == request) {
        respond(status, retryAfterUs);
      }
    }
  }

  private ChannelFuture respond(final HttpResponseStatus status, final long retryAfterUs) {
    // Who asks for what cannot be had is not trusted with what it sends behind it.
    final boolean good =
        status.code() < HttpResponseStatus.BAD_REQUEST.code()
            || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
            || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            || status.equals(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    final boolean keep =
        good
            && HttpUtil.isKeepAlive(currentRequest.head())
            && !ingress.isDraining()
            && finalStatus == null
            && !unwatched;
    currentRequest = null;
    currentId = null;
    idleSinceUs = clock.nowUs();
    final boolean plain = keep && status == HttpResponseStatus.ACCEPTED;
    final var response = plain ? null : emptyResponse(status);
    if (retryAfterUs > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
    }
    if ((!keep && queuedRequests.isEmpty()) || !good) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      return respondAndClose(response);
    }
    final ChannelFuture written =
        plain
            ? encoderContext.writeAndFlush(ACCEPTED_RESPONSE.duplicate())
            : context.writeAndFlush(response);
    if (context.channel().isWritable()) {
      if (!queuedRequests.isEmpty() || finalStatus != null) {
        context.executor().execute(this::serveNext);
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
        queuedRequests.size());
    finalStatus = status;
    readingBody = false;
    ingress.releaseBodyBytes(requestBody.size());
    requestBody = new ByteArrayOutputStream(0);
    if (currentRequest == null && queuedRequests.isEmpty()) {
      sendFinalResponse();
    }
  }

  private void sendFinalResponse() {
    final var response = emptyResponse(finalStatus);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    respondAndClose(response);
  }

  /**
   * The last answer of a connection; what still comes is read away for a while and not looked at.
   */
  private ChannelFuture respondAndClose(final DefaultFullHttpResponse response) {
    finalStatus = response.status();
    ingress.releaseBodyBytes(queuedBytes);
    queuedBytes = 0;
    queuedRequests.clear();
    final ChannelFuture written = context.writeAndFlush(response);
    closeOutputAfter(written);
    return written;
  }

  /**
   * Says no more once that is written. What still comes is read away for a while and not looked at:
   * a close over bytes that were not read would reset the connection, and take back answers that
   * are on their way. Whoever sent them sends them again on another connection.
   */
  private void closeOutputAfter(final ChannelFuture written) {
    discardingInput = true;
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

  private static DefaultFullHttpResponse emptyResponse(final HttpResponseStatus status) {
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

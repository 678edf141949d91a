package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.util.Optional;
import thistleturn.courier.transport.ConnectionFailures;
import thistleturn.courier.transport.DirectRead;
import thistleturn.decisions.admission.ConnectionEvictionRanking;

/**
 * One client's connection. It serves the requests in the order in which they arrive and answers
 * each exactly once. While it has no request for a while it hibernates: its pipeline then holds
 * neither codecs nor buffers.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ReceiveBudget.Holder {
  private static final int MAX_QUEUED_REQUESTS = 16;

  /** A larger read wakes a hibernating connection at once, rather than being copied and queued. */
  private static final int MAX_DEFERRED_BYTES = 1 << 10;

  private static final long HALF_CLOSED_RETRY_AFTER_US = 500_000;

  /** The value of {@link #requestStartedUs} while no request is being received. */
  private static final long NO_REQUEST = Long.MAX_VALUE;

  private final IngressContext ingress;
  private final ReceiveTimeBound receiveTime;
  private final ReceiveBudget.Reservation reservation;
  private final ReadThrottle throttle;
  private final RequestAssembler assembler = new RequestAssembler();
  private final ScheduledCheck scheduledCheck = new ScheduledCheck(this);
  private final RequestQueue queuedRequests = new RequestQueue();
  private ChannelHandlerContext context;
  private HibernatingPipeline pipeline;
  private LingeringClose close;

  /** The request that is being served; null while none is. */
  private QueuedRequest currentRequest;

  /** The submission of the current request; null if it submits nothing. */
  private SubmitReply currentSubmission;

  private ConnectionPhase phase = ConnectionPhase.OPEN;

  /** The status of the last response, while {@link ConnectionPhase#FINISHING}. */
  private HttpResponseStatus finalStatus;

  private SelectorWatch selectorWatch = SelectorWatch.UNVERIFIED;
  private boolean hasSentRequest;

  /** When the connection was accepted, or its last request answered. */
  private long idleSinceUs;

  private long requestStartedUs = NO_REQUEST;
  private long lastReceivedUs;

  /**
   * Creates the handler of an accepted channel.
   *
   * @param earliestAcceptUs the earliest time at which the client may have connected
   */
  ClientConnection(final IngressContext ingress, final long earliestAcceptUs) {
    this.ingress = ingress;
    this.receiveTime = new ReceiveTimeBound(earliestAcceptUs);
    this.reservation = ingress.receiveBudget().open(this);
    this.throttle = new ReadThrottle(ingress, this::updateReading);
    this.idleSinceUs = ingress.clock().nowUs();
  }

  // ---------------------------------------------------------------- state

  ScheduledCheck scheduledCheck() {
    return scheduledCheck;
  }

  /** When the connection was accepted, or its last request answered, us. */
  long idleSinceUs() {
    return idleSinceUs;
  }

  /** When the request that is being received began, us; {@link Long#MAX_VALUE} if none is. */
  long requestStartedUs() {
    return requestStartedUs;
  }

  /** True once a complete request has been received. */
  boolean hasSentRequest() {
    return hasSentRequest;
  }

  /** True if no request is being received, queued or served, and the connection is open. */
  boolean isIdle() {
    return !isReceivingRequest() && !isProcessingRequest() && !isClosing();
  }

  /** True if no further request is read. */
  boolean isClosing() {
    return phase != ConnectionPhase.OPEN;
  }

  private boolean isReceivingRequest() {
    return requestStartedUs != NO_REQUEST;
  }

  private boolean isProcessingRequest() {
    return currentRequest != null || !queuedRequests.isEmpty();
  }

  /** True if the next response to be sent answers this request. */
  boolean isServing(final QueuedRequest request) {
    return currentRequest == request;
  }

  /** The order in which connections are evicted; the lowest rank first. */
  int evictionRank(final ConnectionEvictionRanking ranking, final long nowUs) {
    return ranking.rank(evictionState(), idleSinceUs, lastReceivedUs, nowUs);
  }

  private ConnectionEvictionRanking.ConnectionState evictionState() {
    if (phase == ConnectionPhase.CLOSING) {
      return ConnectionEvictionRanking.ConnectionState.REJECTED;
    }
    if (isProcessingRequest()) {
      return ConnectionEvictionRanking.ConnectionState.PROCESSING_REQUEST;
    }
    if (!isIdle()) {
      return ConnectionEvictionRanking.ConnectionState.RECEIVING_REQUEST;
    }
    return hasSentRequest
        ? ConnectionEvictionRanking.ConnectionState.IDLE_AFTER_RESPONSE
        : ConnectionEvictionRanking.ConnectionState.NO_REQUEST_YET;
  }

  // ---------------------------------------------------------------- hibernation

  /** True while the pipeline holds neither codecs nor buffers. */
  boolean isHibernating() {
    return pipeline.isHibernating();
  }

  /** Removes the codecs from the pipeline until bytes are received. */
  void hibernate() {
    if (!pipeline.isHibernating() && phase != ConnectionPhase.CLOSING) {
      pipeline.hibernate();
    }
  }

  /** True while received bytes wait for the queued wake-up. */
  boolean isAwaitingWakeUp() {
    return pipeline.isAwaitingWakeUp();
  }

  /** Reads the bytes that were kept until the queued wake-up. */
  void wakeUp() {
    pipeline.wakeUp();
  }

  private void onBytesWhileHibernating(final ByteBuf bytes) {
    final boolean queued = pipeline.isAwaitingWakeUp();
    if (!queued && (bytes.readableBytes() > MAX_DEFERRED_BYTES || ingress.wakeUps().tryAcquire())) {
      pipeline.wakeUpWith(bytes);
      return;
    }
    onBytesReceived(bytes);
    pipeline.defer(bytes);
    if (!queued) {
      ingress.wakeUps().add(this);
    }
  }

  // ---------------------------------------------------------------- reading

  /** True if the selector may not report this connection, so that it has to be read directly. */
  boolean mayBeUnwatched() {
    return selectorWatch == SelectorWatch.UNWATCHED
        || (selectorWatch == SelectorWatch.UNVERIFIED
            && !hasSentRequest
            && !isReceivingRequest()
            && !isClosing());
  }

  /** Reads without a readiness report; bytes found show that the selector does not watch. */
  void readDirectly() {
    selectorWatch = selectorWatch.beginDirectRead();
    DirectRead.readOnce(context.channel());
    selectorWatch = selectorWatch.endDirectRead();
  }

  @Override
  public void channelActive(final ChannelHandlerContext ctx) {
    context = ctx;
    pipeline = new HibernatingPipeline(ctx, this::onBytesReceived);
    close = new LingeringClose(ctx);
    ingress.connections().onOpened(this);
  }

  /** Records that bytes were received, possibly too few for the head of a request. */
  private void onBytesReceived(final ByteBuf bytes) {
    lastReceivedUs = ingress.clock().nowUs();
    if (selectorWatch == SelectorWatch.READING_DIRECTLY) {
      selectorWatch = SelectorWatch.UNWATCHED;
      ClientConnectionLog.unwatched(remoteAddress(), lastReceivedUs - idleSinceUs);
    }
    receiveTime.onRead(lastReceivedUs, ingress.polls().previousPollUs(), bytes.isWritable());
    if (hasSentRequest && isIdle()) {
      ingress.connections().recordKeepAliveOutcome(true);
    }
    markRequestStarted();
  }

  private void markRequestStarted() {
    if (!isReceivingRequest()) {
      requestStartedUs = ingress.clock().nowUs();
    }
  }

  @Override
  public void channelRead(final ChannelHandlerContext ctx, final Object part) {
    if (pipeline.isHibernating()
        && part instanceof ByteBuf bytes
        && phase != ConnectionPhase.CLOSING) {
      onBytesWhileHibernating(bytes);
      return;
    }
    try {
      if (part instanceof HttpObject object && !isClosing()) {
        onHttpObject(object);
      } else if (part instanceof ByteBuf bytes && phase == ConnectionPhase.CLOSING) {
        close.discard(bytes);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  @Override
  public void channelReadComplete(final ChannelHandlerContext ctx) {
    updateReservation();
    throttle.onReadComplete(ctx);
    ctx.fireChannelReadComplete();
  }

  private void updateReservation() {
    if (phase != ConnectionPhase.CLOSING) {
      reservation.update(
          pipeline.heldBytes() + assembler.heldHeadBytes() + queuedRequests.heldBytes(),
          assembler.heldBodyBytes());
    }
  }

  /** Answers the request that is being served, if any, and rejects the rest of the input. */
  @Override
  public void onBudgetExceeded() {
    context.channel().config().setAutoRead(false);
    dropInput();
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private void onHttpObject(final HttpObject part) {
    if (part instanceof HttpRequest && !part.decoderResult().isFailure()) {
      markRequestStarted();
    }
    throttle.onPart(part);
    final Optional<HttpResponseStatus> rejection = assembler.add(part);
    if (rejection.isPresent()) {
      reject(rejection.get());
    } else if (assembler.isComplete()) {
      onRequestComplete();
    }
  }

  private void onRequestComplete() {
    hasSentRequest = true;
    final long nowUs = ingress.clock().nowUs();
    final long receivedUs =
        Math.max(receiveTime.earliestUs(), nowUs - SubmitRequest.CLIENT_TIMEOUT_US);
    final QueuedRequest request = assembler.take(receivedUs, requestStartedUs, nowUs);
    queuedRequests.add(request);
    requestStartedUs = NO_REQUEST;
    if (queuedRequests.size() > MAX_QUEUED_REQUESTS) {
      reject(HttpResponseStatus.TOO_MANY_REQUESTS);
    }
    serveNext();
  }

  // ---------------------------------------------------------------- serving

  /** Serves one request after another, so that the responses keep the order of the requests. */
  private void serveNext() {
    while (currentRequest == null
        && !queuedRequests.isEmpty()
        && phase != ConnectionPhase.CLOSING) {
      currentRequest = queuedRequests.next();
      ingress.router().route(this, currentRequest);
    }
    if (phase == ConnectionPhase.FINISHING && !isProcessingRequest()) {
      sendFinalResponse();
    }
    updateReading();
    updateReservation();
  }

  private void updateReading() {
    if (phase == ConnectionPhase.CLOSING) {
      return;
    }
    final boolean reading = queuedRequests.isEmpty() && !throttle.isPaused();
    if (!reading) {
      receiveTime.onReadPaused(ingress.clock().nowUs());
    }
    context.channel().config().setAutoRead(reading);
  }

  /** Records the reply that will answer the current request. */
  void awaitReply(final SubmitReply reply) {
    currentSubmission = reply;
  }

  /** Withdraws what a client submitted that does not know whether it was accepted. */
  void withdraw(final SubmitReply reply) {
    ingress.handler().withdraw(reply.submission());
  }

  // ---------------------------------------------------------------- responding

  /** Sends the response to the current request; {@code retryAfterUs} is 0 for no such header. */
  ChannelFuture respond(final HttpResponseStatus status, final long retryAfterUs) {
    final boolean reusable = ClientResponses.allowsReuse(status);
    final boolean keepAlive =
        reusable
            && currentRequest.isKeepAlive()
            && !ingress.draining().getAsBoolean()
            && phase == ConnectionPhase.OPEN
            && selectorWatch != SelectorWatch.UNWATCHED;
    currentRequest = null;
    currentSubmission = null;
    idleSinceUs = ingress.clock().nowUs();
    if (keepAlive && status == HttpResponseStatus.ACCEPTED) {
      return continueAfter(pipeline.writeEncoded(ClientResponses.accepted()));
    }
    final DefaultFullHttpResponse response = ClientResponses.empty(status, retryAfterUs);
    if (!reusable || (!keepAlive && queuedRequests.isEmpty())) {
      return respondAndClose(response);
    }
    return continueAfter(context.writeAndFlush(response));
  }

  /** Serves the next request, unless the client does not read its responses. */
  private ChannelFuture continueAfter(final ChannelFuture written) {
    if (written.cause() != null) {
      exceptionCaught(context, written.cause());
    } else if (!context.channel().isWritable()) {
      logClosed("does_not_read");
      context.close();
    } else if (!queuedRequests.isEmpty() || phase == ConnectionPhase.FINISHING) {
      context.executor().execute(this::serveNext);
    }
    return written;
  }

  /** Stops reading requests, and sends this status once all earlier requests are answered. */
  void reject(final HttpResponseStatus status) {
    ClientConnectionLog.rejected(
        remoteAddress(), status.code(), currentMessageId(), queuedRequests.size());
    finishWith(status);
    assembler.discard();
    if (!isProcessingRequest()) {
      sendFinalResponse();
    }
  }

  private void finishWith(final HttpResponseStatus status) {
    finalStatus = status;
    phase = ConnectionPhase.FINISHING;
  }

  private void sendFinalResponse() {
    respondAndClose(ClientResponses.empty(finalStatus));
  }

  private ChannelFuture respondAndClose(final DefaultFullHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    phase = ConnectionPhase.CLOSING;
    final ChannelFuture written = context.writeAndFlush(response);
    closeOutputAfter(written);
    return written;
  }

  private void dropInput() {
    assembler.discard();
    queuedRequests.clear();
    pipeline.removeDecoder();
    reservation.release();
  }

  private void closeOutputAfter(final ChannelFuture written) {
    phase = ConnectionPhase.CLOSING;
    dropInput();
    close.beginAfter(written);
  }

  // ---------------------------------------------------------------- closing

  /** Closes the connection gracefully if it is idle. */
  void closeIfIdle() {
    if (isIdle() && ingress.connections().moveToClosing(this)) {
      closeOutputAfter(context.newSucceededFuture());
    }
  }

  /** Closes an idle connection, and rejects a request that has not been received completely. */
  void rejectIncomplete() {
    closeIfIdle();
    if (!isClosing() && isReceivingRequest()) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  /** Closes the connection, and stops counting it before its channel reports the close. */
  void closeNow() {
    logClosed("makes_room");
    ingress.connections().onClosed(this);
    context.close();
  }

  /** Logs that the courier closes the connection, unless it is between two requests. */
  private void logClosed(final String reason) {
    if (isProcessingRequest() || isReceivingRequest()) {
      ClientConnectionLog.closed(
          remoteAddress(), reason, currentMessageId(), queuedRequests.size(), isReceivingRequest());
    }
  }

  @Override
  public SocketAddress remoteAddress() {
    return context.channel().remoteAddress();
  }

  private String currentMessageId() {
    return currentSubmission == null ? null : currentSubmission.messageId();
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    if (hasSentRequest && isIdle()) {
      ingress.connections().recordKeepAliveOutcome(false);
    }
    ingress.connections().onClosed(this);
    dropInput();
    if (currentSubmission != null) {
      ClientConnectionLog.unanswered(
          remoteAddress(),
          currentSubmission.messageId(),
          ingress.clock().nowUs() - currentRequest.completedUs());
      withdraw(currentSubmission);
      currentRequest = null;
      currentSubmission = null;
    }
  }

  /**
   * Handles a client that has closed its sending side. An unanswered client has most likely given
   * up, so its message is withdrawn; it may still be reading, so it gets a response.
   */
  @Override
  public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
    if (event != ChannelInputShutdownEvent.INSTANCE) {
      return;
    }
    if (currentSubmission != null) {
      finishWith(HttpResponseStatus.SERVICE_UNAVAILABLE);
      // On another loop the first attempt may have begun: that loop's reply is awaited instead.
      if (ingress.handler().isAnsweredOnThisLoop(currentSubmission.submission().destination())) {
        withdraw(currentSubmission);
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, HALF_CLOSED_RETRY_AFTER_US);
      }
    } else if (isClosing() || !isProcessingRequest()) {
      closeNow();
    } else {
      finishWith(HttpResponseStatus.BAD_REQUEST);
    }
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    ConnectionFailures.report("client connection", cause);
    logClosed(String.valueOf(cause));
    ctx.close();
  }
}

package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher.Attempt;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.transport.ConnectionFailures;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.pools.AnswerTreatment;

/**
 * One connection to an endpoint, which carries one call at a time. It writes the call, reads its
 * response and reports the outcome to the dispatcher.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ResponseDecoder.Listener, ReceiveBudget.Holder {
  /** How long the rest of a response may take: its sender has all of it when it begins. */
  private static final long RESPONSE_COMPLETION_TIMEOUT_MS = 500;

  /** How long a response has to be the only one if what it leads to cannot be taken back. */
  private static final long CONFIRMATION_MS = 200;

  /** How long the response to an abandoned call is still read, for its Retry-After. */
  private static final long LINGER_MS = 500;

  private final HttpDispatcher dispatcher;
  private final Clock clock;
  private final EndpointResponse response = new EndpointResponse();
  private final IncompleteAnswer incompleteAnswer;
  private final ResponseDecoder decoder = new ResponseDecoder(this);
  private final ReceiveBudget.Reservation reservation;
  private final EndpointConnectionLog log;
  private ChannelHandlerContext context;

  /** The current call; null while the connection is idle. */
  private HttpCall call;

  private final ResponseStarts starts = new ResponseStarts();
  private final ConnectionAnswers answers;
  private final SurplusResponses surplus;
  private final StatedEnds statedEnds;
  private final RetryAfters retryAfters;

  /** The pool in which the connection was last idle; null during its first call. */
  private EndpointConnectionPool pool;

  private long idleSinceUs;

  /** True once this side has closed the connection, or has noticed its end. */
  private boolean closed;

  /** True while a response has begun and is not complete. */
  private boolean receivingResponse;

  /** Limits the wait for the rest of a response. */
  private final RestartableTimer completionTimer;

  /** Pending while a complete response waits for another one that would contradict it. */
  private final RestartableTimer confirmationTimer;

  EndpointConnection(
      final HttpDispatcher dispatcher,
      final ReceiveBudget receiveBudget,
      final long number,
      final EventLoop loop,
      final Clock clock) {
    this.dispatcher = dispatcher;
    this.incompleteAnswer = new IncompleteAnswer(response, starts, dispatcher.unconfirmedCalls());
    this.statedEnds = new StatedEnds(dispatcher, response, incompleteAnswer);
    this.retryAfters = new RetryAfters(dispatcher);
    this.answers = new ConnectionAnswers(dispatcher.unconfirmedCalls(), clock);
    this.surplus =
        new SurplusResponses(
            answers.history(),
            loop,
            clock,
            CONFIRMATION_MS,
            silent -> endSurplus(silent && answers.isResponseDueWithin(CONFIRMATION_MS)));
    this.reservation = receiveBudget.open(this);
    this.clock = clock;
    this.log = new EndpointConnectionLog(number);
    this.completionTimer =
        new RestartableTimer(
            loop,
            "completion of a response",
            RESPONSE_COMPLETION_TIMEOUT_MS,
            () -> onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.INCOMPLETE_RESPONSE));
    this.confirmationTimer =
        new RestartableTimer(
            loop, "confirmation of a response", CONFIRMATION_MS, this::acceptConfirmedResponse);
  }

  /** Decodes the responses; the first handler of the channel. */
  ResponseDecoder decoder() {
    return decoder;
  }

  /** The number of this connection, unique within its dispatcher. */
  long number() {
    return log.connection();
  }

  boolean isActive() {
    return context.channel().isActive();
  }

  /** When the last call of this connection was completed, us. */
  long idleSinceUs() {
    return idleSinceUs;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext added) {
    context = added;
  }

  /** What was read on this connection so far. */
  ConnectionAnswers answers() {
    return answers;
  }

  // ---------------------------------------------------------------- sending

  /** Sends a call over this connection, which is idle. */
  void send(final HttpCall next) {
    answers.onCallSent(next);
    call = next;
    log.onCallSent(call);
    call.setConnection(this, log.calls(), context.channel());
    statedEnds.reset();
    starts.reset();
    response.reset();
    context
        .writeAndFlush(CallRequestEncoder.encode(call, clock.nowUs()))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                dispatcher.onCallWritten(next);
              } else if (ConnectionFailures.isBufferShortage(written.cause())) {
                exceptionCaught(context, written.cause());
              }
            });
  }

  /** Closes the connection if it is idle. */
  void close(final EndpointCloseReason reason) {
    if (surplus.isObserving()) {
      endSurplus(false);
    } else if (call == null) {
      answers.settleIfSilent();
      removeFromPool();
      closeChannel(reason);
    }
  }

  /** Closes the connection if it is idle; returns false if it carries a call. */
  boolean endIfIdle() {
    close(EndpointCloseReason.REUSE_SUSPENDED);
    return call == null;
  }

  private void closeChannel(final EndpointCloseReason reason) {
    markClosed(reason);
    context.close();
  }

  /** Only the first reason counts. */
  private void markClosed(final EndpointCloseReason reason) {
    if (!closed) {
      closed = true;
      reservation.release();
      log.closed(reason, clock.nowUs());
    }
  }

  /**
   * Abandons the call by shutting down the output. Its response may be unread or still on its way:
   * input is read for a while, for its Retry-After and for what it states of the messages.
   */
  void abandonCall() {
    statedEnds.onAbandoned(call);
    log.onInterrupted(call, response, EndpointCloseReason.CALL_ABANDONED, clock.nowUs());
    endReceiving();
    confirmationTimer.cancel();
    retryAfters.report(call.pool(), response.head());
    call = null;
    if (context.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    markClosed(EndpointCloseReason.CALL_ABANDONED);
    context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void removeFromPool() {
    if (pool != null) {
      dispatcher.removeIdle(this, pool);
    }
  }

  // ---------------------------------------------------------------- reading

  @Override
  public void onRead(final ByteBuf bytes) {
    if (call != null) {
      starts.read(bytes);
    }
  }

  @Override
  public void onBytesReceived(final ByteBuf bytes) {
    if (statedEnds.isAbandoned() || closed || surplus.isObserving()) {
      return;
    }
    if (call != null && call.isWritten() && !confirmationTimer.isPending()) {
      if (!receivingResponse) {
        receivingResponse = true;
        log.onResponseBegan(clock.nowUs());
      }
      return;
    }
    log.unexpectedBytes(call, bytes, clock.nowUs());
    onUnexpectedBytes(
        EndpointResponseParser.beginsLikeResponse(bytes), answers.continuesAsResponse(bytes));
  }

  /** No call awaits a response, or it is not fully written: one belongs to another call. */
  private void onUnexpectedBytes(final boolean isResponse, final boolean continuesAsResponse) {
    if (isResponse && call == null) {
      removeFromPool();
      surplus.begin();
    } else if (isResponse || continuesAsResponse) {
      if (confirmationTimer.isPending()) {
        answers.add(call, response.head());
      }
      answers.addSurplus(starts.latest());
      onConnectionBroken(AttemptResult.RESET, EndpointCloseReason.UNEXPECTED_RESPONSE);
    } else {
      onConnectionBroken(AttemptResult.RESET, EndpointCloseReason.UNEXPECTED_BYTES);
    }
  }

  private void endSurplus(final boolean complete) {
    surplus.end();
    closeChannel(EndpointCloseReason.UNEXPECTED_RESPONSE);
    dispatcher.unconfirmedCalls().onOutOfStep(this, pool, complete);
  }

  @Override
  public void onStatusLine(final HttpResponse statusLine) {
    response.onStatusLine(statusLine);
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
    if (statedEnds.isAbandoned()) {
      statedEnds.readLate(part, retryAfters);
      return;
    }
    if (surplus.isObserving()) {
      surplus.read(part);
      return;
    }
    if (part.decoderResult().cause() instanceof PrematureChannelClosureException) {
      // The decoder reports the end of the connection within a head before the channel does.
      onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.ENDED_BY_ENDPOINT);
      return;
    }
    if (call == null || part.decoderResult().isFailure() || !response.add(part)) {
      // The response belongs to no call or is invalid: the connection cannot be reused.
      onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.INVALID_RESPONSE);
      return;
    }
    if (part instanceof LastHttpContent) {
      endReceiving();
    }
    if (response.isComplete()) {
      onResponseComplete();
    }
  }

  /** Starts the timer for the rest of a response; most responses arrive in a single read. */
  @Override
  public void channelReadComplete(final ChannelHandlerContext ctx) {
    if (receivingResponse && call != null) {
      completionTimer.start();
    }
    statedEnds.report(call);
    if (!closed) {
      reservation.update(decoder.heldBytes() + response.heldHeadBytes(), response.heldBodyBytes());
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public SocketAddress remoteAddress() {
    return context.channel().remoteAddress();
  }

  /** Gives the response up as one that cannot be used: it may have run. */
  @Override
  public void onBudgetExceeded() {
    onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.INVALID_RESPONSE);
  }

  private void endReceiving() {
    receivingResponse = false;
    completionTimer.cancel();
  }

  // ---------------------------------------------------------------- outcomes

  /** The outcomes of a call that this side ends, by what was received of its response. */
  IncompleteAnswer.Outcomes outcomesOfEnded(
      final HttpCall candidate, final DispatchOutcome failure) {
    return candidate == call
        ? incompleteAnswer.outcomes(candidate, this, Optional.empty(), failure)
        : attempt -> failure;
  }

  private void onResponseComplete() {
    answers.onResponseComplete(response);
    final AnswerTreatment treatment = answers.treatmentOf(response);
    if (answers.countsAfterSilence(treatment, CONFIRMATION_MS)) {
      confirmationTimer.start();
      retryAfters.report(call.pool(), response.head());
    } else {
      acceptResponse(treatment);
    }
  }

  private void acceptConfirmedResponse() {
    acceptResponse(AnswerTreatment.CERTAIN);
    answers.settleIfSilent();
  }

  private void acceptResponse(final AnswerTreatment treatment) {
    final HttpCall completed = call;
    call = null;
    log.onResponse(completed, response.head(), clock.nowUs());
    if (!dispatcher.removeCall(completed)) {
      closeChannel(EndpointCloseReason.LATE_RESPONSE);
      return;
    }
    final HttpResponse head = response.head();
    final long retryAfterUs = retryAfters.apply(completed.pool(), head);
    final DispatchOutcome outcome = EndpointResponseParser.parse(head, retryAfterUs);
    if (completed.isBulk() && head.status().code() == EndpointResponseParser.OK) {
      onBulkResponse(completed, new BulkResponseParser(response.body(), outcome));
    } else {
      onSingleOutcome(completed, outcome, treatment);
    }
  }

  /** The response says the same of all messages of its call. */
  private void onSingleOutcome(
      final HttpCall completed, final DispatchOutcome outcome, final AnswerTreatment treatment) {
    final int place = answers.add(completed, response.head());
    switch (treatment) {
      case CERTAIN, COUNTS_AFTER_SILENCE -> {
        keepOrClose(completed);
        dispatcher.report(completed, outcome);
      }
      case COUNTS_UNTIL_IN_DOUBT -> {
        dispatcher.unconfirmedCalls().addEnd(completed, this, place);
        keepOrClose(completed);
        dispatcher.report(completed, outcome.unconfirmed());
      }
      case COUNTS_AFTER_CLOSE -> {
        if (starts.statesEndOfAttempts()) {
          onResponseInDoubt(completed);
          return;
        }
        closeChannel(EndpointCloseReason.UNCONFIRMED_REJECTION);
        dispatcher.report(
            completed, dispatcher.unconfirmedCalls().addOpen(completed, this, place, outcome));
      }
      case ENDS_ATTEMPTS, MAY_HAVE_RUN, FOREIGN -> onResponseInDoubt(completed);
    }
  }

  /** Another response came with the one that was read for a call. */
  private void onResponseInDoubt(final HttpCall completed) {
    answers.addSurplus(starts.latest());
    pool = completed.pool();
    onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.UNEXPECTED_RESPONSE);
    dispatcher.report(completed, incompleteAnswer.outcomesOutOfStep(completed));
  }

  /** The ids in a response to several messages show whether it belongs to the call. */
  private void onBulkResponse(final HttpCall completed, final BulkResponseParser bulk) {
    dispatcher.onBulkResponse(completed);
    if (answers.isReused() && !bulk.identifies(completed)) {
      answers.add(completed, response.head());
      onConnectionBroken(AttemptResult.ERROR, EndpointCloseReason.UNEXPECTED_RESPONSE);
      dispatcher.report(
          completed,
          attempt -> bulk.statedEndOf(attempt.message().id()).orElse(IncompleteAnswer.IN_DOUBT));
      return;
    }
    answers.history().addNamed(EndpointResponseParser.kindOf(response.head()));
    keepOrClose(completed);
    for (final Attempt attempt : completed.attempts()) {
      dispatcher.report(attempt, completed, bulk.outcomeOf(attempt.message().id()));
    }
  }

  /** Keeps the connection for further calls if they can use it, and closes it otherwise. */
  private void keepOrClose(final HttpCall completed) {
    pool = completed.pool();
    final EndpointCloseReason obstacle = answers.obstacleToReuse(completed, response, this);
    if (obstacle == null) {
      idleSinceUs = clock.nowUs();
      response.reset();
      dispatcher.addIdle(this, pool);
    } else {
      closeChannel(obstacle);
    }
  }

  // ---------------------------------------------------------------- the end of the connection

  /**
   * Closes a connection that is broken or cannot be used any more. An invalid response shows that
   * the endpoint exists and has handled the call: that is an error, not a reset.
   *
   * @param cause {@link AttemptResult#RESET} if the connection was lost
   */
  private void onConnectionBroken(final AttemptResult cause, final EndpointCloseReason reason) {
    final boolean answered = receivingResponse || response.hasStatusLine();
    endReceiving();
    confirmationTimer.cancel();
    removeFromPool();
    closeChannel(reason);
    final HttpCall interrupted = call;
    if (interrupted != null) {
      log.onInterrupted(interrupted, response, reason, clock.nowUs());
    }
    // A response came again that the connection had carried before.
    final boolean outOfStep = reason == EndpointCloseReason.UNEXPECTED_RESPONSE && pool != null;
    call = null;
    if (outOfStep) {
      dispatcher
          .unconfirmedCalls()
          .onOutOfStep(this, interrupted == null ? pool : interrupted.pool(), false);
    }
    if (interrupted == null || !dispatcher.removeCall(interrupted)) {
      return;
    }
    // The head of an incomplete response may have a Retry-After.
    final long retryAfterUs = retryAfters.apply(interrupted.pool(), response.head());
    if (outOfStep) {
      dispatcher.report(interrupted, incompleteAnswer.outcomesOutOfStep(interrupted));
      return;
    }
    final DispatchOutcome failure =
        answers.outcomeOfLoss(interrupted, cause, answered, retryAfterUs);
    dispatcher.report(
        interrupted, incompleteAnswer.outcomes(interrupted, this, Optional.of(reason), failure));
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    final boolean closedWhileIdle = !closed && call == null;
    if (surplus.isObserving()) {
      endSurplus(closedWhileIdle);
    } else {
      if (!closed) {
        answers.onClosedByEndpoint(call == null);
      }
      onConnectionBroken(AttemptResult.RESET, EndpointCloseReason.ENDED_BY_ENDPOINT);
    }
    dispatcher.unconfirmedCalls().onConnectionEnded(this);
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    ConnectionFailures.report("endpoint connection", cause);
    if (surplus.isObserving()) {
      endSurplus(false);
      return;
    }
    final EndpointCloseReason reason = EndpointCloseReason.ofFailure(cause);
    if (reason == EndpointCloseReason.ENDED_BY_ENDPOINT && !closed) {
      answers.onEndedByEndpoint(call == null);
    }
    onConnectionBroken(AttemptResult.RESET, reason);
  }
}

package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.pools.AnswerHistory;
import thistleturn.decisions.pools.AnswerTreatment;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;
import thistleturn.decisions.pools.ConnectionLoss;
import thistleturn.decisions.pools.ResponseTimes;

/**
 * The responses that a connection has carried, and what follows from them for the next one: whether
 * it is certainly that of its call. Used on the event loop of the connection.
 */
final class ConnectionAnswers {
  private static final long US_PER_MS = 1000;

  private final UnconfirmedCalls unconfirmedCalls;
  private final Clock clock;
  private final AnswerHistory history = new AnswerHistory();
  private int calls;

  /** The connections to the endpoint; null before the first call. */
  private EndpointConnectionPool pool;

  private long sentUs;

  /** When the response to the current call was complete; 0 before that. */
  private long answeredUs;

  /** What the latest response stated. */
  private AnswerHistory.Kind latestKind = AnswerHistory.Kind.UNKNOWN;

  /** The shortest response times since the history was last settled. */
  private final Map<AnswerHistory.Kind, Long> earliestUnsettledUs = new HashMap<>();

  /** The last bytes of the latest body. */
  private String endOfBody = "";

  ConnectionAnswers(final UnconfirmedCalls unconfirmedCalls, final Clock clock) {
    this.unconfirmedCalls = unconfirmedCalls;
    this.clock = clock;
  }

  AnswerHistory history() {
    return history;
  }

  /** A call is sent on the connection, which is idle. */
  void onCallSent(final HttpCall call) {
    settleIfSilent();
    calls++;
    pool = call.pool();
    sentUs = clock.nowUs();
    answeredUs = 0;
    history.onCallSent(sentUs);
  }

  /** The response to the current call is complete. */
  void onResponseComplete(final EndpointResponse response) {
    answeredUs = clock.nowUs();
    history.onAnswerComplete(answeredUs);
    final ResponseTimes times = pool.responseTimes();
    times.add(responseTimeUs());
    if (isOwn(response.head())) {
      times.addOwn(EndpointResponseParser.kindOf(response.head()), responseTimeUs());
    }
    endOfBody = response.endOfBody();
  }

  /** How long after the current call its response was read. */
  private long responseTimeUs() {
    return (answeredUs == 0 ? clock.nowUs() : answeredUs) - sentUs;
  }

  /**
   * The outcome of a call whose connection is broken.
   *
   * @param cause {@link AttemptResult#RESET} if the connection was lost
   * @param answered whether a byte of its response had come
   */
  DispatchOutcome outcomeOfLoss(
      final HttpCall interrupted,
      final AttemptResult cause,
      final boolean answered,
      final long retryAfterUs) {
    return new DispatchOutcome(
        resultOfLoss(interrupted, cause, answered), false, retryAfterUs, null);
  }

  private AttemptResult resultOfLoss(
      final HttpCall interrupted, final AttemptResult cause, final boolean answered) {
    if (interrupted.isWritten() && cause != AttemptResult.RESET) {
      return cause;
    }
    return new ConnectionLoss(
            interrupted.isWritten(),
            isReused(),
            answered,
            clock.nowUs() - sentUs,
            pool.handshakeUs())
        .result();
  }

  /** Whether the connection has carried an earlier call than the current or latest one. */
  boolean isReused() {
    return calls > 1;
  }

  /** Adds the response that was read for the current call; returns its place. */
  int add(final HttpCall call, final HttpResponse head) {
    final AnswerHistory.Kind kind = EndpointResponseParser.kindOf(head);
    final boolean own = isOwn(head);
    final int place = history.add(kind, pool.responseTimes().dueUs());
    if (!own && pool.responseTimes().isTooSoon(kind, responseTimeUs())) {
      history.noteTooSoon();
      logTooSoon(call, kind);
    }
    latestKind = kind;
    earliestUnsettledUs.merge(kind, responseTimeUs(), Math::min);
    return place;
  }

  private void logTooSoon(final HttpCall call, final AnswerHistory.Kind kind) {
    Log.event(
        Event.ANSWER_TOO_SOON,
        "id",
        call.attempts().get(0).message().id(),
        "endpoint",
        call.endpoint(),
        "status",
        kind.status(),
        "took_us",
        responseTimeUs(),
        "connection",
        call.connection(),
        "call",
        call.numberOnConnection());
  }

  /** Adds a response that came without a call, of which only the beginning was received. */
  void addSurplus(final AnswerHistory.Kind kind) {
    history.addSurplus(kind, clock.nowUs());
  }

  /** Whether the response to the current call is certainly its own. */
  boolean isOwn(final HttpResponse head) {
    return !isReused() || history.isOwn(EndpointResponseParser.kindOf(head));
  }

  /** Whether bytes that follow the latest response hold another one together with its body. */
  boolean continuesAsResponse(final ByteBuf bytes) {
    return EndpointResponseParser.continuesAsResponse(endOfBody, bytes);
  }

  /**
   * Notes whether the connection has been silent long enough; called while no response is awaited.
   */
  void settleIfSilent() {
    if (pool != null && history.settleIfSilent(clock.nowUs(), pool.responseTimes().dueUs())) {
      recordSettled();
    }
  }

  /**
   * Notes that the endpoint has closed the connection. It closes one that is idle for it, or breaks
   * off a call: an answer that came too soon for a call whose own is not due may be that of an
   * earlier one.
   *
   * @param idle whether no call is in flight
   */
  void onClosedByEndpoint(final boolean idle) {
    onEndedByEndpoint(idle);
    if (idle && pool != null && history.settleIfUnsuspected()) {
      recordSettled();
    }
  }

  /** Notes that the endpoint has closed or reset the connection. */
  void onEndedByEndpoint(final boolean idle) {
    // Behind a further call, few response times do not suffice to tell one from the other.
    if (pool != null && (idle || pool.responseTimes().isDueKnown())) {
      history.suspectTooSoon(clock.nowUs() - pool.responseTimes().unansweredWithinUs(latestKind));
    }
  }

  private void recordSettled() {
    earliestUnsettledUs.forEach(pool.responseTimes()::addOwn);
    earliestUnsettledUs.clear();
  }

  /** Whether an own response would come in this time, by the latest responses of the endpoint. */
  boolean isResponseDueWithin(final long ms) {
    return pool != null && pool.responseTimes().dueUs() <= ms * US_PER_MS;
  }

  /** The treatment of a complete response to a call with the same outcome for all messages. */
  AnswerTreatment treatmentOf(final EndpointResponse response) {
    final DispatchOutcome outcome = EndpointResponseParser.parse(response.head(), 0);
    final boolean own = isOwn(response.head());
    return AnswerTreatment.of(
        !own && response.containsAnotherResponse() ? Completeness.SPOILT : Completeness.COMPLETE,
        outcome.result(),
        outcome.disposition(),
        own);
  }

  /**
   * Whether a response counts only once nothing else has come for this time: what it leads to
   * cannot be taken back, or it is a rejection while copies come.
   */
  boolean countsAfterSilence(final AnswerTreatment treatment, final long silenceMs) {
    return treatment == AnswerTreatment.COUNTS_AFTER_SILENCE
        || (treatment == AnswerTreatment.COUNTS_AFTER_CLOSE
            && unconfirmedCalls.wasAnyOutOfStep()
            && isResponseDueWithin(silenceMs));
  }

  /** Returns why no call can follow; null if one can, or if answers are still unconfirmed. */
  EndpointCloseReason obstacleToReuse(
      final HttpCall completed,
      final EndpointResponse response,
      final EndpointConnection connection) {
    if (!response.isKeepAlive() || !completed.isWritten()) {
      return EndpointCloseReason.CLOSE_REQUESTED;
    }
    if (pool.isRemoved() || !pool.address().equals(connection.remoteAddress())) {
      return EndpointCloseReason.ENDPOINT_CHANGED;
    }
    if (unconfirmedCalls.isUnconfirmed(connection)) {
      return null;
    }
    if (unconfirmedCalls.isReuseSuspended(completed.endpoint())) {
      return EndpointCloseReason.REUSE_SUSPENDED;
    }
    // A class whose calls need connections of their own would leave one behind with each call.
    return completed.needsOwnConnection() && pool.hasIdle() ? EndpointCloseReason.SURPLUS : null;
  }
}

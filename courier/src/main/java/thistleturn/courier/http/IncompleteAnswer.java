package thistleturn.courier.http;

import java.util.List;
import java.util.Optional;
import thistleturn.courier.port.Dispatcher.Attempt;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.pools.AnswerTreatment;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;

/**
 * What a response says of its call, by what was received of it, when the call ends before it counts
 * as complete. Used on the event loop of its connection.
 */
final class IncompleteAnswer {
  /** The outcome of a call whose response is not known. It says nothing about the endpoint. */
  static final DispatchOutcome IN_DOUBT = new DispatchOutcome(AttemptResult.STALE, false, 0, null);

  /** The outcome of a call that was not written completely. */
  private static final DispatchOutcome NOT_SENT =
      new DispatchOutcome(AttemptResult.NOT_SENT, false, 0, null);

  private final EndpointResponse response;

  /**
   * The outcome of a call behind whose response another one states an end: one of both is its own.
   */
  private static final DispatchOutcome MAY_BE_OVER =
      new DispatchOutcome(AttemptResult.ERROR, MessageDisposition.NO_FURTHER_ATTEMPT, 0, null);

  private final ResponseStarts starts;
  private final UnconfirmedCalls unconfirmedCalls;

  /** The outcome of each message of a call. */
  @FunctionalInterface
  interface Outcomes {
    DispatchOutcome of(Attempt attempt);
  }

  IncompleteAnswer(
      final EndpointResponse response,
      final ResponseStarts starts,
      final UnconfirmedCalls unconfirmedCalls) {
    this.response = response;
    this.starts = starts;
    this.unconfirmedCalls = unconfirmedCalls;
  }

  /**
   * The outcomes of a call, by what was received of its response.
   *
   * @param ended why the connection has ended; empty if it is this side that ends the call
   * @param failure the outcome of a message of which the response says nothing
   */
  Outcomes outcomes(
      final HttpCall call,
      final EndpointConnection connection,
      final Optional<EndpointCloseReason> ended,
      final DispatchOutcome failure) {
    if (call.isBulk() && isReadable(call) && isOk()) {
      return bulkOutcomes(failure);
    }
    final DispatchOutcome stated =
        statesOutcome(call) ? treat(call, connection, completeness(ended)) : null;
    final boolean isOpen = stated == null || stated == IN_DOUBT;
    if (isOpen && mayBeOver(call)) {
      return attempt -> MAY_BE_OVER;
    }
    return attempt -> stated == null ? failure : stated;
  }

  /** The outcomes of a call whose connection proves to be out of step. */
  Outcomes outcomesOutOfStep(final HttpCall call) {
    if (!call.isWritten()) {
      return attempt -> NOT_SENT;
    }
    if (call.isBulk() && isReadable(call) && isOk()) {
      return bulkOutcomes(IN_DOUBT);
    }
    final DispatchOutcome outcome =
        statesEndOfAttempts(call)
            ? endOfAttempts(Completeness.SPOILT)
            : mayBeOver(call) ? MAY_BE_OVER : IN_DOUBT;
    return attempt -> outcome;
  }

  private Outcomes bulkOutcomes(final DispatchOutcome otherwise) {
    final BulkResponseParser bulk =
        new BulkResponseParser(
            response.body(), EndpointResponseParser.parse(response.receivedHead()));
    return attempt -> bulk.statedEndOf(attempt.message().id()).orElse(otherwise);
  }

  /**
   * Whether the status states that no further attempt of the messages may follow, whatever comes of
   * the rest.
   */
  boolean statesEndOfAttempts(final HttpCall call) {
    return isReadable(call)
        && !isOk()
        && EndpointResponseParser.parse(response.receivedHead(), 0).endsAttempts();
  }

  /** The attempts of a call whose end the response states, as far as it was received. */
  List<Attempt> endedAttempts(final HttpCall call) {
    if (statesEndOfAttempts(call)) {
      return call.attempts();
    }
    if (!call.isBulk() || !isReadable(call) || !isOk()) {
      return List.of();
    }
    final Outcomes outcomes = bulkOutcomes(null);
    return call.attempts().stream().filter(attempt -> outcomes.of(attempt) != null).toList();
  }

  /** Whether any response that began since the call was sent states an end of its attempts. */
  private boolean mayBeOver(final HttpCall call) {
    return call.isWritten() && starts.statesEndOfAttempts();
  }

  private boolean isReadable(final HttpCall call) {
    return call.isWritten() && response.hasFinalStatus();
  }

  private boolean isOk() {
    return response.receivedHead().status().code() == EndpointResponseParser.OK;
  }

  /** A delivery of several messages needs the complete response. */
  private boolean statesOutcome(final HttpCall call) {
    return isReadable(call) && (isOk() ? !call.isBulk() : statesEndOfAttempts(call));
  }

  private Completeness completeness(final Optional<EndpointCloseReason> ended) {
    if (response.containsAnotherResponse()
        || ended.equals(Optional.of(EndpointCloseReason.INVALID_RESPONSE))) {
      // A response that ends in another one, or in what is none, may be parts of two.
      return Completeness.SPOILT;
    }
    if (response.isComplete()) {
      return Completeness.COMPLETE;
    }
    return ended.equals(Optional.of(EndpointCloseReason.ENDED_BY_ENDPOINT))
        ? Completeness.CUT_OFF
        : Completeness.SILENT;
  }

  /** Returns null if the status says nothing. The connection has ended, or ends now. */
  private DispatchOutcome treat(
      final HttpCall call, final EndpointConnection connection, final Completeness completeness) {
    final DispatchOutcome outcome = EndpointResponseParser.parse(response.receivedHead());
    final AnswerTreatment treatment =
        AnswerTreatment.of(
            completeness,
            outcome.result(),
            outcome.disposition(),
            connection.answers().isOwn(response.receivedHead()));
    return switch (treatment) {
      case CERTAIN -> outcome;
      case COUNTS_UNTIL_IN_DOUBT -> {
        unconfirmedCalls.addEnd(
            call, connection, connection.answers().add(call, response.receivedHead()));
        yield outcome.unconfirmed();
      }
      case COUNTS_AFTER_SILENCE, COUNTS_AFTER_CLOSE ->
          unconfirmedCalls.addOpen(
              call, connection, connection.answers().add(call, response.receivedHead()), outcome);
      case ENDS_ATTEMPTS -> endOfAttempts(completeness);
      case MAY_HAVE_RUN -> null;
      case FOREIGN -> IN_DOUBT;
    };
  }

  /** An endpoint that leaves a response unfinished has failed; a connection may be lost. */
  private DispatchOutcome endOfAttempts(final Completeness completeness) {
    final DispatchOutcome stated = EndpointResponseParser.parse(response.receivedHead());
    return new DispatchOutcome(
        completeness == Completeness.CUT_OFF ? AttemptResult.STALE : AttemptResult.ERROR,
        MessageDisposition.NO_FURTHER_ATTEMPT,
        stated.retryAfterUs(),
        stated.loadReport());
  }
}

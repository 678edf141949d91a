package thistleturn.courier.http;

import java.util.Optional;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.pools.AnswerTreatment;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;

/**
 * What a response says of its call, by its status line alone, when the call ends before it counts
 * as complete. Used on the event loop of its connection.
 */
final class IncompleteAnswer {
  /** The outcome of a call whose response is not known. It says nothing about the endpoint. */
  static final DispatchOutcome IN_DOUBT = new DispatchOutcome(AttemptResult.STALE, false, 0, null);

  private final EndpointResponse response;
  private final UnconfirmedCalls unconfirmedCalls;

  IncompleteAnswer(final EndpointResponse response, final UnconfirmedCalls unconfirmedCalls) {
    this.response = response;
    this.unconfirmedCalls = unconfirmedCalls;
  }

  /**
   * The outcome that the status line states for the call; empty if it ends no message, or if the
   * rest shows that it may be false. A delivery of several messages needs the complete response.
   *
   * @param ended why the connection has ended; empty if it is this side that ends the call
   */
  Optional<DispatchOutcome> statedOutcome(
      final HttpCall call,
      final EndpointConnection connection,
      final Optional<EndpointCloseReason> ended) {
    return statesEnd(call)
        ? Optional.ofNullable(treat(call, connection, completeness(ended)))
        : Optional.empty();
  }

  private boolean statesEnd(final HttpCall call) {
    return call.isWritten()
        && response.hasFinalStatus()
        && EndpointResponseParser.parse(response.receivedHead(), 0).endsAttempts()
        && !(call.isBulk() && response.receivedHead().status().code() == EndpointResponseParser.OK);
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
            completeness, outcome.result(), outcome.disposition(), !connection.isReused());
    return switch (treatment) {
      case CERTAIN -> outcome;
      case COUNTS_UNTIL_IN_DOUBT -> {
        unconfirmedCalls.addEnd(call, connection);
        yield outcome.unconfirmed();
      }
      case COUNTS_AFTER_SILENCE, COUNTS_AFTER_CLOSE ->
          unconfirmedCalls.addOpen(call, connection, outcome);
      case ENDS_ATTEMPTS ->
          new DispatchOutcome(
              AttemptResult.STALE,
              outcome.disposition(),
              outcome.retryAfterUs(),
              outcome.loadReport());
      case MAY_HAVE_RUN -> null;
      case FOREIGN -> IN_DOUBT;
    };
  }
}

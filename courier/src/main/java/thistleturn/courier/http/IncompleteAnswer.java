package thistleturn.courier.http;

import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.pools.AnswerTreatment;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;

/**
 * What a response that was not received completely says of its call, by its status line alone. Used
 * on the event loop of its connection.
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
   * Whether the status line ends the attempts of the call's messages. A delivery of several
   * messages needs the complete response.
   */
  boolean statesEnd(final HttpCall call) {
    return call.isWritten()
        && response.hasFinalStatus()
        && EndpointResponseParser.parse(response.receivedHead(), 0).endsAttempts()
        && !(call.isBulk() && response.receivedHead().status().code() == EndpointResponseParser.OK);
  }

  /** How much was received of the response when its connection ended for this reason. */
  Completeness completeness(final EndpointCloseReason reason) {
    // A response that ends in another one, or in what is none, may be parts of two.
    return reason == EndpointCloseReason.INVALID_RESPONSE || response.containsAnotherResponse()
        ? Completeness.SPOILT
        : Completeness.CUT_OFF;
  }

  /** The outcome of a call that ends together with its connection, and whose end is stated. */
  DispatchOutcome outcomeOf(
      final HttpCall call, final EndpointConnection connection, final Completeness completeness) {
    final DispatchOutcome outcome = EndpointResponseParser.parse(response.receivedHead());
    final boolean identified = !connection.isReused();
    return switch (AnswerTreatment.of(completeness, outcome.disposition(), identified)) {
      case CERTAIN, COUNTS_AFTER_SILENCE -> outcome;
      case COUNTS_UNTIL_IN_DOUBT -> {
        unconfirmedCalls.addEnd(call, connection);
        yield outcome.unconfirmed();
      }
      case COUNTS_AFTER_CLOSE -> unconfirmedCalls.addOpen(call, connection, outcome);
      case FOREIGN -> IN_DOUBT;
    };
  }
}

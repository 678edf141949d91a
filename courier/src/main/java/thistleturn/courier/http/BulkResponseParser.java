package thistleturn.courier.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Json;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;

/**
 * Parses the response to a call with several messages: a JSON array with a state for each. Of one
 * that is not complete only the states count that end messages.
 */
final class BulkResponseParser {
  private final Map<String, String> statesById = new HashMap<>();
  private final boolean complete;
  private final DispatchOutcome callOutcome;

  /**
   * Parses a response body as far as it can be read.
   *
   * @param callOutcome provides the Retry-After and the load report of the response
   */
  BulkResponseParser(final byte[] body, final DispatchOutcome callOutcome) {
    this.callOutcome = callOutcome;
    final Json.ArrayPrefix items = Json.readArrayPrefix(body);
    this.complete = items.isComplete();
    for (final JsonNode item : items.elements()) {
      statesById.put(item.path("id").asText(), item.path("state").asText());
    }
  }

  /** True if the response names exactly the messages of a call, so that it belongs to it. */
  boolean identifies(final HttpCall call) {
    return complete
        && statesById.size() == call.attempts().size()
        && call.attempts().stream()
            .allMatch(attempt -> statesById.containsKey(attempt.message().id()));
  }

  /** The outcome of one message; a message without a known state may have been executed. */
  DispatchOutcome outcomeOf(final String messageId) {
    if (!complete) {
      return statedEndOf(messageId)
          .orElseGet(() -> outcome(AttemptResult.ERROR, MessageDisposition.OPEN));
    }
    return switch (stateOf(messageId)) {
      case "accepted" -> outcome(AttemptResult.DELIVERED, MessageDisposition.OVER);
      case "deferred" -> outcome(AttemptResult.REFUSED, MessageDisposition.OPEN);
      case "expired" -> outcome(AttemptResult.NOT_SENT, MessageDisposition.OVER);
      case "no_more" -> outcome(AttemptResult.NOT_SENT, MessageDisposition.NO_FURTHER_ATTEMPT);
      default -> outcome(AttemptResult.ERROR, MessageDisposition.OPEN);
    };
  }

  /**
   * The outcome of a message whose state ends its attempts, in a response that is not complete or
   * names other messages: it may have been executed. Empty for other states.
   */
  Optional<DispatchOutcome> statedEndOf(final String messageId) {
    return switch (stateOf(messageId)) {
      case "expired", "no_more" ->
          Optional.of(outcome(AttemptResult.STALE, MessageDisposition.NO_FURTHER_ATTEMPT));
      default -> Optional.empty();
    };
  }

  private String stateOf(final String messageId) {
    return statesById.getOrDefault(messageId, "");
  }

  private DispatchOutcome outcome(
      final AttemptResult result, final MessageDisposition disposition) {
    return new DispatchOutcome(
        result, disposition, callOutcome.retryAfterUs(), callOutcome.loadReport());
  }
}

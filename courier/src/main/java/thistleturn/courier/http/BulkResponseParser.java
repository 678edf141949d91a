package thistleturn.courier.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Json;
import thistleturn.decisions.model.AttemptResult;

/** Parses the response to a call with several messages: a JSON array with a state for each. */
final class BulkResponseParser {
  private final Map<String, String> statesById = new HashMap<>();
  private final DispatchOutcome callOutcome;

  /**
   * Parses a response body. If it cannot be parsed, no message has a state.
   *
   * @param callOutcome provides the Retry-After and the load report of the response
   */
  BulkResponseParser(final byte[] body, final DispatchOutcome callOutcome) {
    this.callOutcome = callOutcome;
    try {
      for (final JsonNode item : Json.read(body)) {
        statesById.put(item.path("id").asText(), item.path("state").asText());
      }
    } catch (final IOException e) {
      statesById.clear();
    }
  }

  /** True if the response names exactly the messages of a call, so that it belongs to it. */
  boolean identifies(final HttpCall call) {
    return statesById.size() == call.attempts().size()
        && call.attempts().stream()
            .allMatch(attempt -> statesById.containsKey(attempt.message().id()));
  }

  /** The outcome of one message; a message without a known state may have been executed. */
  DispatchOutcome outcomeOf(final String messageId) {
    return switch (statesById.getOrDefault(messageId, "")) {
      case "accepted" -> outcome(AttemptResult.DELIVERED, true);
      case "deferred" -> outcome(AttemptResult.REFUSED, false);
      case "expired" -> outcome(AttemptResult.NOT_SENT, true);
      case "no_more" -> outcome(AttemptResult.NOT_SENT, false);
      default -> outcome(AttemptResult.ERROR, false);
    };
  }

  private DispatchOutcome outcome(final AttemptResult result, final boolean completed) {
    return new DispatchOutcome(
        result, completed, callOutcome.retryAfterUs(), callOutcome.loadReport());
  }
}

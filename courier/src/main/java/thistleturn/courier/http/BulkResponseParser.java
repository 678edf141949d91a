package thistleturn.courier.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.courier.runtime.Json;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;

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
      case "accepted" -> outcome(AttemptResult.DELIVERED, MessageDisposition.OVER);
      case "deferred" -> outcome(AttemptResult.REFUSED, MessageDisposition.OPEN);
      case "expired" -> outcome(AttemptResult.NOT_SENT, MessageDisposition.OVER);
      case "no_more" -> outcome(AttemptResult.NOT_SENT, MessageDisposition.NO_FURTHER_ATTEMPT);
      default -> outcome(AttemptResult.ERROR, MessageDisposition.OPEN);
    };
  }

  private DispatchOutcome outcome(
      final AttemptResult result, final MessageDisposition disposition) {
    return new DispatchOutcome(
        result, disposition, callOutcome.retryAfterUs(), callOutcome.loadReport());
  }
}

package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.MessageDisposition;

/** A line that the older process sends once its snapshot is complete. */
sealed interface PredecessorLine extends HandoverLine {

  /**
   * A client of the older process has submitted a message. The older process expects one reply
   * under {@code offerNumber}.
   */
  record Offer(long offerNumber, StoredMessage message, long deadlineUs)
      implements PredecessorLine {
    private static final String TYPE = "offer";

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE)
          .put("number", offerNumber)
          .put("id", message.id())
          .put("class", message.className())
          .put("key", message.idempotencyKey())
          .put("dest", message.destination())
          .put("valid", deadlineUs)
          .put("body", message.body());
    }

    private static Offer fromJson(final JsonNode line) throws IOException {
      final JsonNode key = line.path("key");
      final long deadlineUs = line.path("valid").asLong();
      final StoredMessage message =
          new StoredMessage(
              line.path("id").asText(),
              line.path("class").asText(),
              key.isTextual() ? key.asText() : null,
              line.path("dest").asLong(),
              deadlineUs,
              line.path("body").binaryValue());
      return new Offer(line.path("number").asLong(), message, deadlineUs);
    }
  }

  /**
   * The client of an offered message has disconnected before it received a reply. A process of the
   * last release sends no offer number, and reads the id alone.
   */
  record Withdrawal(long offerNumber, String messageId, long destination)
      implements PredecessorLine {
    /** Offers are numbered from 1. */
    static final long UNKNOWN_OFFER = 0;

    private static final String TYPE = "withdraw";

    static Withdrawal of(final long offerNumber, final Submission submission) {
      return new Withdrawal(offerNumber, submission.messageId(), submission.destination());
    }

    boolean namesOffer() {
      return offerNumber != UNKNOWN_OFFER;
    }

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE)
          .put("number", offerNumber)
          .put("id", messageId)
          .put("dest", destination);
    }

    private static Withdrawal fromJson(final JsonNode line) {
      return new Withdrawal(
          line.path("number").asLong(UNKNOWN_OFFER),
          line.path("id").asText(),
          line.path("dest").asLong());
    }
  }

  /** The outcome of one message in a call that was in flight at the handover. */
  record CallOutcome(long callNumber, String messageId, Dispatcher.DispatchOutcome outcome)
      implements PredecessorLine {
    private static final String TYPE = "outcome";
    private static final String REMAINING_SHARE = "left";

    /** Present if no further attempt may follow; an older process ignores it. */
    private static final String LAST_ATTEMPT = "last";

    @Override
    public ObjectNode toJson() {
      final ObjectNode line =
          HandoverLine.ofType(TYPE)
              .put("call", callNumber)
              .put("id", messageId)
              .put("result", outcome.result().name())
              .put("over", outcome.completed())
              .put("wait", outcome.retryAfterUs());
      if (outcome.disposition() == MessageDisposition.NO_FURTHER_ATTEMPT) {
        line.put(LAST_ATTEMPT, true);
      }
      final LoadReport loadReport = outcome.loadReport();
      if (loadReport != null) {
        line.put(REMAINING_SHARE, loadReport.remainingShare())
            .put("limit", loadReport.callsPerSecond());
      }
      return line;
    }

    private static CallOutcome fromJson(final JsonNode line) {
      final LoadReport loadReport =
          line.has(REMAINING_SHARE)
              ? new LoadReport(line.path(REMAINING_SHARE).asDouble(), line.path("limit").asDouble())
              : null;
      return new CallOutcome(
          line.path("call").asLong(),
          line.path("id").asText(),
          new Dispatcher.DispatchOutcome(
              AttemptResult.valueOf(line.path("result").asText()),
              dispositionOf(line),
              line.path("wait").asLong(),
              loadReport));
    }
  }

  /** The older process was told to reload the configuration: the newer one has to reload it too. */
  record ReloadRequest() implements PredecessorLine {
    private static final String TYPE = "reload";

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE);
    }
  }

  private static MessageDisposition dispositionOf(final JsonNode line) {
    if (line.path("over").asBoolean()) {
      return MessageDisposition.OVER;
    }
    return line.path(CallOutcome.LAST_ATTEMPT).asBoolean()
        ? MessageDisposition.NO_FURTHER_ATTEMPT
        : MessageDisposition.OPEN;
  }

  /**
   * Reads a line that follows a snapshot.
   *
   * @throws IOException if its type is unknown
   */
  static PredecessorLine fromJson(final JsonNode line) throws IOException {
    final String type = HandoverLine.typeOf(line);
    return switch (type) {
      case Offer.TYPE -> Offer.fromJson(line);
      case Withdrawal.TYPE -> Withdrawal.fromJson(line);
      case CallOutcome.TYPE -> CallOutcome.fromJson(line);
      case ReloadRequest.TYPE -> new ReloadRequest();
      default -> throw new IOException("unknown line type " + type);
    };
  }
}

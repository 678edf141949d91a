package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import thistleturn.courier.port.Ingress;
import thistleturn.decisions.model.AttemptResult;

/** A line that the newer process sends. */
sealed interface SuccessorLine extends HandoverLine {

  /**
   * Asks for the handover. Always the first line; a process of another version rejects it.
   *
   * @param readsOfferNumbers whether a withdrawal is found by the number of its offer; the last
   *     release finds it by the message id
   * @param readsReloadRequests whether {@link PredecessorLine.ReloadRequest} is understood; the
   *     last release closes the connection at a line that it does not know
   */
  record Hello(int version, boolean readsOfferNumbers, boolean readsReloadRequests)
      implements SuccessorLine {
    static final String TYPE = "hello";
    private static final String READS_OFFER_NUMBERS = "offers";
    private static final String READS_RELOAD_REQUESTS = "reloads";

    /** Returns the hello of this version. */
    static Hello ofThisVersion() {
      return new Hello(HandoverCodec.PROTOCOL_VERSION, true, true);
    }

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE)
          .put("version", version)
          .put(READS_OFFER_NUMBERS, readsOfferNumbers)
          .put(READS_RELOAD_REQUESTS, readsReloadRequests);
    }

    static Hello fromJson(final JsonNode line) {
      return new Hello(
          line.path("version").asInt(),
          line.path(READS_OFFER_NUMBERS).asBoolean(),
          line.path(READS_RELOAD_REQUESTS).asBoolean());
    }
  }

  /** The newer process accepts clients. */
  record Listening() implements SuccessorLine {
    private static final String TYPE = "listening";

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE);
    }
  }

  /** A call that the older process has in flight is to be abandoned. */
  record AbandonCall(long callNumber, AttemptResult result) implements SuccessorLine {
    private static final String TYPE = "abandon";

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE).put("call", callNumber).put("result", result.name());
    }

    private static AbandonCall fromJson(final JsonNode line) {
      return new AbandonCall(
          line.path("call").asLong(), AttemptResult.valueOf(line.path("result").asText()));
    }
  }

  /** The reply to an {@link PredecessorLine.Offer}. */
  sealed interface OfferReply extends SuccessorLine {
    /** The number of the offer. */
    long offerNumber();

    /** Passes the reply to the client. */
    void sendTo(Ingress.Reply client);
  }

  /** The message is accepted: the newer process is responsible for its outcome. */
  record Accepted(long offerNumber) implements OfferReply {
    private static final String KIND = "accepted";

    @Override
    public ObjectNode toJson() {
      return replyJson(offerNumber, KIND, 0);
    }

    @Override
    public void sendTo(final Ingress.Reply client) {
      client.accepted();
    }
  }

  /** The message is rejected; submitting it again is harmless. */
  record Rejected(long offerNumber, Ingress.RejectionReason reason, long retryAfterUs)
      implements OfferReply {
    private static final String KIND = "refused";

    @Override
    public ObjectNode toJson() {
      return replyJson(offerNumber, KIND, retryAfterUs).put(REASON, reason.name());
    }

    @Override
    public void sendTo(final Ingress.Reply client) {
      client.rejected(reason, retryAfterUs);
    }
  }

  /** The message is invalid, and submitting it again would not change that. */
  record Invalid(long offerNumber, Ingress.InvalidReason reason) implements OfferReply {
    private static final String KIND = "unusable";

    @Override
    public ObjectNode toJson() {
      return replyJson(offerNumber, KIND, 0).put(REASON, reason.name());
    }

    @Override
    public void sendTo(final Ingress.Reply client) {
      client.invalid(reason);
    }
  }

  /** Nothing is promised for the message. */
  record Failed(long offerNumber) implements OfferReply {
    private static final String KIND = "failed";

    @Override
    public ObjectNode toJson() {
      return replyJson(offerNumber, KIND, 0);
    }

    @Override
    public void sendTo(final Ingress.Reply client) {
      client.failed();
    }
  }

  /** A line of a type that this process does not know; it is skipped. */
  record Unknown(String type) implements SuccessorLine {
    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(type);
    }
  }

  /** The type of each reply. */
  String REPLY_TYPE = "reply";

  /** The field with the reason why a message is rejected or invalid. */
  String REASON = "why";

  /** Reads a line of the newer process. */
  static SuccessorLine fromJson(final JsonNode line) {
    final String type = HandoverLine.typeOf(line);
    return switch (type) {
      case Hello.TYPE -> Hello.fromJson(line);
      case Listening.TYPE -> new Listening();
      case AbandonCall.TYPE -> AbandonCall.fromJson(line);
      case REPLY_TYPE -> replyFromJson(line);
      default -> new Unknown(type);
    };
  }

  private static OfferReply replyFromJson(final JsonNode line) {
    final long offerNumber = line.path("number").asLong();
    final String reason = line.path(REASON).asText();
    return switch (line.path("kind").asText()) {
      case Accepted.KIND -> new Accepted(offerNumber);
      case Rejected.KIND ->
          new Rejected(
              offerNumber, Ingress.RejectionReason.valueOf(reason), line.path("retry").asLong());
      case Invalid.KIND -> new Invalid(offerNumber, Ingress.InvalidReason.valueOf(reason));
      default -> new Failed(offerNumber);
    };
  }

  private static ObjectNode replyJson(
      final long offerNumber, final String kind, final long retryAfterUs) {
    return HandoverLine.ofType(REPLY_TYPE)
        .put("number", offerNumber)
        .put("kind", kind)
        .put("retry", retryAfterUs);
  }
}

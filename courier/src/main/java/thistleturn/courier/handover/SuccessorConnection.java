package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Log;

/**
 * The older process's end of the connection. The newer one must begin with a {@link
 * SuccessorLine.Hello} of the same version; then it receives the snapshot and is the successor, to
 * which this process forwards what its clients submit and the outcomes of its calls. Any other
 * first line closes the connection.
 */
final class SuccessorConnection extends LineConnection implements Successor {
  /** After which time a client may retry if no process can decide on its message now. */
  private static final long RETRY_AFTER_US = 1_000_000;

  private final HandoverServer server;
  private final HandoverSource source;

  private final SentOffers offers = new SentOffers();

  /** Whether the newer process reads {@link PredecessorLine.ReloadRequest}. */
  private boolean successorReadsReloadRequests;

  SuccessorConnection(final HandoverServer server, final HandoverSource source) {
    this.server = server;
    this.source = source;
  }

  @Override
  void onLine(final JsonNode json) {
    if (server.isSuccessor(this)) {
      onSuccessorLine(SuccessorLine.fromJson(json));
    } else {
      onFirstLine(json);
    }
  }

  private void onFirstLine(final JsonNode json) {
    if (server.hasSuccessor()) {
      reject("another handover is in progress");
    } else if (isHelloOfThisVersion(json)) {
      final SuccessorLine.Hello hello = SuccessorLine.Hello.fromJson(json);
      offers.setSuccessorReadsOfferNumbers(hello.readsOfferNumbers());
      successorReadsReloadRequests = hello.readsReloadRequests();
      handOver();
    } else {
      reject("the first line is not a hello of this version: " + json);
    }
  }

  private static boolean isHelloOfThisVersion(final JsonNode json) {
    return HandoverLine.typeOf(json).equals(SuccessorLine.Hello.TYPE)
        && SuccessorLine.Hello.fromJson(json).version() == HandoverCodec.PROTOCOL_VERSION;
  }

  private void reject(final String reason) {
    Log.info("handover: refused: " + reason);
    close();
  }

  private void handOver() {
    try {
      final HandoverSnapshot snapshot = source.handOver(this);
      server.setSuccessor(this);
      HandoverCodec.toLines(snapshot).forEach(this::write);
      flush();
    } catch (final IOException e) {
      Log.info("handover: not now: " + e.getMessage());
      close();
    }
  }

  private void onSuccessorLine(final SuccessorLine line) {
    if (line instanceof SuccessorLine.Listening) {
      source.onSuccessorListening();
    } else if (line instanceof SuccessorLine.AbandonCall abandon) {
      source.abandonCall(abandon.callNumber(), abandon.result());
    } else if (line instanceof SuccessorLine.OfferReply reply) {
      offers.onReply(reply).ifPresent(this::send);
    } else if (line instanceof SuccessorLine.Unknown unknown) {
      Log.info("handover: unknown line type " + unknown.type());
    }
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    if (!server.isSuccessor(this)) {
      reply.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_AFTER_US);
      return;
    }
    send(offers.add(message, deadlineUs, reply));
  }

  @Override
  public void withdraw(final Submission submission) {
    if (server.isSuccessor(this)) {
      offers.withdraw(submission).ifPresent(this::send);
    }
  }

  @Override
  public void reportOutcome(
      final long call, final String messageId, final Dispatcher.DispatchOutcome outcome) {
    if (server.isSuccessor(this)) {
      send(new PredecessorLine.CallOutcome(call, messageId, outcome));
    }
  }

  @Override
  public void reloadConfiguration() {
    if (server.isSuccessor(this) && successorReadsReloadRequests) {
      send(new PredecessorLine.ReloadRequest());
    }
  }

  @Override
  void onClosed() {
    if (server.isSuccessor(this)) {
      source.onSuccessorGone();
    }
  }
}

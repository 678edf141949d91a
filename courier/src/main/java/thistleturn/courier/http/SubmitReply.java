package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * Answers one submit request once it is known whether its message is accepted. If the connection
 * has closed or has already answered the request in the meantime, nothing is sent.
 */
final class SubmitReply implements Ingress.Reply {
  private final ClientConnection connection;
  private final QueuedRequest request;
  private final Submission submission;

  SubmitReply(
      final ClientConnection connection, final QueuedRequest request, final Submission submission) {
    this.connection = connection;
    this.request = request;
    this.submission = submission;
  }

  /** The submission that is answered. */
  Submission submission() {
    return submission;
  }

  /** The id of the message. */
  String messageId() {
    return submission.messageId();
  }

  @Override
  public void accepted() {
    if (connection.isServing(request)) {
      connection
          .respond(HttpResponseStatus.ACCEPTED, 0)
          .addListener(
              written -> {
                // A client that never receives this response does not rely on its acceptance.
                if (!written.isSuccess()) {
                  connection.withdraw(this);
                }
              });
    }
  }

  @Override
  public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
    respondIfCurrent(
        reason == Ingress.RejectionReason.NO_ROOM
            ? HttpResponseStatus.SERVICE_UNAVAILABLE
            : HttpResponseStatus.TOO_MANY_REQUESTS,
        retryAfterUs);
  }

  @Override
  public void failed() {
    respondIfCurrent(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
  }

  @Override
  public void invalid(final Ingress.InvalidReason reason) {
    Log.event(
        Event.REQUEST_UNUSABLE, "id", messageId(), "dest", submission.destination(), "why", reason);
    respondIfCurrent(
        reason == Ingress.InvalidReason.NO_DESTINATION
            ? HttpResponseStatus.NOT_FOUND
            : HttpResponseStatus.CONFLICT,
        0);
  }

  private void respondIfCurrent(final HttpResponseStatus status, final long retryAfterUs) {
    if (connection.isServing(request)) {
      connection.respond(status, retryAfterUs);
    }
  }
}

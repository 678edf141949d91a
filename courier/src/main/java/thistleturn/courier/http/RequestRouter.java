package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.MessageClass;

/** Routes the requests of clients by their path: to the health check or to a message class. */
final class RequestRouter {
  private static final String HEALTH_CHECK_PATH = "/up";

  private final IngressHandler handler;
  private final BooleanSupplier draining;

  RequestRouter(final IngressHandler handler, final BooleanSupplier draining) {
    this.handler = handler;
    this.draining = draining;
  }

  /** Serves the current request of a connection, at once or by a later reply. */
  void route(final ClientConnection connection, final QueuedRequest request) {
    final String path = request.path();
    if (path.equals(HEALTH_CHECK_PATH)) {
      connection.respond(healthStatus(request), 0);
      return;
    }
    final String className = path.substring(Math.min(path.length(), 1)).split("/", 2)[0];
    final MessageClass messageClass = handler.messageClass(className);
    if (messageClass == null) {
      connection.respond(HttpResponseStatus.NOT_FOUND, 0);
    } else if (!request.head().method().equals(HttpMethod.POST)) {
      connection.respond(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
    } else {
      submit(connection, request, messageClass);
    }
  }

  private HttpResponseStatus healthStatus(final QueuedRequest request) {
    if (!request.head().method().equals(HttpMethod.GET)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    return draining.getAsBoolean() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
  }

  private void submit(
      final ClientConnection connection,
      final QueuedRequest request,
      final MessageClass messageClass) {
    final SubmitRequest submission = SubmitRequest.parse(request.head().headers(), messageClass);
    if (submission == null) {
      connection.respond(HttpResponseStatus.BAD_REQUEST, 0);
      return;
    }
    final long deadlineUs = submission.deadlineUs(request, messageClass);
    final StoredMessage message = submission.toMessage(request, messageClass, deadlineUs);
    final SubmitReply reply = new SubmitReply(connection, request, message.submission());
    connection.awaitReply(reply);
    handler.submit(message, deadlineUs, reply);
  }
}

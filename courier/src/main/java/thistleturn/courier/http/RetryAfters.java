package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpResponse;

/** Applies the Retry-After of responses. Used on the event loop. */
final class RetryAfters {
  private final HttpDispatcher dispatcher;

  RetryAfters(final HttpDispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  /**
   * Reports the Retry-After of a response before, or without, the outcome of its call.
   *
   * @param head null if it was not received
   */
  void report(final EndpointConnectionPool source, final HttpResponse head) {
    final long retryAfterUs = apply(source, head);
    if (retryAfterUs > 0) {
      dispatcher.reportRetryAfter(source, retryAfterUs);
    }
  }

  /**
   * Abandons the unwritten calls to which the Retry-After of a response applies.
   *
   * @param head null if it was not received
   * @return the time to wait, us; 0 if there is none
   */
  long apply(final EndpointConnectionPool source, final HttpResponse head) {
    final long retryAfterUs = head == null ? 0 : EndpointResponseParser.retryAfterUs(head);
    if (retryAfterUs > 0) {
      dispatcher.abandonUnwrittenCalls(source);
    }
    return retryAfterUs;
  }
}

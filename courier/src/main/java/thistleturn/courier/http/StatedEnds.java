package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thistleturn.courier.port.Dispatcher.Attempt;

/**
 * Reports once for each message of a call that the response on its connection states an end of
 * attempts, before the call has an outcome or after it was abandoned: whatever else comes, no call
 * follows. Used on the event loop of the connection.
 */
final class StatedEnds {
  private final HttpDispatcher dispatcher;
  private final EndpointResponse response;
  private final IncompleteAnswer answer;
  private final Set<Attempt> reported = new HashSet<>();

  /** The abandoned call; null if none was abandoned. No other call follows it. */
  private HttpCall abandoned;

  StatedEnds(
      final HttpDispatcher dispatcher,
      final EndpointResponse response,
      final IncompleteAnswer answer) {
    this.dispatcher = dispatcher;
    this.response = response;
    this.answer = answer;
  }

  /** Begins anew for the next call. */
  void reset() {
    reported.clear();
  }

  /** The call was abandoned; its response is read here from now on. */
  void onAbandoned(final HttpCall call) {
    abandoned = call;
  }

  boolean isAbandoned() {
    return abandoned != null;
  }

  /** Reads the next part of the response to the abandoned call. */
  void readLate(final HttpObject part, final RetryAfters retryAfters) {
    if (part.decoderResult().isSuccess()
        && response.add(part)
        && part instanceof HttpResponse head) {
      retryAfters.report(abandoned.pool(), head);
    }
  }

  /**
   * Reports the ends that the response states, as far as it was received.
   *
   * @param current the current call; null if there is none
   */
  void report(final HttpCall current) {
    final HttpCall call = current == null ? abandoned : current;
    if (call != null) {
      final List<Attempt> ended =
          answer.endedAttempts(call).stream().filter(reported::add).toList();
      dispatcher.reportStatedEnd(call, ended);
    }
  }
}

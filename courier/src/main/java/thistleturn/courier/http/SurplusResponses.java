package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.pools.AnswerHistory;

/**
 * Reads what else comes on a connection on which a response came without a call: only once all has
 * come does the number of responses show which of the earlier ones are in doubt. Used on the event
 * loop of the connection.
 */
final class SurplusResponses {
  /** More responses than this are not waited for. */
  private static final int MAX_RESPONSES = 8;

  private final AnswerHistory history;
  private final Clock clock;
  private final RestartableTimer silence;
  private final Consumer<Boolean> onEnd;
  private boolean observing;

  /**
   * Creates the reader of one connection.
   *
   * @param silenceMs how long nothing may come until all has come
   * @param onEnd called with true after that, and with false when a response cannot be read, or
   *     there are too many
   */
  SurplusResponses(
      final AnswerHistory history,
      final EventLoop loop,
      final Clock clock,
      final long silenceMs,
      final Consumer<Boolean> onEnd) {
    this.history = history;
    this.clock = clock;
    this.onEnd = onEnd;
    this.silence =
        new RestartableTimer(loop, "surplus responses", silenceMs, () -> onEnd.accept(true));
  }

  /** A response has begun without a call; what comes from now on is read here. */
  void begin() {
    observing = true;
    silence.start();
  }

  boolean isObserving() {
    return observing;
  }

  /** Reads the next part. */
  void read(final HttpObject part) {
    if (part.decoderResult().isFailure()) {
      onEnd.accept(false);
    } else if (part instanceof HttpResponse head && EndpointResponseParser.isFinal(head)) {
      history.addSurplus(EndpointResponseParser.kindOf(head), clock.nowUs());
      silence.cancel();
      silence.start();
      if (history.surplus() >= MAX_RESPONSES) {
        onEnd.accept(false);
      }
    }
  }

  /** Ends the observation. */
  void end() {
    observing = false;
    silence.cancel();
    if (history.surplus() == 0) {
      history.addSurplus(AnswerHistory.Kind.UNKNOWN, clock.nowUs());
    }
  }
}

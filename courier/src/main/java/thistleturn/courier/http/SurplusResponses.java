package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
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
  private final Runnable onEnough;
  private boolean observing;

  /**
   * Creates the reader of one connection.
   *
   * @param silenceMs how long nothing may come until all has come
   * @param onSilence called after that
   * @param onEnough called when a response cannot be read, or there are too many
   */
  SurplusResponses(
      final AnswerHistory history,
      final EventLoop loop,
      final Clock clock,
      final long silenceMs,
      final Runnable onSilence,
      final Runnable onEnough) {
    this.history = history;
    this.clock = clock;
    this.onEnough = onEnough;
    this.silence = new RestartableTimer(loop, "surplus responses", silenceMs, onSilence);
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
      onEnough.run();
    } else if (part instanceof HttpResponse head && EndpointResponseParser.isFinal(head)) {
      history.addSurplus(EndpointResponseParser.kindOf(head), clock.nowUs());
      silence.cancel();
      silence.start();
      if (history.surplus() >= MAX_RESPONSES) {
        onEnough.run();
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

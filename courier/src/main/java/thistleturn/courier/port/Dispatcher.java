package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.LoadReport;

/**
 * A way to call endpoints. It makes a call when it is told to, never by itself and never twice, and
 * reports the outcome for each message in it: above all whether the message can have been executed.
 * All methods run on the event loop's thread.
 */
public interface Dispatcher {

  /** One message's attempt, as part of a call. */
  interface Attempt {
    /** Returns the message, whose body goes out unchanged. */
    StoredMessage message();

    /**
     * Returns when the message expires, in microseconds of the loop's clock. Its call neither goes
     * nor is awaited any longer than that.
     */
    long messageDeadlineUs();

    /**
     * Returns when its first byte may go at the latest, in microseconds of the loop's clock: after
     * that its idempotency key may have been forgotten.
     */
    long latestSendUs();

    /** Returns how long its answer is awaited, in microseconds. */
    long timeoutUs();
  }

  /** One call, from its preparation to the outcomes of its attempts. */
  interface Call {
    /** Returns the id of the endpoint. */
    long endpoint();

    /** Returns when the call was prepared, in microseconds of the loop's clock. */
    long preparedUs();
  }

  /**
   * How a message fared in a call.
   *
   * @param completed true if the answer is final for the message, whatever its result
   * @param retryAfterUs how long the endpoint asked to wait, in microseconds; 0 if it did not
   * @param loadReport null if the answer carried none
   */
  record DispatchOutcome(
      AttemptResult result, boolean completed, long retryAfterUs, LoadReport loadReport) {}

  /** Receives outcomes: exactly one for each attempt of a call. */
  interface Listener {
    /** An attempt ended. Its connection carries nothing of it any more. */
    void onOutcome(Attempt attempt, Call call, DispatchOutcome outcome);

    /**
     * An endpoint asked for a wait, in an answer whose call had been abandoned. It binds as in any
     * other answer.
     */
    void onRetryAfter(long endpoint, long retryAfterUs);

    /** A call with so many messages is written completely. */
    void onMessagesWritten(int count);
  }

  /**
   * An endpoint is new, or its address or state has changed. One that is draining gets nothing new
   * from now on, not even calls that were prepared before.
   *
   * @param separateRoute true if the endpoint is a route of its own within its destination
   */
  void updateEndpoint(Endpoint endpoint, boolean separateRoute, InetSocketAddress address);

  /** An endpoint is gone: nothing new goes there. */
  void removeEndpoint(long endpoint);

  /** Prepares a call without beginning it: the journal comes before its first byte. */
  Call prepare(long endpoint, List<? extends Attempt> attempts);

  /** Makes a prepared call. */
  void start(Call call);

  /** Ends a call from this side; the outcomes are reported before this returns. */
  void abandon(Call call, AttemptResult result);

  /** An endpoint asked for a wait: abandons the unwritten calls that the wait binds. */
  void abandonUnwrittenCalls(long endpoint);

  /** Closes the connections to an endpoint that carry no call. */
  void closeIdleConnections(long endpoint);
}

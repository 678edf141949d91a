package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.model.ResponseCertainty;

/**
 * Calls endpoints. It makes a call only on request and never repeats one by itself, and reports the
 * outcome for each message in the call, above all whether the message can have been executed. All
 * methods run on the event loop's thread.
 */
public interface Dispatcher {

  /** One message's attempt, as part of a call. */
  interface Attempt {
    /** Returns the message, whose body goes out unchanged. */
    StoredMessage message();

    /**
     * Returns when the message expires, in microseconds of the loop's clock. No call is started or
     * awaited after that.
     */
    long messageDeadlineUs();

    /**
     * Returns the latest time at which its first byte may be sent, in microseconds of the loop's
     * clock: after that the destination may have forgotten the message's idempotency key.
     */
    long latestSendUs();

    /** Returns how long to wait for its answer, in microseconds. */
    long timeoutUs();

    /** Returns whether the message may be sent again though it may have been executed. */
    boolean isRepeatable();
  }

  /** One call, from its preparation to the outcomes of its attempts. */
  interface Call {
    /** Returns the id of the endpoint. */
    long endpoint();

    /** Returns when the call was prepared, in microseconds of the loop's clock. */
    long preparedUs();

    /** Returns the number of the connection that carries the call; 0 if there is none here. */
    default long connection() {
      return 0;
    }

    /** Returns which call on its connection it is, from 1; 0 if it was not sent here. */
    default int numberOnConnection() {
      return 0;
    }
  }

  /**
   * The outcome of a call for one message.
   *
   * @param disposition what the answer says about the message beyond this call
   * @param retryAfterUs how long the endpoint asked to wait, in microseconds; 0 if it did not
   * @param loadReport null if the answer carried none
   * @param certainty whether the answer is known to be that of the call; an unconfirmed one that
   *     ends its message is confirmed or put in doubt later
   */
  record DispatchOutcome(
      AttemptResult result,
      MessageDisposition disposition,
      long retryAfterUs,
      LoadReport loadReport,
      ResponseCertainty certainty) {

    /** Creates an outcome whose answer, if any, is known to be that of the call. */
    public DispatchOutcome(
        final AttemptResult result,
        final MessageDisposition disposition,
        final long retryAfterUs,
        final LoadReport loadReport) {
      this(result, disposition, retryAfterUs, loadReport, ResponseCertainty.CERTAIN);
    }

    /**
     * Does the same for a message that is over or may be sent again.
     *
     * @param completed true if the answer is final for the message, whatever its result
     */
    public DispatchOutcome(
        final AttemptResult result,
        final boolean completed,
        final long retryAfterUs,
        final LoadReport loadReport) {
      this(
          result,
          completed ? MessageDisposition.OVER : MessageDisposition.OPEN,
          retryAfterUs,
          loadReport);
    }

    /** Returns the same outcome of an answer that may belong to another call. */
    public DispatchOutcome unconfirmed() {
      return new DispatchOutcome(
          result, disposition, retryAfterUs, loadReport, ResponseCertainty.UNCONFIRMED);
    }

    /**
     * Returns whether the answer is final for the message; one that may belong to another call is,
     * until it is put in doubt.
     */
    public boolean completed() {
      return disposition == MessageDisposition.OVER;
    }

    /** Returns whether the answer says that no further attempt may follow. */
    public boolean endsAttempts() {
      return disposition != MessageDisposition.OPEN;
    }

    /**
     * Returns whether the message had no effect by the answer, so that a retry is safe. An answer
     * that may belong to another call counts as well, until it is put in doubt.
     */
    public boolean neverExecuted() {
      return result.neverExecuted();
    }

    /** Returns whether it ends its message, and is to be confirmed or put in doubt. */
    public boolean isUnconfirmedEnd() {
      return completed() && certainty == ResponseCertainty.UNCONFIRMED;
    }
  }

  /** Receives outcomes: exactly one for each attempt of a call. */
  interface Listener {
    /** An attempt ended; no byte of it is in transit on its connection any more. */
    void onOutcome(Attempt attempt, Call call, DispatchOutcome outcome);

    /**
     * An endpoint sent a Retry-After in an answer whose call had been abandoned, or whose outcome
     * is still to be reported. It applies as in any other answer.
     */
    void onRetryAfter(long endpoint, long retryAfterUs);

    /** The answer to an attempt, reported as an unconfirmed end, was its own. */
    void onAnswerConfirmed(Attempt attempt);

    /**
     * The answer to an attempt, reported as an unconfirmed end, may be that of another call. The
     * connection has ended on this side, and the message may have been executed or not.
     *
     * @param mayBeEnd whether the attempt's own answer may state an end of attempts
     */
    void onAnswerInDoubt(Attempt attempt, Call call, boolean mayBeEnd);

    /**
     * The answer to an attempt, reported as a rejection that is not certain, may be that of another
     * call: the message may have been executed.
     */
    void onRejectionInDoubt(Attempt attempt, Call call);

    /**
     * The answer to an attempt states that its message is over or has had all its attempts, and has
     * not been reported as an outcome: it is not complete yet, or the call had been abandoned.
     */
    void onEndStated(Attempt attempt, Call call);

    /** A call with this many messages has been written completely. */
    void onMessagesWritten(int count);
  }

  /**
   * Adds an endpoint, or changes its address or state. A draining endpoint receives no new call
   * from now on, not even one that was prepared before.
   *
   * @param separateRoute true if the endpoint has a route of its own within its destination
   */
  void updateEndpoint(Endpoint endpoint, boolean separateRoute, InetSocketAddress address);

  /** Removes an endpoint that is gone: no new call is sent to it. */
  void removeEndpoint(long endpoint);

  /**
   * Prepares a call without starting it: the journal must be flushed before its first byte is sent.
   */
  Call prepare(long endpoint, List<? extends Attempt> attempts);

  /** Starts a prepared call. */
  void start(Call call);

  /** Ends a call on this side; its outcomes are reported before this method returns. */
  void abandon(Call call, AttemptResult result);

  /**
   * Abandons the calls to an endpoint that are not written yet and that its Retry-After applies to.
   */
  void abandonUnwrittenCalls(long endpoint);

  /** Returns whether responses that belong to no call have come lately. */
  boolean areResponsesSuspect();

  /**
   * Confirms all unconfirmed ends now, or puts them in doubt, since this process will not learn
   * more about them.
   */
  void resolveUnconfirmedAnswers();

  /** Closes the idle connections to an endpoint. */
  void closeIdleConnections(long endpoint);
}

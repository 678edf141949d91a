package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.LoadReport;

/**
 * A way by which calls reach endpoints. It makes a call when told to, never by itself and never
 * again, and tells how each message in it fared, above all whether it can have run. All methods run
 * on the event loop's thread.
 */
public interface Dispatcher {

  /** One message's part in a call. */
  interface Attempt {
    /** What goes out unchanged. */
    StoredMessage message();

    /**
     * When the message's own time is up, on the clock of the events, us: its call goes, and waits,
     * no longer than that.
     */
    long messageDeadlineUs();

    /**
     * Until when its first byte may go, us: then a key that must hold may be forgotten. Never later
     * than that.
     */
    long latestSendUs();

    /** How long its answer is waited for, us. */
    long timeoutUs();
  }

  /** One call, from its preparation to its outcomes. */
  interface Call {
    /** Whom it calls. */
    long endpoint();

    /** When it was prepared, us. */
    long preparedUs();
  }

  /**
   * How a message fared in a call. {@code completed}: it has its final answer. {@code
   * retryAfterUs}: what the answer told to wait, or 0. {@code loadReport}: null if nothing was
   * told.
   */
  record DispatchOutcome(
      AttemptResult result, boolean completed, long retryAfterUs, LoadReport loadReport) {}

  /** Who is told of outcomes: once for each parcel of a call. */
  interface Listener {
    /**
     * The outcome of one message's part in a call. Its connection carries nothing of it any more.
     */
    void onOutcome(Attempt parcel, Call call, DispatchOutcome answer);

    /**
     * An endpoint tells a wait in an answer whose call was given up before: it binds as one in any
     * other.
     */
    void onRetryAfter(long endpoint, long waitUs);

    /** A call with so many messages is written whole. */
    void onMessagesWritten(int messages);
  }

  /**
   * The list names an endpoint, or its address or condition has changed; {@code apart}: it is a
   * route of its own. To one that drains nothing new goes from now on, calls that were prepared
   * before included.
   */
  void updateEndpoint(Endpoint entry, boolean apart, InetSocketAddress address);

  /** The list names an endpoint no more: nothing new goes there. */
  void removeEndpoint(long endpoint);

  /** A call that has not begun: the journal comes before its first byte. */
  Call prepare(long endpoint, List<? extends Attempt> parcels);

  /** Makes a prepared call. */
  void start(Call call);

  /** Ends a call from this side; its outcomes are told before this returns. */
  void abandon(Call call, AttemptResult result);

  /**
   * A wait was told elsewhere: calls that are on their way there and not written yet may not go.
   */
  void abandonUnwrittenCalls(long endpoint);

  /** Closes what is kept open to an endpoint and carries no call. */
  void closeIdleConnections(long endpoint);
}

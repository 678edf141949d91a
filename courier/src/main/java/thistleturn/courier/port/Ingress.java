package thistleturn.courier.port;

import java.util.concurrent.CompletionStage;

/**
 * A way for clients to hand messages in. It reads requests and gives each its one answer; whether a
 * message is accepted is decided by the {@link IngressHandler}. All methods run on the event loop's
 * thread.
 */
public interface Ingress {

  /**
   * Why a message is rejected; handing it in again is harmless in each case. The names are part of
   * the handover protocol.
   */
  enum RejectionReason {
    /** The store is full. */
    NO_ROOM,
    /** The controller shed it. */
    DECIDED
  }

  /**
   * Why a message cannot be accepted at all. The names are part of the handover protocol and of the
   * log.
   */
  enum InvalidReason {
    /** Its destination, as far as is known now, does not exist. */
    NO_DESTINATION,
    /** A message of that id is pending already, or its outcome is still to be reported. */
    HELD_ALREADY
  }

  /** Where the answer to a client goes; exactly one of the methods is called, once. */
  interface Reply {
    /** The message is accepted: from now on the courier brings it to an end. */
    void accepted();

    /**
     * The message is rejected.
     *
     * @param retryAfterUs if above 0, after how many microseconds to retry
     */
    void rejected(RejectionReason reason, long retryAfterUs);

    /** The message ended, and nothing is promised about it. */
    void failed();

    /** The message cannot be accepted, and retrying would not change that. */
    void invalid(InvalidReason reason);
  }

  /**
   * Begins to listen.
   *
   * @return the address in fact listened on, or why that failed
   */
  CompletionStage<String> listen();

  /** Ends each connection with its next answer from now on, and closes idle ones. */
  void drain();

  /** Accepts no further connections; established ones are still served. */
  void stopListening();

  /** Rejects requests that have not been received completely, and closes idle connections. */
  void rejectIncompleteRequests();

  /** Returns true while no client is connected. */
  boolean hasNoConnections();
}

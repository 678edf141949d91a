package thistleturn.courier.port;

import java.util.concurrent.CompletionStage;

/**
 * Receives messages from clients. It reads requests and answers each exactly once; the {@link
 * IngressHandler} decides whether a message is accepted. All methods run on the event loop's
 * thread.
 */
public interface Ingress {

  /**
   * Why a message is rejected; in each case the client may safely submit it again. The names are
   * part of the handover protocol.
   */
  enum RejectionReason {
    /** The store is full. */
    NO_ROOM,
    /** The controller shed it. */
    DECIDED
  }

  /**
   * Why a request is invalid, so that its message cannot be accepted at all. The names are part of
   * the handover protocol and of the log.
   */
  enum InvalidReason {
    /** No destination of that number is known now. */
    NO_DESTINATION,
    /**
     * A message with that id is already pending, or its final outcome is still to be reported, or
     * it ended lately and was or may have been executed.
     */
    HELD_ALREADY
  }

  /** Sends the answer to a client; exactly one of the methods is called, once. */
  interface Reply {
    /** The message is accepted: from now on the courier is responsible for its final outcome. */
    void accepted();

    /**
     * The message is rejected.
     *
     * @param retryAfterUs the Retry-After in microseconds; 0 for none
     */
    void rejected(RejectionReason reason, long retryAfterUs);

    /** The message failed; the courier guarantees nothing about it. */
    void failed();

    /** The message cannot be accepted, and retrying would not change that. */
    void invalid(InvalidReason reason);
  }

  /**
   * Starts listening.
   *
   * @return the address actually bound, or the failure
   */
  CompletionStage<String> listen();

  /** Closes each connection after its next answer from now on, and idle ones at once. */
  void drain();

  /** Accepts no further connections; established ones are still served. */
  void stopListening();

  /** Rejects requests that have not been received completely, and closes idle connections. */
  void rejectIncompleteRequests();

  /** Returns true while no client is connected. */
  boolean hasNoConnections();
}

package thistleturn.courier.port;

import java.util.concurrent.CompletionStage;

/**
 * A way by which clients hand messages in. It reads requests and gives each its one answer; whether
 * a message is taken is not its to say. All methods run on the event loop's thread.
 */
public interface Ingress {

  /** Why a message is turned away at the door; handing it in again is harmless in each case. */
  enum RejectionReason {
    /** The store is full. */
    NO_ROOM,
    /** The decisions turned it away. */
    DECIDED
  }

  /** Why a message cannot be taken at all. */
  enum InvalidReason {
    /** Its destination, as far as can be known now, does not exist. */
    NO_DESTINATION,
    /** A message of that id is owed its end, or its notice. */
    HELD_ALREADY
  }

  /** Where the answer to a client goes; exactly one of these is called, once. */
  interface Reply {
    /** Taken on: the courier owes the message its end from now on. */
    void accepted();

    /** Refused; {@code retryAfterUs} above 0 tells after how many microseconds to come again. */
    void rejected(RejectionReason why, long retryAfterUs);

    /** Ended with nothing promised. */
    void failed();

    /** Not taken, and it would not be another time. */
    void invalid(InvalidReason fault);
  }

  /** Begins to listen; tells the address in fact, or why that failed. */
  CompletionStage<String> listen();

  /** From now on answers end their connections, and those on which nothing is asked are shut. */
  void drain();

  /** Accepts no further connection; those that stand are still served. */
  void stopListening();

  /**
   * The process ends soon: what has not come in whole by now is turned away, and what asks nothing
   * is shut.
   */
  void rejectIncompleteRequests();

  /** True while no client is connected. */
  boolean hasNoConnections();
}

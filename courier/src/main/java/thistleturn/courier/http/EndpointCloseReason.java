package thistleturn.courier.http;

import java.io.IOException;
import java.util.Locale;

/** Why a connection to an endpoint ended. */
enum EndpointCloseReason {
  /** It was idle for longer than connections are kept. */
  IDLE_TIMEOUT,
  /** Its descriptor was needed for another connection. */
  MAKES_ROOM,
  /** The endpoint was removed, moved, disabled or lost connections, so idle ones are not reused. */
  ENDPOINT_CHANGED,
  /** The endpoint ended or reset it. */
  ENDED_BY_ENDPOINT,
  /** A response came that belongs to no call. */
  UNEXPECTED_RESPONSE,
  /** Other bytes came that belong to no call. */
  UNEXPECTED_BYTES,
  /** The response could not be parsed. */
  INVALID_RESPONSE,
  /** The rest of a response did not come in time. */
  INCOMPLETE_RESPONSE,
  /** The response says that no other call may follow, or ended the endpoint's part. */
  CLOSE_REQUESTED,
  /** The response came when its call had ended on this side. */
  LATE_RESPONSE,
  /** Its messages are sent again, and the response may be that of another call. */
  UNCONFIRMED_REJECTION,
  /** Its class needs a connection for each call, and the pool has an idle one for other calls. */
  SURPLUS,
  /** A connection to its endpoint was out of step, so that connections to it are not reused. */
  REUSE_SUSPENDED,
  /** Its call was abandoned. */
  CALL_ABANDONED;

  /** Returns why a connection ends on which reading failed. */
  static EndpointCloseReason ofFailure(final Throwable cause) {
    return cause instanceof IOException ? ENDED_BY_ENDPOINT : INCOMPLETE_RESPONSE;
  }

  /** Returns whether it is part of normal operation: such ends are counted and not logged. */
  boolean isRoutine() {
    return switch (this) {
      case IDLE_TIMEOUT,
          CLOSE_REQUESTED,
          LATE_RESPONSE,
          UNCONFIRMED_REJECTION,
          SURPLUS,
          REUSE_SUSPENDED ->
          true;
      default -> false;
    };
  }

  /** Returns the name of the reason in the log. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

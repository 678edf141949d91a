package thistleturn.courier.http;

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
  /** The response, or the end of its call, does not allow another call. */
  NOT_REUSABLE,
  /** Its call was abandoned. */
  CALL_ABANDONED;

  /** Returns whether it is part of normal operation: such ends are counted and not logged. */
  boolean isRoutine() {
    return this == IDLE_TIMEOUT || this == NOT_REUSABLE;
  }

  /** Returns the name of the reason in the log. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

package thistleturn.courier.runtime;

import java.util.Locale;

/** What the courier's log and counters tell of, each in one line with its fields. */
public enum Event {
  /** A request was answered that its message is not taken on, without harm. */
  REQUEST_REFUSED,
  /** A request was answered that it cannot be used as it is. */
  REQUEST_UNUSABLE,
  /** A request was read, and its connection ended before its answer. */
  REQUEST_UNANSWERED,
  /** A client's connection was ended from this side while it was not between two requests. */
  CONNECTION_CLOSED,
  /**
   * A connection has bytes of which the selector did not tell: it is read from now and then, and
   * ended with its answer.
   */
  CONNECTION_UNWATCHED,
  /** An attempt ended in something else than a delivery. */
  ATTEMPT_FAILED,
  /** An attempt did not begin, since what was planned for it has changed. */
  ATTEMPT_NOT_SENT,
  /** A message that was taken on ended by a notice. */
  MESSAGE_ENDED,
  /** The platform confirmed an end long after its message's time. */
  MESSAGE_ENDED_LATE,
  /**
   * Ends are told though the journal cannot be written: their messages' time is up, so that no
   * restart sends them again.
   */
  END_TOLD_UNWRITTEN,
  /** A connection could not be accepted; it waits, and is tried again. */
  ACCEPT_FAILED,
  /** Connections are accepted again. */
  ACCEPT_RECOVERED,
  /** The last connections of a listener could not be accepted. */
  ACCEPT_GIVEN_UP,
  /** No socket could be made for a connection to somewhere. */
  SOCKET_FAILED,
  /** A connection could not be made. */
  CONNECT_FAILED,
  /** A connection could not be read or written for want of memory, and is tried again. */
  TRANSFER_RETRIED,
  /** The journal cannot be written from now on. */
  JOURNAL_UNWRITABLE,
  /** A write of the journal failed. */
  JOURNAL_WRITE_FAILED,
  /** The journal can be written again. */
  JOURNAL_WRITABLE,
  /** A write that was told as failed is in the file as a whole. */
  JOURNAL_WRITE_DONE_ALL_THE_SAME,
  /** What a write that was cut off had left was dropped. */
  JOURNAL_TAIL_DROPPED,
  /** A record of a later version was found. */
  JOURNAL_RECORD_UNKNOWN,
  /** The machine was started anew since the journal was written. */
  JOURNAL_CLOCK_BEGAN_ANEW,
  /** The journal is left with records that could not be written. */
  JOURNAL_CLOSED_UNWRITTEN,
  /** The journal was handed on without being trimmed. */
  JOURNAL_NOT_TRIMMED,
  /** A file could not be closed. */
  FILE_CLOSE_FAILED,
  /** A step of the start failed for what may pass, and is tried again. */
  START_RETRIED,
  /** What was asked for in a pass could not be carried out for one message or call. */
  STEP_FAILED,
  /** Something that should not happen did; with the place. */
  FAILURE;

  private final String label = name().toLowerCase(Locale.ROOT);

  /** As the log and the counters name it. */
  public String label() {
    return label;
  }
}

package thistleturn.courier.runtime;

/**
 * The events of the courier's log and counters. The label is what is written and what operators
 * search for, so it must not change.
 */
public enum Event {
  /** A request was answered with a rejection; the client may safely submit its message again. */
  REQUEST_REFUSED("request_refused"),
  /** A request was answered as invalid. */
  REQUEST_UNUSABLE("request_unusable"),
  /** A request was read, and its connection was closed before the response. */
  REQUEST_UNANSWERED("request_unanswered"),
  /** This side closed a client's connection while a request was incomplete or unanswered. */
  CONNECTION_CLOSED("connection_closed"),
  /**
   * A connection has bytes that the selector did not report: it is read periodically, and closed
   * after its response.
   */
  CONNECTION_UNWATCHED("connection_unwatched"),
  /** A client's input is decoded into very many parts: it is not read for a time. */
  READ_PAUSED("read_paused"),
  /** An attempt ended without a delivery. */
  ATTEMPT_FAILED("attempt_failed"),
  /** An attempt was not started, because the decision behind it was no longer valid. */
  ATTEMPT_NOT_SENT("attempt_not_sent"),
  /**
   * A call with several messages ended at the earliest of their deadlines: the others may have been
   * executed, and are retried.
   */
  SHARED_CALL_EXPIRED("shared_call_expired"),
  /**
   * An endpoint sent bytes on a connection that carries no call, or whose call is not written
   * completely: the connection is out of step with its calls.
   */
  ENDPOINT_BYTES_UNEXPECTED("endpoint_bytes_unexpected"),
  /**
   * A connection to an endpoint was out of step: for some time each call to it gets a connection of
   * its own.
   */
  ENDPOINT_REUSE_SUSPENDED("endpoint_reuse_suspended"),
  /**
   * A response that counted as a delivery, or as an end stated by an endpoint, may belong to
   * another call.
   */
  DELIVERY_IN_DOUBT("delivery_in_doubt"),
  /**
   * A response came sooner after its call than any of its endpoint: it is in doubt if the endpoint
   * ends the connection before the call's own one could have come.
   */
  ANSWER_TOO_SOON("answer_too_soon"),
  /** A response that rejected a message may belong to another call: the message may have run. */
  REJECTION_IN_DOUBT("rejection_in_doubt"),
  /** A connection to an endpoint ended, on either side. */
  ENDPOINT_CONNECTION_CLOSED("endpoint_connection_closed"),
  /** A connection to the platform was closed by this side, or with a request unanswered. */
  PLATFORM_CONNECTION_CLOSED("platform_connection_closed"),
  /** A line of the endpoint list's watch came a second time. */
  LIST_LINE_IGNORED("list_line_ignored"),
  /**
   * An endpoint answered that a message is over, or has had all its attempts: nothing of it is sent
   * from then on.
   */
  MESSAGE_OVER("message_over"),
  /**
   * An answer states that no further call of its message may follow, and is not complete yet or
   * came for a call that had been abandoned.
   */
  END_STATED("end_stated"),
  /** A call ended with a response of which only a part was received, or can be read. */
  RESPONSE_INCOMPLETE("response_incomplete"),
  /** An attempt began after its message had ended; this shows a fault of the courier. */
  ATTEMPT_AFTER_END("attempt_after_end"),
  /** An accepted message was not delivered: the platform is notified of its outcome. */
  MESSAGE_ENDED("message_ended"),
  /** The platform confirmed an outcome long after the message's deadline. */
  MESSAGE_ENDED_LATE("message_ended_late"),
  /**
   * Outcomes are reported though the journal cannot be written: the deadlines of their messages
   * have passed, so no restart sends them again.
   */
  END_TOLD_UNWRITTEN("end_told_unwritten"),
  /** A connection could not be accepted; it stays in the backlog and is accepted later. */
  ACCEPT_FAILED("accept_failed"),
  /** Connections are accepted again. */
  ACCEPT_RECOVERED("accept_recovered"),
  /** The last connections of a listener could not be accepted. */
  ACCEPT_GIVEN_UP("accept_given_up"),
  /** New connections could not be steered to a newer process before the listener closes. */
  STEERING_FAILED("steering_failed"),
  /** The selector did not report a listener's connections; they are accepted directly meanwhile. */
  LISTENER_UNWATCHED("listener_unwatched"),
  /** No socket could be created for an outgoing connection. */
  SOCKET_FAILED("socket_failed"),
  /** An outgoing connection could not be made. */
  CONNECT_FAILED("connect_failed"),
  /**
   * The connections held more unserved input than their budget allows: one of them is rejected, or
   * its response is given up.
   */
  RECEIVE_BUDGET_EXCEEDED("receive_budget_exceeded"),
  /** A connection was closed, since no direct buffer could be reserved for it. */
  BUFFER_SHORTAGE("buffer_shortage"),
  /** A connection could not be read or written for lack of memory; the transfer is retried. */
  TRANSFER_RETRIED("transfer_retried"),
  /** The journal cannot be written from now on. */
  JOURNAL_UNWRITABLE("journal_unwritable"),
  /** A write to the journal failed. */
  JOURNAL_WRITE_FAILED("journal_write_failed"),
  /** The journal can be written again. */
  JOURNAL_WRITABLE("journal_writable"),
  /** A write to the journal is complete in the file although the system reported an error. */
  JOURNAL_WRITE_DONE_ALL_THE_SAME("journal_write_done_all_the_same"),
  /** The incomplete batch that an interrupted write left was dropped. */
  JOURNAL_TAIL_DROPPED("journal_tail_dropped"),
  /** A record of a later version was found. */
  JOURNAL_RECORD_UNKNOWN("journal_record_unknown"),
  /** The machine was rebooted after the journal was written, so its monotonic clock restarted. */
  JOURNAL_CLOCK_BEGAN_ANEW("journal_clock_began_anew"),
  /** The journal was closed with records that could not be written. */
  JOURNAL_CLOSED_UNWRITTEN("journal_closed_unwritten"),
  /** The journal was handed over without being trimmed. */
  JOURNAL_NOT_TRIMMED("journal_not_trimmed"),
  /**
   * An earlier process is unreachable and has not ended: its calls may still be in flight, and
   * their messages are not sent again before it has ended.
   */
  CALLS_INTERRUPTED("calls_interrupted"),
  /** Such calls count as ended: the process has ended, or their messages have expired. */
  INTERRUPTED_CALLS_ENDED("interrupted_calls_ended"),
  /** This process could not record itself as the holder of the state folder. */
  HOLDER_UNRECORDED("holder_unrecorded"),
  /** A file could not be closed. */
  FILE_CLOSE_FAILED("file_close_failed"),
  /** A step of the start failed with a transient failure, and is retried. */
  START_RETRIED("start_retried"),
  /** A step of a decision round could not be carried out for one message or call. */
  STEP_FAILED("step_failed"),
  /** An unexpected exception, with its stack. */
  FAILURE("failure");

  private final String label;

  Event(final String label) {
    this.label = label;
  }

  /** Returns the name of the event in the log and in the counters. */
  public String label() {
    return label;
  }
}

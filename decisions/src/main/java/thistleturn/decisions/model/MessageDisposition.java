package thistleturn.decisions.model;

/** What an answer says about its message beyond the call that it answers. */
public enum MessageDisposition {
  /** The message may be sent again, as far as its class and its time allow. */
  OPEN,
  /** The message has had all its attempts: it is not sent again, and its end is still to come. */
  NO_FURTHER_ATTEMPT,
  /** The message is over: it is not sent again, and nothing more is due for it. */
  OVER
}

package thistleturn.decisions.retries;

/** What is known of a message that has no certain end. */
public enum Evidence {
  /** No attempt can have had its effect. */
  NEVER_RAN,
  /** An attempt that has ended may have had its effect. */
  MAY_HAVE_RUN,
  /** An attempt of an earlier process may not have ended yet. */
  MAY_STILL_RUN,
  /** It was answered as delivered, perhaps by the answer to another call. */
  MAY_BE_DELIVERED,
  /** An endpoint stated that it has had all its attempts, none of which can have had its effect. */
  HAD_ALL_ATTEMPTS,
  /**
   * An endpoint stated that it is over or has had all its attempts, in an answer that may be false
   * or that of another call, or after an attempt that may have had its effect.
   */
  MAY_BE_OVER
}

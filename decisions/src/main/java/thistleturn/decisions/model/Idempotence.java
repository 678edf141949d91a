package thistleturn.decisions.model;

/**
 * What a repeat of a message does: nothing new, nothing new while its idempotency key is
 * remembered, or harm.
 */
public enum Idempotence {
  IDEMPOTENT,
  IDEMPOTENT_BY_KEY,
  NON_IDEMPOTENT
}

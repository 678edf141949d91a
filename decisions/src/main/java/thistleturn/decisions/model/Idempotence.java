package thistleturn.decisions.model;

/**
 * The effect of repeating a message: none, none while its idempotency key is recognized, or a
 * second effect.
 */
public enum Idempotence {
  IDEMPOTENT,
  IDEMPOTENT_BY_KEY,
  NON_IDEMPOTENT
}

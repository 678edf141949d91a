package thistleturn.decisions.replicas;

/** A subject on which the words have changed; {@code kind} is the number of its {@link Kind}. */
public record Changed(int kind, String subject) {}

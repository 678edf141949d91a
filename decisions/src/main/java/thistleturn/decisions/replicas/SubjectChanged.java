package thistleturn.decisions.replicas;

/**
 * A subject on which the words have changed; {@code typeCode} is the number of its {@link
 * EntryType}.
 */
public record SubjectChanged(int typeCode, String subject) {}

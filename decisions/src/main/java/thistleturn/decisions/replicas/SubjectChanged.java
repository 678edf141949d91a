package thistleturn.decisions.replicas;

/**
 * A notification that the entries on a subject changed.
 *
 * @param typeCode the code of the entries' {@link EntryType}
 * @param subject an endpoint's name, or a destination's number
 */
public record SubjectChanged(int typeCode, String subject) {}

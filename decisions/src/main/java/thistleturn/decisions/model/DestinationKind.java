package thistleturn.decisions.model;

/** A kind of destination, and the number of messages that one call to it may carry. */
public record DestinationKind(String name, boolean separateRoutes, int messagesPerCall) {}

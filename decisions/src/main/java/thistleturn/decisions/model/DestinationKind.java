package thistleturn.decisions.model;

/** A kind of destination. */
public record DestinationKind(String name, boolean separateRoutes, int messagesPerCall) {}

package thistleturn.decisions.model;

/** An endpoint as the list names it; {@code kindIndex} is an index into the settings, or -1. */
public record Endpoint(
    long id, EndpointState state, String zone, double weight, int kindIndex, long destinationId) {}

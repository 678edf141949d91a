package thistleturn.decisions.model;

/** An endpoint as the endpoint list names it; {@code kindIndex} indexes the settings, or -1. */
public record Endpoint(
    long id, EndpointState state, String zone, double weight, int kindIndex, long destinationId) {}

package thistleturn.decisions.model;

/** An entry of the endpoint list; {@code kindIndex} refers to the settings, or is -1. */
public record Endpoint(
    long id, EndpointState state, String zone, double weight, int kindIndex, long destinationId) {}

package thistleturn.decisions.model;

/** A tenant and the messages a second, over all couriers, that keep their whole priority. */
public record Tenant(String name, double quotaPerSecond) {}

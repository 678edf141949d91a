package thistleturn.decisions.model;

/** A tenant, and its quota of messages a second over all couriers that keep full priority. */
public record Tenant(String name, double quotaPerSecond) {}

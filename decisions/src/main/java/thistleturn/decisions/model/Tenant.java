package thistleturn.decisions.model;

/** A tenant and the messages a second, over all couriers, that are worth their full worth. */
public record Tenant(String name, double quotaPerSecond) {}

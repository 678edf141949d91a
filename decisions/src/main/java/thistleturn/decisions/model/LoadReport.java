package thistleturn.decisions.model;

/** What a destination told of its limit: the share left, and calls a second (0: no limit). */
public record LoadReport(double remainingShare, double callsPerSecond) {}

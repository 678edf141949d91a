package thistleturn.decisions.model;

/** A load report of a destination: the remaining share of its limit, and the limit (0: none). */
public record LoadReport(double remainingShare, double callsPerSecond) {}

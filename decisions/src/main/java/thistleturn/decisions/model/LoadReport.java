package thistleturn.decisions.model;

/** What a destination reported: the share of its limit left, and the limit (0: none). */
public record LoadReport(double remainingShare, double callsPerSecond) {}

package thistleturn.decisions.model;

/**
 * What became of a message before this process had it. {@code mayHaveExecuted}: an attempt may have
 * had its effect, the first one at {@code firstExecutionUs} (on the clock of the events, perhaps
 * before its start), in {@code executionZone}.
 */
public record PriorAttempts(
    int attempts, boolean mayHaveExecuted, long firstExecutionUs, String executionZone) {}

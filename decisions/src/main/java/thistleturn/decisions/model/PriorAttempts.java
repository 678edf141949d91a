package thistleturn.decisions.model;

/**
 * The attempts for a message by earlier processes. If {@code mayHaveExecuted} is set, an attempt
 * may have had its effect, first at {@code firstExecutionUs} (on the clock of the events, possibly
 * before its start), in {@code executionZone}.
 */
public record PriorAttempts(
    int attempts, boolean mayHaveExecuted, long firstExecutionUs, String executionZone) {}

package thistleturn.decisions.model;

import java.util.List;

/** The complete configuration of the decisions of a courier. */
public record DeliverySettings(
    int courierCount,
    String zone,
    boolean subscribesToEndpointList,
    WeightMeaning weightMeaning,
    ValueDecay valueDecay,
    List<MessageClass> classes,
    List<Tenant> tenants,
    List<DestinationKind> kinds,
    Guarantees guarantees,
    ResourceLimits limits) {
  /** Rejects inconsistent settings, so that they are reported at the start of the process. */
  public DeliverySettings {
    require(courierCount >= 1, "a fleet has at least one courier, not " + courierCount);
    require(
        limits.concurrencyLimit() >= 1,
        "the concurrency limit must be at least 1, not " + limits.concurrencyLimit());
    require(
        limits.maxPendingMessages() >= 1,
        "the maximum of pending messages must be at least 1, not " + limits.maxPendingMessages());
    require(
        limits.maxAttempts() >= 1,
        "the maximum of attempts must be at least 1, not " + limits.maxAttempts());
    require(
        guarantees.overloadMultiple() > 0,
        "the overload multiple must be above 0, not " + guarantees.overloadMultiple());
    for (final MessageClass messageClass : classes) {
      require(
          messageClass.latencyObjectiveUs() <= messageClass.deadlineUs(),
          messageClass.name() + ": the latency objective is after the deadline");
    }
  }

  private static void require(final boolean condition, final String problem) {
    if (!condition) {
      throw new IllegalArgumentException(problem);
    }
  }
}

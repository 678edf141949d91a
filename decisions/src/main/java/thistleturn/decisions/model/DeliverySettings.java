package thistleturn.decisions.model;

import java.util.List;

/** Everything that the decisions of a courier are configured with. */
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
  /** Rejects settings that contradict themselves, so that a host learns of it at its start. */
  public DeliverySettings {
    require(courierCount >= 1, "a fleet has at least one courier, not " + courierCount);
    require(
        limits.concurrencyLimit() >= 1,
        "a courier needs at least one slot, not " + limits.concurrencyLimit());
    require(
        limits.maxPendingMessages() >= 1,
        "a store holds at least one message, not " + limits.maxPendingMessages());
    require(
        limits.maxAttempts() >= 1,
        "a message needs at least one attempt, not " + limits.maxAttempts());
    require(
        guarantees.overloadMultiple() > 0,
        "a tipping multiple is above 0, not " + guarantees.overloadMultiple());
    for (final MessageClass kind : classes) {
      require(
          kind.latencyObjectiveUs() <= kind.deadlineUs(),
          kind.name() + ": its aim is later than its deadline");
    }
  }

  private static void require(final boolean kept, final String problem) {
    if (!kept) {
      throw new IllegalArgumentException(problem);
    }
  }
}

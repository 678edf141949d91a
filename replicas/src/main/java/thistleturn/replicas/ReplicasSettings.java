package thistleturn.replicas;

import thistleturn.decisions.replicas.ReplicationSettings;

/**
 * How a courier takes part in holding the fleet's state.
 *
 * @param rules times and bounds
 * @param maintenance endpoints that are left out by hand here are left out by all
 * @param waits a wait that was told to one courier binds all
 * @param outages destinations found out by one are out for all, and return once for all
 * @param limits rates that were told to one count for all
 */
public record ReplicasSettings(
    ReplicationSettings rules,
    boolean maintenance,
    boolean waits,
    boolean outages,
    boolean limits) {}

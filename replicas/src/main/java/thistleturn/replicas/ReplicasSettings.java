package thistleturn.replicas;

import thistleturn.decisions.replicas.ReplicationSettings;

/**
 * How a courier takes part in holding the fleet's state.
 *
 * @param exchangeSettings times and bounds
 * @param sharesDisabledEndpoints endpoints that are left out by hand here are left out by all
 * @param sharesRetryAfter a wait that was told to one courier binds all
 * @param sharesOutages destinations found out by one are out for all, and return once for all
 * @param sharesRateLimits rates that were told to one count for all
 */
public record ReplicasSettings(
    ReplicationSettings exchangeSettings,
    boolean sharesDisabledEndpoints,
    boolean sharesRetryAfter,
    boolean sharesOutages,
    boolean sharesRateLimits) {}

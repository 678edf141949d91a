package thistleturn.replicas;

import thistleturn.decisions.replicas.ReplicationSettings;

/**
 * What a courier shares with the other couriers of its fleet.
 *
 * @param replicationSettings intervals and bounds of the replication protocol
 * @param sharesDisabledEndpoints an endpoint that an operator disables at one courier is disabled
 *     at all
 * @param sharesRetryAfter a wait that a destination asks of one courier applies to all
 * @param sharesOutages a destination that one courier finds unavailable is so for all, and its
 *     recovery has one time for all
 * @param sharesRateLimits a rate limit that a destination reports to one courier applies to all
 */
public record ReplicasSettings(
    ReplicationSettings replicationSettings,
    boolean sharesDisabledEndpoints,
    boolean sharesRetryAfter,
    boolean sharesOutages,
    boolean sharesRateLimits) {}

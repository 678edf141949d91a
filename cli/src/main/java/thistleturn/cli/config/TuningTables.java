package thistleturn.cli.config;

import thistleturn.courier.runtime.CourierOptions;

/** Reads the tables that size a courier: {@code [front]}, {@code [shards]} and {@code [memory]}. */
final class TuningTables {
  /** Leaves the process a twentieth of its descriptors for everything else. */
  private static final double MAX_SOCKET_SHARE = 0.95;

  private static final int MAX_SHARDS = 64;

  private TuningTables() {}

  /** The courier's options, with the platform's defaults for each table that is off. */
  static CourierOptions tuning(
      final StrictTable front, final StrictTable shards, final StrictTable memory) {
    final CourierOptions defaults = CourierOptions.platformDefaults();
    final boolean frontEnabled = front.flag("enabled", false);
    final long idleTimeoutUs = front.durationUs("idle", "10s", "1s", "24h");
    final double clientShare = front.fraction("clients", defaults.clientDescriptorShare());
    final double endpointShare = front.fraction("endpoints", defaults.endpointDescriptorShare());
    front.rejectUnknownKeys();
    final int shardCount = shardCount(shards);
    final boolean memoryEnabled = memory.flag("enabled", false);
    memory.rejectUnknownKeys();
    if (clientShare <= 0 || endpointShare <= 0 || clientShare + endpointShare > MAX_SOCKET_SHARE) {
      throw front.invalid(
          "clients",
          clientShare,
          "shares above 0 that leave the process a twentieth of its descriptors, "
              + "clients and endpoints together at most "
              + MAX_SOCKET_SHARE);
    }
    return frontEnabled
        ? new CourierOptions(idleTimeoutUs, clientShare, endpointShare, shardCount, memoryEnabled)
        : new CourierOptions(
            defaults.clientIdleTimeoutUs(),
            defaults.clientDescriptorShare(),
            defaults.endpointDescriptorShare(),
            shardCount,
            memoryEnabled);
  }

  private static int shardCount(final StrictTable shards) {
    final boolean enabled = shards.flag("enabled", false);
    final int count = shards.integer("count", 1, 1, MAX_SHARDS);
    shards.rejectUnknownKeys();
    return enabled ? count : 1;
  }
}

package thistleturn.cli.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.peers.PeersSettings;
import thistleturn.replicas.ReplicasSettings;

/**
 * Reads the tables of a courier that is a member of a fleet: {@code [peers]}, {@code [replicas]}.
 */
final class FleetTables {
  private FleetTables() {}

  /** The settings of {@code [peers]}, or null if it is off. */
  static PeersSettings peers(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final String listen = table.text("listen", "127.0.0.1:7081");
    final List<String> seeds = table.texts("seeds", false);
    final String fleetKey = table.text("fleet-key", enabled ? null : "unset");
    final long deathTimeoutUs = table.durationUs("dead-after", "8s", "4s", "1h");
    final Map<String, String> relays = relays(table);
    table.rejectUnknownKeys();
    final InetSocketAddress address = listenAddress(table, listen);
    checkSeeds(table, seeds);
    if (enabled && fleetKey.length() < PeersSettings.MIN_KEY_LENGTH) {
      throw table.invalid(
          "fleet-key",
          "(" + fleetKey.length() + " letters)",
          "a text of at least " + PeersSettings.MIN_KEY_LENGTH + " letters");
    }
    if (!enabled) {
      return null;
    }
    final GossipSettings gossip = GossipSettings.defaults().withDeathTimeoutUs(deathTimeoutUs);
    return new PeersSettings(address, seeds, fleetKey, gossip, relays);
  }

  /** Maps a peer's address to the address of the relay through which it is reached. */
  private static Map<String, String> relays(final StrictTable table) {
    final Map<String, String> relays = new HashMap<>();
    for (final String entry : table.texts("via", false)) {
      final String[] sides = entry.split("=", 2);
      if (sides.length != 2
          || LoopbackAddress.parse(sides[0]) == null
          || LoopbackAddress.parse(sides[1]) == null) {
        throw table.invalid(
            "via",
            StrictTable.quoted(entry),
            "ADDRESS=ADDRESS, such as 127.0.0.1:7082=127.0.0.1:9082");
      }
      relays.put(sides[0], sides[1]);
    }
    return relays;
  }

  private static InetSocketAddress listenAddress(final StrictTable table, final String listen) {
    final InetSocketAddress address = LoopbackAddress.parse(listen);
    if (address == null || address.getPort() == 0) {
      throw table.invalid(
          "listen",
          StrictTable.quoted(listen),
          "a loopback address with its port, such as 127.0.0.1:7081");
    }
    return address;
  }

  private static void checkSeeds(final StrictTable table, final List<String> seeds) {
    for (final String seed : seeds) {
      if (LoopbackAddress.parse(seed) == null) {
        throw table.invalid(
            "seeds",
            StrictTable.quoted(seed),
            "loopback addresses with their ports, such as 127.0.0.1:7081");
      }
    }
  }

  /** The settings of {@code [replicas]}, or null if it is off; it needs {@code [peers]}. */
  static ReplicasSettings replicas(final StrictTable table, final PeersSettings peers) {
    final boolean enabled = table.flag("enabled", false);
    final boolean maintenance = table.flag("maintenance", true);
    final boolean waits = table.flag("waits", true);
    final boolean outages = table.flag("outages", true);
    final boolean limits = table.flag("limits", true);
    table.rejectUnknownKeys();
    if (enabled && peers == null) {
      throw table.invalid(
          "enabled",
          true,
          "peers.enabled = true as well, since the replicas are exchanged between peers");
    }
    return enabled
        ? new ReplicasSettings(ReplicationSettings.defaults(), maintenance, waits, outages, limits)
        : null;
  }
}

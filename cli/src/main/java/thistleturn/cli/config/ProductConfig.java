package thistleturn.cli.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersSettings;
import thistleturn.replicas.ReplicasSettings;

/**
 * The product's own settings, from a TOML file. A subsystem is off unless its table has {@code
 * enabled = true}; the table of a disabled subsystem is validated as well.
 *
 * @param admin where the admin server listens, or null if it is off
 * @param membership registries in addition to the platform's endpoint list, or null if they are off
 * @param peers the fleet of which the courier is a member, or null if it runs alone
 * @param replicas how the courier replicates the fleet's state, or null if it does not
 * @param tuning limits and sizes of the courier
 */
public record ProductConfig(
    InetSocketAddress admin,
    MembershipSettings membership,
    PeersSettings peers,
    ReplicasSettings replicas,
    CourierOptions tuning) {

  /** The settings without a file: every subsystem is off. */
  public static ProductConfig off() {
    return new ProductConfig(null, null, null, null, CourierOptions.platformDefaults());
  }

  /**
   * Reads a settings file.
   *
   * @throws InvalidSettingException if the file cannot be read or used
   */
  public static ProductConfig read(final Path path) {
    final String file = path.toString();
    final StrictTable root = new StrictTable(file, "", parse(path));
    final InetSocketAddress admin = admin(root.table("admin"));
    final MembershipSettings membership = MembershipTables.membership(root.table("membership"));
    final PeersSettings peers = FleetTables.peers(root.table("peers"));
    final ReplicasSettings replicas = FleetTables.replicas(root.table("replicas"), peers);
    final CourierOptions tuning =
        TuningTables.tuning(root.table("front"), root.table("shards"), root.table("memory"));
    root.rejectUnknownKeys();
    return new ProductConfig(admin, membership, peers, replicas, tuning);
  }

  private static JsonNode parse(final Path path) {
    try {
      return new TomlMapper().readTree(Files.readString(path));
    } catch (final JsonProcessingException e) {
      throw new InvalidSettingException(
          path + ": line " + e.getLocation().getLineNr() + ": no TOML: " + e.getOriginalMessage(),
          e);
    } catch (final IOException e) {
      throw new InvalidSettingException(path + ": cannot be read: " + e.getMessage(), e);
    }
  }

  private static InetSocketAddress admin(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final String listen = table.text("listen", "127.0.0.1:7071");
    table.rejectUnknownKeys();
    final InetSocketAddress address = LoopbackAddress.parse(listen);
    if (address == null) {
      throw table.invalid(
          "listen",
          StrictTable.quoted(listen),
          "a loopback address with its port, such as 127.0.0.1:7071");
    }
    return enabled ? address : null;
  }
}

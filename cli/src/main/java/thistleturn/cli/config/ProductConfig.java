package thistleturn.cli.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thistleturn.courier.CourierOptions;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.eureka.MetadataNames;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.eureka.RegistrySettings;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersSettings;
import thistleturn.replicas.ReplicasSettings;

/**
 * The product's own settings, from a TOML file. Every subsystem is off unless its table says {@code
 * enabled = true}; a table that is there is checked all the same.
 *
 * @param admin where operators ask a running courier, or null
 * @param membership registries beside the platform's list, or null
 * @param peers the fleet that it belongs to, or null
 * @param replicas how it takes part in holding the fleet's state, or null
 * @param tuning how large the courier is made
 */
public record ProductConfig(
    InetSocketAddress admin,
    MembershipSettings membership,
    PeersSettings peers,
    ReplicasSettings replicas,
    CourierOptions tuning) {
  private static final Pattern URL =
      Pattern.compile("http://([^/:\\s]+):(\\d{1,5})((?:/[^\\s?#]*)?)");
  private static final Pattern SCOPE = Pattern.compile("(apps|vips|svips)/[A-Za-z0-9._-]+");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
  private static final int MOST_PORT = 65_535;
  private static final double MOST_SOCKET_SHARE = 0.95;

  /** Everything off. */
  public static ProductConfig off() {
    return new ProductConfig(null, null, null, null, CourierOptions.platformDefaults());
  }

  /**
   * Reads a file.
   *
   * @throws IllegalArgumentException if it cannot be read or used; one line that names file, key,
   *     value and what was expected
   */
  public static ProductConfig read(final Path path) {
    final String file = path.toString();
    final JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(path));
    } catch (final JsonProcessingException e) {
      throw new IllegalArgumentException(
          file + ": line " + e.getLocation().getLineNr() + ": no TOML: " + e.getOriginalMessage(),
          e);
    } catch (final IOException e) {
      throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage(), e);
    }
    final StrictTable table = new StrictTable(file, "", root);
    final InetSocketAddress admin = admin(table.table("admin"));
    final MembershipSettings membership = membership(table.table("membership"));
    final PeersSettings peers = peers(table.table("peers"));
    final ReplicasSettings replicas = replicas(table.table("replicas"), peers);
    final CourierOptions tuning =
        tuning(table.table("front"), table.table("shards"), table.table("memory"));
    table.finish();
    return new ProductConfig(admin, membership, peers, replicas, tuning);
  }

  private static CourierOptions tuning(
      final StrictTable front, final StrictTable shards, final StrictTable memory) {
    final CourierOptions platform = CourierOptions.platformDefaults();
    final boolean ownFront = front.flag("enabled", false);
    final long idleUs = front.durationUs("idle", "10s", "1s", "24h");
    final double clients = front.share("clients", platform.clientDescriptorShare());
    final double endpoints = front.share("endpoints", platform.endpointDescriptorShare());
    front.finish();
    final boolean several = shards.flag("enabled", false);
    final int count = shards.whole("count", 1, 1, 64);
    shards.finish();
    final boolean remembers = memory.flag("enabled", false);
    memory.finish();
    if (clients <= 0 || endpoints <= 0 || clients + endpoints > MOST_SOCKET_SHARE) {
      throw front.wrong(
          "clients",
          clients,
          "shares above 0 that leave the process a twentieth of its descriptors, "
              + "clients and endpoints together at most "
              + MOST_SOCKET_SHARE);
    }
    final CourierOptions sized =
        ownFront ? new CourierOptions(idleUs, clients, endpoints, 1, remembers) : platform;
    return new CourierOptions(
        sized.clientIdleTimeoutUs(),
        sized.clientDescriptorShare(),
        sized.endpointDescriptorShare(),
        several ? count : 1,
        remembers);
  }

  private static InetSocketAddress admin(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final String listen = table.text("listen", "127.0.0.1:7071");
    table.finish();
    final InetSocketAddress address = loopback(listen);
    if (address == null) {
      throw table.wrong(
          "listen", '"' + listen + '"', "a loopback address with its port, such as 127.0.0.1:7071");
    }
    return enabled ? address : null;
  }

  /** The address that a text names, or null if that is none on loopback. */
  private static InetSocketAddress loopback(final String text) {
    try {
      final InetSocketAddress address = CourierConfig.parseAddress("listen", text);
      return !address.isUnresolved() && address.getAddress().isLoopbackAddress() ? address : null;
    } catch (final IllegalArgumentException e) {
      return null;
    }
  }

  private static PeersSettings peers(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final String listen = table.text("listen", "127.0.0.1:7081");
    final List<String> seeds = table.texts("seeds", false);
    final String key = table.text("fleet-key", enabled ? null : "unset");
    final long deadUs = table.durationUs("dead-after", "8s", "4s", "1h");
    final Map<String, String> via = new HashMap<>();
    for (final String one : table.texts("via", false)) {
      final String[] sides = one.split("=", 2);
      if (sides.length != 2 || loopback(sides[0]) == null || loopback(sides[1]) == null) {
        throw table.wrong(
            "via", '"' + one + '"', "ADDRESS=ADDRESS, such as 127.0.0.1:7082=127.0.0.1:9082");
      }
      via.put(sides[0], sides[1]);
    }
    table.finish();
    final InetSocketAddress address = loopback(listen);
    if (address == null || address.getPort() == 0) {
      throw table.wrong(
          "listen", '"' + listen + '"', "a loopback address with its port, such as 127.0.0.1:7081");
    }
    for (final String seed : seeds) {
      if (loopback(seed) == null) {
        throw table.wrong(
            "seeds",
            '"' + seed + '"',
            "loopback addresses with their ports, such as 127.0.0.1:7081");
      }
    }
    if (enabled && key.length() < PeersSettings.MIN_KEY_LENGTH) {
      throw table.wrong(
          "fleet-key",
          "(" + key.length() + " letters)",
          "a text of at least " + PeersSettings.MIN_KEY_LENGTH + " letters");
    }
    return enabled
        ? new PeersSettings(
            address, seeds, key, GossipSettings.defaults().withDeathTimeoutUs(deadUs), via)
        : null;
  }

  private static ReplicasSettings replicas(final StrictTable table, final PeersSettings peers) {
    final boolean enabled = table.flag("enabled", false);
    final boolean maintenance = table.flag("maintenance", true);
    final boolean waits = table.flag("waits", true);
    final boolean outages = table.flag("outages", true);
    final boolean limits = table.flag("limits", true);
    table.finish();
    if (enabled && peers == null) {
      throw table.wrong(
          "enabled",
          true,
          "peers.enabled = true beside it: what is held by the fleet travels with peers");
    }
    return enabled
        ? new ReplicasSettings(ReplicationSettings.defaults(), maintenance, waits, outages, limits)
        : null;
  }

  private static MembershipSettings membership(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final long disagreementUs = table.durationUs("disagreement", "60s", "0s", "1h");
    final long staleUseUs = table.durationUs("stale-use", "15m", "1s", "24h");
    final long doubtUs = table.durationUs("doubt", "10m", "1s", "24h");
    final double shrinkShare = table.share("shrink-share", 0.15);
    final long calmUs = table.durationUs("calm", "60s", "0s", "1h");
    final long firstHoldUs = table.durationUs("first-hold", "5s", "0s", "1h");
    final long mostHoldUs = table.durationUs("most-hold", "60s", "0s", "1h");
    final int mostEntries = table.whole("most-entries", 20_000, 1, 1_000_000);
    if (staleUseUs < disagreementUs) {
      throw table.wrong(
          "stale-use",
          staleUseUs / 1000 + "ms",
          "at least membership.disagreement (" + disagreementUs / 1000 + "ms)");
    }
    if (mostHoldUs < firstHoldUs) {
      throw table.wrong(
          "most-hold",
          mostHoldUs / 1000 + "ms",
          "at least membership.first-hold (" + firstHoldUs / 1000 + "ms)");
    }
    final List<RegistrySettings> registries = new ArrayList<>();
    final Set<String> names = new HashSet<>();
    for (final StrictTable one : table.tables("registries")) {
      final RegistrySettings registry = registry(one, staleUseUs);
      if (!names.add(registry.name()) || registry.name().equals("discovery")) {
        throw one.wrong("name", '"' + registry.name() + '"', "a name that no other source has");
      }
      registries.add(registry);
    }
    final RegistrationSettings registration = registration(table.table("registration"), registries);
    table.finish();
    if (enabled && registries.isEmpty()) {
      throw table.wrong("enabled", true, "at least one [[membership.registries]]");
    }
    if (!enabled && registration != null) {
      throw table.wrong("enabled", false, "true, since membership.registration.enabled is");
    }
    return enabled
        ? new MembershipSettings(
            new MergeSettings(
                disagreementUs,
                staleUseUs,
                doubtUs,
                shrinkShare,
                calmUs,
                firstHoldUs,
                mostHoldUs,
                mostEntries),
            registries,
            registration)
        : null;
  }

  private static RegistrySettings registry(final StrictTable table, final long staleUseUs) {
    final String name = table.text("name", null);
    if (!NAME.matcher(name).matches()) {
      throw table.wrong(
          "name", '"' + name + '"', "up to 64 letters, figures, dots, dashes and underscores");
    }
    final List<RegistrySettings.Address> addresses = new ArrayList<>();
    for (final String url : table.texts("urls", true)) {
      addresses.add(address(table, url));
    }
    final List<String> scope = table.texts("scope", false);
    for (final String one : scope) {
      if (!SCOPE.matcher(one).matches()) {
        throw table.wrong("scope", '"' + one + '"', "apps/NAME, vips/NAME or svips/NAME");
      }
    }
    final long periodUs = table.durationUs("period", "30s", "100ms", "1h");
    final long mostBackOffUs = table.durationUs("most-back-off", "60s", "100ms", "1h");
    final long answerUs = table.durationUs("answer-timeout", "10s", "100ms", "5m");
    final long mostBytes = table.bytes("most-bytes", "32MiB", "1KiB", "512MiB");
    final boolean deltas = table.flag("deltas", true);
    final StrictTable metadata = table.table("metadata");
    final MetadataNames standard = MetadataNames.standard();
    final MetadataNames names =
        new MetadataNames(
            metadata.text("destination", standard.destination()),
            metadata.text("kind", standard.kind()),
            metadata.text("zone", standard.zone()),
            metadata.text("rate", standard.rate()));
    metadata.finish();
    table.finish();
    if (periodUs >= staleUseUs) {
      throw table.wrong(
          "period",
          periodUs / 1000 + "ms",
          "less than membership.stale-use (" + staleUseUs / 1000 + "ms)");
    }
    return new RegistrySettings(
        name, addresses, scope, periodUs, mostBackOffUs, answerUs, mostBytes, deltas, names);
  }

  private static RegistrySettings.Address address(final StrictTable table, final String url) {
    final Matcher matcher = URL.matcher(url);
    if (matcher.matches()) {
      final int port = Integer.parseInt(matcher.group(2));
      final String host = matcher.group(1).equals("localhost") ? "127.0.0.1" : matcher.group(1);
      if (port >= 1 && port <= MOST_PORT && host.matches("[0-9.]+")) {
        return new RegistrySettings.Address(
            new InetSocketAddress(host, port), matcher.group(3).replaceAll("/+$", ""));
      }
    }
    throw table.wrong(
        "urls",
        '"' + url + '"',
        "http://ADDRESS:PORT/PATH with an address in figures, since there "
            + "are no name look-ups, such as http://127.0.0.1:8761/eureka");
  }

  private static RegistrationSettings registration(
      final StrictTable table, final List<RegistrySettings> registries) {
    final boolean enabled = table.flag("enabled", false);
    final String registry =
        table.text("registry", registries.isEmpty() ? "-" : registries.get(0).name());
    final String app = table.text("app", "THISTLETURN");
    final String vip = table.text("vip", "thistleturn");
    final long renewUs = table.durationUs("renew", "30s", "1s", "10m");
    final long leaseUs = table.durationUs("lease", "90s", "1s", "1h");
    table.finish();
    if (!NAME.matcher(app).matches()) {
      throw table.wrong(
          "app", '"' + app + '"', "up to 64 letters, figures, dots, dashes and underscores");
    }
    if (leaseUs <= renewUs) {
      throw table.wrong(
          "lease",
          leaseUs / 1000 + "ms",
          "more than membership.registration.renew (" + renewUs / 1000 + "ms)");
    }
    if (!enabled) {
      return null;
    }
    final RegistrySettings at =
        registries.stream()
            .filter(one -> one.name().equals(registry))
            .findFirst()
            .orElseThrow(
                () ->
                    table.wrong(
                        "registry",
                        '"' + registry + '"',
                        "the name of one of [[membership.registries]]"));
    return new RegistrationSettings(at.addresses(), app, vip, renewUs, leaseUs);
  }
}

package thistleturn.cli.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.MetadataNames;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.eureka.RegistrySettings;
import thistleturn.membership.MembershipSettings;

/** Reads {@code [membership]}, its registries and the courier's own registration. */
final class MembershipTables {
  private static final Pattern URL =
      Pattern.compile("http://([^/:\\s]+):(\\d{1,5})((?:/[^\\s?#]*)?)");
  private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+");
  private static final Pattern SCOPE = Pattern.compile("(apps|vips|svips)/[A-Za-z0-9._-]+");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
  private static final String NAME_EXPECTED =
      "up to 64 letters, digits, dots, dashes and underscores";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_ENTRIES_LIMIT = 1_000_000;

  /** The name of the platform's own endpoint list, which is reserved. */
  private static final String PLATFORM_SOURCE = "discovery";

  private MembershipTables() {}

  /** The settings of {@code [membership]}, or null if it is off. */
  static MembershipSettings membership(final StrictTable table) {
    final boolean enabled = table.flag("enabled", false);
    final MergeSettings merge = mergeSettings(table);
    final List<RegistrySettings> registries = registries(table, merge.staleAfterUs());
    final RegistrationSettings registration = registration(table.table("registration"), registries);
    table.rejectUnknownKeys();
    if (enabled && registries.isEmpty()) {
      throw table.invalid("enabled", true, "at least one [[membership.registries]]");
    }
    if (!enabled && registration != null) {
      throw table.invalid("enabled", false, "true, since membership.registration.enabled is");
    }
    return enabled ? new MembershipSettings(merge, registries, registration) : null;
  }

  private static MergeSettings mergeSettings(final StrictTable table) {
    final long conflictWindowUs = table.durationUs("disagreement", "60s", "0s", "1h");
    final long staleAfterUs = table.durationUs("stale-use", "15m", "1s", "24h");
    final long absenceGraceUs = table.durationUs("doubt", "10m", "1s", "24h");
    final double plausibleLossRatio = table.fraction("shrink-share", 0.15);
    final long stableAfterUs = table.durationUs("calm", "60s", "0s", "1h");
    final long initialHoldDownUs = table.durationUs("first-hold", "5s", "0s", "1h");
    final long maxHoldDownUs = table.durationUs("most-hold", "60s", "0s", "1h");
    final int maxEntriesPerSource = table.integer("most-entries", 20_000, 1, MAX_ENTRIES_LIMIT);
    if (staleAfterUs < conflictWindowUs) {
      throw table.invalid(
          "stale-use",
          StrictTable.milliseconds(staleAfterUs),
          "at least membership.disagreement (" + StrictTable.milliseconds(conflictWindowUs) + ")");
    }
    if (maxHoldDownUs < initialHoldDownUs) {
      throw table.invalid(
          "most-hold",
          StrictTable.milliseconds(maxHoldDownUs),
          "at least membership.first-hold (" + StrictTable.milliseconds(initialHoldDownUs) + ")");
    }
    return new MergeSettings(
        conflictWindowUs,
        staleAfterUs,
        absenceGraceUs,
        plausibleLossRatio,
        stableAfterUs,
        initialHoldDownUs,
        maxHoldDownUs,
        maxEntriesPerSource);
  }

  private static List<RegistrySettings> registries(
      final StrictTable table, final long staleAfterUs) {
    final List<RegistrySettings> registries = new ArrayList<>();
    final Set<String> names = new HashSet<>();
    for (final StrictTable registryTable : table.tables("registries")) {
      final RegistrySettings registry = registry(registryTable, staleAfterUs);
      if (!names.add(registry.name()) || registry.name().equals(PLATFORM_SOURCE)) {
        throw registryTable.invalid(
            "name", StrictTable.quoted(registry.name()), "a name that no other source has");
      }
      registries.add(registry);
    }
    return registries;
  }

  private static RegistrySettings registry(final StrictTable table, final long staleAfterUs) {
    final String name = table.text("name", null);
    checkName(table, "name", name);
    final List<RegistrySettings.Address> addresses = new ArrayList<>();
    for (final String url : table.texts("urls", true)) {
      addresses.add(address(table, url));
    }
    final List<String> scope = scope(table);
    final long pollIntervalUs = table.durationUs("period", "30s", "100ms", "1h");
    final long maxBackoffUs = table.durationUs("most-back-off", "60s", "100ms", "1h");
    final long responseTimeoutUs = table.durationUs("answer-timeout", "10s", "100ms", "5m");
    final long maxResponseBytes = table.bytes("most-bytes", "32MiB", "1KiB", "512MiB");
    final boolean deltas = table.flag("deltas", true);
    final MetadataNames metadata = metadataNames(table.table("metadata"));
    table.rejectUnknownKeys();
    if (pollIntervalUs >= staleAfterUs) {
      throw table.invalid(
          "period",
          StrictTable.milliseconds(pollIntervalUs),
          "less than membership.stale-use (" + StrictTable.milliseconds(staleAfterUs) + ")");
    }
    return new RegistrySettings(
        name,
        addresses,
        scope,
        pollIntervalUs,
        maxBackoffUs,
        responseTimeoutUs,
        maxResponseBytes,
        deltas,
        metadata);
  }

  private static void checkName(final StrictTable table, final String key, final String name) {
    if (!NAME.matcher(name).matches()) {
      throw table.invalid(key, StrictTable.quoted(name), NAME_EXPECTED);
    }
  }

  private static List<String> scope(final StrictTable table) {
    final List<String> scope = table.texts("scope", false);
    for (final String path : scope) {
      if (!SCOPE.matcher(path).matches()) {
        throw table.invalid(
            "scope", StrictTable.quoted(path), "apps/NAME, vips/NAME or svips/NAME");
      }
    }
    return scope;
  }

  private static MetadataNames metadataNames(final StrictTable table) {
    final MetadataNames defaults = MetadataNames.standard();
    final MetadataNames names =
        new MetadataNames(
            table.text("destination", defaults.destination()),
            table.text("kind", defaults.kind()),
            table.text("zone", defaults.zone()),
            table.text("rate", defaults.rate()));
    table.rejectUnknownKeys();
    return names;
  }

  private static RegistrySettings.Address address(final StrictTable table, final String url) {
    final Matcher matcher = URL.matcher(url);
    if (matcher.matches()) {
      final int port = Integer.parseInt(matcher.group(2));
      final String host = matcher.group(1).equals("localhost") ? "127.0.0.1" : matcher.group(1);
      if (port >= 1 && port <= MAX_PORT && NUMERIC_HOST.matcher(host).matches()) {
        return new RegistrySettings.Address(
            new InetSocketAddress(host, port), matcher.group(3).replaceAll("/+$", ""));
      }
    }
    throw table.invalid(
        "urls",
        StrictTable.quoted(url),
        "http://ADDRESS:PORT/PATH with a numeric address (host names "
            + "are not resolved), such as http://127.0.0.1:8761/eureka");
  }

  private static RegistrationSettings registration(
      final StrictTable table, final List<RegistrySettings> registries) {
    final boolean enabled = table.flag("enabled", false);
    final String registryName =
        table.text("registry", registries.isEmpty() ? "-" : registries.get(0).name());
    final String app = table.text("app", "THISTLETURN");
    final String vip = table.text("vip", "thistleturn");
    final long renewalIntervalUs = table.durationUs("renew", "30s", "1s", "10m");
    final long leaseUs = table.durationUs("lease", "90s", "1s", "1h");
    table.rejectUnknownKeys();
    checkName(table, "app", app);
    if (leaseUs <= renewalIntervalUs) {
      throw table.invalid(
          "lease",
          StrictTable.milliseconds(leaseUs),
          "more than membership.registration.renew ("
              + StrictTable.milliseconds(renewalIntervalUs)
              + ")");
    }
    if (!enabled) {
      return null;
    }
    final RegistrySettings registry =
        registries.stream()
            .filter(candidate -> candidate.name().equals(registryName))
            .findFirst()
            .orElseThrow(
                () ->
                    table.invalid(
                        "registry",
                        StrictTable.quoted(registryName),
                        "the name of one of [[membership.registries]]"));
    return new RegistrationSettings(registry.addresses(), app, vip, renewalIntervalUs, leaseUs);
  }
}

package thistleturn.eureka;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * One registry, at one address or several that stand for each other.
 *
 * @param name by which operators know it; unlike any other's
 * @param addresses in order of preference, at least one
 * @param scope what is asked for: {@code apps/NAME} or {@code vips/NAME} each, or nothing for all
 * @param periodUs between two questions that went well
 * @param mostBackOffUs the longest pause after all addresses failed
 * @param answerUs how long a whole answer may take
 * @param mostBytes how long it may be
 * @param deltas whether changes are asked for between whole answers (for all only)
 */
public record RegistrySettings(
    String name,
    List<Address> addresses,
    List<String> scope,
    long periodUs,
    long mostBackOffUs,
    long answerUs,
    long mostBytes,
    boolean deltas,
    MetadataNames metadata) {

  /** Where a registry is: {@code http://HOST:PORT/PATH}, with a host in figures. */
  public record Address(InetSocketAddress at, String path) {}

  /** Copies what could change. */
  public RegistrySettings {
    addresses = List.copyOf(addresses);
    scope = List.copyOf(scope);
  }
}

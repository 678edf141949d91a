package thistleturn.eureka;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * One registry, which may have several addresses with equal content.
 *
 * @param name the name shown to operators; unique among all sources
 * @param addresses in order of preference, at least one
 * @param scope the paths to poll, {@code apps/NAME}, {@code vips/NAME} or {@code svips/NAME} each;
 *     empty for all instances
 * @param pollIntervalUs between successful polls
 * @param maxBackoffUs the longest pause after all addresses failed
 * @param responseTimeoutUs how long a complete response may take
 * @param maxResponseBytes the longest response that is accepted
 * @param deltas whether to poll for deltas between complete responses; ignored with a scope
 * @param metadata the metadata fields that describe an endpoint
 */
public record RegistrySettings(
    String name,
    List<Address> addresses,
    List<String> scope,
    long pollIntervalUs,
    long maxBackoffUs,
    long responseTimeoutUs,
    long maxResponseBytes,
    boolean deltas,
    MetadataNames metadata) {

  /**
   * One address of a registry: {@code http://HOST:PORT/PATH} with a numeric host.
   *
   * @param socketAddress host and port
   * @param path the prefix of all paths, without a trailing slash
   */
  public record Address(InetSocketAddress socketAddress, String path) {}

  /** Copies the lists. */
  public RegistrySettings {
    addresses = List.copyOf(addresses);
    scope = List.copyOf(scope);
  }
}

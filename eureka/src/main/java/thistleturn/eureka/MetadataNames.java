package thistleturn.eureka;

/**
 * The names of the metadata from which destination, kind, zone and rate (calls a second) are read.
 */
public record MetadataNames(String destination, String kind, String zone, String rate) {
  /**
   * {@code thistleturn.destination}, {@code thistleturn.kind}, {@code zone}, {@code
   * thistleturn.rate}.
   */
  public static MetadataNames standard() {
    return new MetadataNames(
        "thistleturn.destination", "thistleturn.kind", "zone", "thistleturn.rate");
  }
}

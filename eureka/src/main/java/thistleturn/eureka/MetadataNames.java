package thistleturn.eureka;

/**
 * The names of the metadata fields that describe an instance as an endpoint.
 *
 * @param destination the field with the number of the destination that it serves
 * @param kind the field with its kind
 * @param zone the field with its zone
 * @param rate the field with its rate, in calls per second
 */
public record MetadataNames(String destination, String kind, String zone, String rate) {
  /** The names that are used unless the settings file has others. */
  public static MetadataNames standard() {
    return new MetadataNames(
        "thistleturn.destination", "thistleturn.kind", "zone", "thistleturn.rate");
  }
}

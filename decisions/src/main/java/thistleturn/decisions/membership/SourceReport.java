package thistleturn.decisions.membership;

/**
 * What a source says of one instance. {@code instanceId} is its id in that source; {@code address}
 * where it is called, in one spelling for all sources; {@code ratePerSecond} what its destination
 * takes from all couriers, 0 if that is not told. {@code version} grows with each change that the
 * instance itself makes (0 where the source has none): a word that is older than one heard already
 * may warn, but not reassure.
 */
public record SourceReport(
    String instanceId,
    String address,
    long destination,
    String zone,
    String kind,
    double ratePerSecond,
    ReportedStatus status,
    long version) {}

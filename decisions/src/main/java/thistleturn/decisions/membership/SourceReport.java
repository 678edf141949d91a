package thistleturn.decisions.membership;

/**
 * A source's report on one instance.
 *
 * @param instanceId the instance's id in that source
 * @param address the address at which it is called, in one spelling for all sources
 * @param destination the destination that it serves
 * @param zone its zone; empty if unknown
 * @param kind its kind, by name; empty if unknown
 * @param ratePerSecond the calls a second that its destination takes from all couriers together; 0
 *     if that is not reported
 * @param status whether it may be used
 * @param version increases with each change that the instance itself makes; 0 if the source has no
 *     versions. A report older than the known one may warn, but not clear a warning
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

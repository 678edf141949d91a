package thistleturn.decisions.membership;

/**
 * An endpoint as merged from the reports of all sources.
 *
 * @param address the address at which it is called
 * @param destination the destination that it serves
 * @param zone its zone; empty if unknown
 * @param kind its kind, by name; empty if unknown
 * @param ratePerSecond the calls a second that its destination takes; 0 if unknown
 * @param state whether new calls may be sent to it
 * @param reason why it is in that state
 * @param decidedBy the source whose report decided; empty if none did
 * @param lastResponseUs when that source last responded
 * @param stateSinceUs when the endpoint entered that state
 */
public record MergedEndpoint(
    String address,
    long destination,
    String zone,
    String kind,
    double ratePerSecond,
    State state,
    StateReason reason,
    String decidedBy,
    long lastResponseUs,
    long stateSinceUs) {

  /** Whether calls may be sent to an endpoint. The names are part of the operators' JSON. */
  public enum State {
    /** New calls may be sent. */
    UP,
    /** No new calls may be sent; calls in flight complete. */
    DRAINING,
    /** The endpoint is no longer there. */
    GONE
  }

  /** Returns the endpoint's name, which is constant as long as it is in the view. */
  public String name() {
    return destination + "@" + address;
  }
}

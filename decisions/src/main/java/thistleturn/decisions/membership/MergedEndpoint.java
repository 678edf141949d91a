package thistleturn.decisions.membership;

/**
 * An endpoint as all sources together describe it.
 *
 * @param address where it is called
 * @param destination the destination that it serves
 * @param zone its zone; empty if unknown
 * @param kind its kind, by name; empty if unknown
 * @param ratePerSecond the calls a second that its destination takes; 0 if unknown
 * @param state what it means for sending
 * @param reason why it is in that state
 * @param decidedBy the source whose report decided; empty if none did
 * @param lastResponseUs when that source last responded
 * @param stateSinceUs since when the endpoint has been in that state
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

  /** What an endpoint's state means for sending. The names are part of the operators' JSON. */
  public enum State {
    /** New messages may be sent. */
    UP,
    /** Nothing new may be sent; calls in flight complete. */
    DRAINING,
    /** The endpoint is no longer there. */
    GONE
  }

  /** The endpoint's name, the same for as long as it is in the view. */
  public String name() {
    return destination + "@" + address;
  }
}

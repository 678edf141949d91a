package thistleturn.decisions.membership;

/**
 * An endpoint as all sources together have it. {@code decidedBy} is the source whose word counted,
 * empty if none; {@code lastResponseUs} when that source was last heard.
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

  /** What it means for sending. */
  public enum State {
    UP,
    DRAINING,
    GONE
  }

  /** Its name, the same for as long as it is in the view. */
  public String name() {
    return destination + "@" + address;
  }
}

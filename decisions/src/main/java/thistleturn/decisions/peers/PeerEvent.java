package thistleturn.decisions.peers;

/**
 * An event that is shown to operators as one log line.
 *
 * @param type the type of the event
 * @param peerName the peer concerned; empty if the event concerns this courier or its view
 * @param message the description of the event
 */
public record PeerEvent(Type type, String peerName, String message) {
  /** The types of events. */
  public enum Type {
    /** The state of a peer, or the incarnation of this courier, changed. */
    PEER_STATE,
    /** Another view was installed. */
    VIEW,
    /** The status of this courier in its fleet changed. */
    MEMBERSHIP_STATUS,
    /** This process was paused. */
    PROCESS_PAUSED,
    /** Another process uses this courier's name. */
    NAME_CONFLICT
  }
}

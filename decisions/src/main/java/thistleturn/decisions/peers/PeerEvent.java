package thistleturn.decisions.peers;

/**
 * Something that operators are notified of, one line each.
 *
 * @param type what happened
 * @param peerName to whom; empty: to this courier or its view
 * @param message what happened, in words
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
    /** This process did not run for a while. */
    PROCESS_PAUSED,
    /** Another process uses this courier's name. */
    NAME_CONFLICT
  }
}

package thistleturn.decisions.peers;

/**
 * Something that operators want to know, one line each.
 *
 * @param type what happened
 * @param peerName to whom; the empty text: to this courier or the view
 * @param message in words
 */
public record PeerEvent(Type type, String peerName, String message) {
  /** What happened. */
  public enum Type {
    PEER_STATE,
    VIEW,
    MEMBERSHIP_STATUS,
    PROCESS_PAUSED,
    NAME_CONFLICT
  }
}

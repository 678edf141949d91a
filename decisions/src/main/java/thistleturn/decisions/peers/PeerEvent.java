package thistleturn.decisions.peers;

/**
 * Something that operators want to know, one line each.
 *
 * @param kind what happened
 * @param who to whom; the empty text: to this courier or the view
 * @param text in words
 */
public record PeerEvent(Kind kind, String who, String text) {
  /** What happened. */
  public enum Kind {
    STATE,
    VIEW,
    STANDING,
    AWAY,
    CONFLICT
  }
}

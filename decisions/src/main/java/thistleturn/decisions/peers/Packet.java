package thistleturn.decisions.peers;

import java.util.List;

/**
 * One datagram.
 *
 * @param sender whose it is; null: somebody who only looks (a name in conflict)
 * @param address where the sender listens
 * @param seq counted by the sender, so that a doubled or old one is known
 * @param beat the sender's sign of life
 * @param view what the sender holds
 * @param said count of the sender's words so far
 * @param word the last of them
 * @param kind what it is for
 * @param echo of a PONG: the PING's seq; else 0
 * @param items what it tells
 */
public record Packet(
    PeerId sender,
    String address,
    long seq,
    long beat,
    ViewMark view,
    long said,
    PeerWord word,
    Kind kind,
    long echo,
    List<Item> items) {
  /**
   * Bytes of all items together that a datagram carries at most; the rest of 1,200 is for its head
   * and its seal.
   */
  public static final int MOST_ITEM_BYTES = 900;

  /** What a datagram is for. */
  public enum Kind {
    PING,
    PONG,
    NEWS
  }
}

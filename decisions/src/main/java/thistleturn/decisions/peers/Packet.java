package thistleturn.decisions.peers;

import java.util.List;

/**
 * One datagram.
 *
 * @param sender whose it is; null: somebody who only looks (a name in conflict)
 * @param address where the sender listens
 * @param sequence counted by the sender, so that a doubled or old one is known
 * @param heartbeat the sender's sign of life
 * @param viewId what the sender holds
 * @param statusVersion count of the sender's words so far
 * @param status the last of them
 * @param type what it is for
 * @param echoedSequence of a PONG: the PING's seq; else 0
 * @param items what it tells
 */
public record Packet(
    PeerId sender,
    String address,
    long sequence,
    long heartbeat,
    ViewId viewId,
    long statusVersion,
    PeerStatus status,
    Type type,
    long echoedSequence,
    List<GossipItem> items) {
  /**
   * Bytes of all items together that a datagram carries at most; the rest of 1,200 is for its head
   * and its seal.
   */
  public static final int MAX_ITEM_BYTES = 900;

  /** What a datagram is for. */
  public enum Type {
    PING,
    PONG,
    GOSSIP
  }
}

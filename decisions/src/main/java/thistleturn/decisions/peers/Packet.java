package thistleturn.decisions.peers;

import java.util.List;

/**
 * One datagram of the membership protocol.
 *
 * @param sender the sending incarnation; null: a process that only asks about a name
 * @param address on which the sender listens
 * @param sequence counted by the sender, which reveals duplicated and stale packets
 * @param heartbeat the sender's heartbeat count
 * @param viewId the view that the sender holds
 * @param statusVersion the version of the sender's status
 * @param status what the sender reports about itself
 * @param type of the packet
 * @param echoedSequence in a PONG the sequence of the PING; otherwise 0
 * @param items what the packet carries
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
   * Bytes of all items of a packet together; the rest of 1,200 is for its head and its
   * authentication.
   */
  public static final int MAX_ITEM_BYTES = 900;

  /** The types of packets. */
  public enum Type {
    /** Requests an answer. */
    PING,
    /** Answers a PING. */
    PONG,
    /** Requests no answer. */
    GOSSIP
  }
}

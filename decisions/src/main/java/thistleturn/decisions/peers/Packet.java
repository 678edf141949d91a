package thistleturn.decisions.peers;

import java.util.List;

/**
 * One datagram of the membership protocol.
 *
 * @param sender the sending incarnation, or null in an anonymous probe about a name
 * @param address the address on which the sender listens
 * @param sequence the sender's packet count, by which duplicated and stale packets are detected
 * @param heartbeat the sender's heartbeat count
 * @param viewId the view that the sender holds
 * @param statusVersion the version of the sender's status
 * @param status the status that the sender reports about itself
 * @param type the type of the packet
 * @param echoedSequence in a PONG the sequence of the answered PING, otherwise 0
 * @param items the gossip items that the packet carries
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
   * The maximum size of all items of a packet together; the rest of a datagram's 1,200 bytes is for
   * the header and the authentication tag.
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

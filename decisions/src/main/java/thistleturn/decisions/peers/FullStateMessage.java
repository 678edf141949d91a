package thistleturn.decisions.peers;

import java.util.List;

/**
 * All that a courier knows of its fleet, sent over a connection.
 *
 * @param sender the sending incarnation
 * @param address on which the sender listens
 * @param view the view that the sender holds, or null if it holds none
 * @param items what the sender knows of its peers
 */
public record FullStateMessage(PeerId sender, String address, View view, List<GossipItem> items) {}

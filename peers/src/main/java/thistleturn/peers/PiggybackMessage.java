package thistleturn.peers;

import thistleturn.decisions.peers.PeerId;

/**
 * A message of a {@link PiggybackChannel}.
 *
 * @param sender the incarnation that sent it
 * @param address where the sender listens
 * @param sequence the sender's count of these messages
 * @param payload the channel's own bytes
 */
record PiggybackMessage(PeerId sender, String address, long sequence, byte[] payload) {}

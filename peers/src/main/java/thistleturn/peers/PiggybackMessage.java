package thistleturn.peers;

import thistleturn.decisions.peers.PeerId;

/**
 * A message of a {@link PiggybackChannel}.
 *
 * @param sender the incarnation that sent it
 * @param address the address on which the sender listens
 * @param sequence the sender's count of these messages
 * @param payload the bytes of the channel's message
 */
record PiggybackMessage(PeerId sender, String address, long sequence, byte[] payload) {}

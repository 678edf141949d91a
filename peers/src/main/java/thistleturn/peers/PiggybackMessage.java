package thistleturn.peers;

import thistleturn.decisions.peers.PeerId;

/**
 * What a {@link PiggybackChannel} sends: from whom, where that one listens, and the sender's count
 * of these.
 */
record PiggybackMessage(PeerId sender, String address, long sequence, byte[] payload) {}

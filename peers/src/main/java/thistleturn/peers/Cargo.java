package thistleturn.peers;

import thistleturn.decisions.peers.PeerId;

/**
 * What a {@link Passenger} sends: from whom, where that one listens, and the sender's count of
 * these.
 */
record Cargo(PeerId sender, String address, long seq, byte[] text) {}

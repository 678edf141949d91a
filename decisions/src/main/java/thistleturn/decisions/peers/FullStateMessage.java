package thistleturn.decisions.peers;

import java.util.List;

/** All that a courier knows, over a connection. {@code view} is null while there is none. */
public record FullStateMessage(PeerId sender, String address, View view, List<GossipItem> items) {}

package thistleturn.decisions.peers;

import java.util.List;

/** All that a courier knows, over a connection. {@code view} is null while there is none. */
public record Full(PeerId sender, String address, View view, List<Item> items) {}

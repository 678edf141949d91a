/**
 * The membership protocol of a fleet: which couriers exist and which are reachable, on what
 * evidence, and the agreed views.
 *
 * <p>{@link thistleturn.decisions.peers.MembershipProtocol} is the entry point. It uses {@link
 * thistleturn.decisions.peers.MembershipTable}, which holds the state of each peer; {@link
 * thistleturn.decisions.peers.FailureDetector}, which observes the peers that this courier
 * monitors; {@link thistleturn.decisions.peers.PacketSender} and {@link
 * thistleturn.decisions.peers.GossipReceiver}, which exchange gossip; and {@link
 * thistleturn.decisions.peers.ViewManager}, which agrees on numbered views through {@link
 * thistleturn.decisions.peers.PaxosInstance}.
 *
 * <p>The package is a deterministic state machine that is confined to one thread. Its inputs are
 * packets, the outcomes of connections, and ticks; its outputs are packets, connections and events
 * through {@link thistleturn.decisions.peers.PeerActions}. Sockets, clocks and encodings are in the
 * module {@code peers}.
 */
package thistleturn.decisions.peers;

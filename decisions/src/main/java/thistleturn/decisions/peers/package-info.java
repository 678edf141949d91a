/**
 * The membership of a fleet: which couriers exist, which are reachable, and how sure that is.
 *
 * <p>{@link thistleturn.decisions.peers.MembershipProtocol} is the entry point. Beneath it, {@link
 * thistleturn.decisions.peers.MembershipTable} holds what is known of each peer, {@link
 * thistleturn.decisions.peers.FailureDetector} observes the peers that this courier monitors,
 * {@link thistleturn.decisions.peers.PacketSender} and {@link
 * thistleturn.decisions.peers.GossipReceiver} exchange gossip, and {@link
 * thistleturn.decisions.peers.ViewManager} agrees on numbered views by {@link
 * thistleturn.decisions.peers.PaxosInstance}.
 *
 * <p>The package is a pure state machine of a single owner thread: packets, the outcome of
 * connections and ticks come in; packets, connections and events go out through {@link
 * thistleturn.decisions.peers.PeerActions}. It knows no sockets, clocks or encodings, which are the
 * job of the module {@code peers}.
 */
package thistleturn.decisions.peers;

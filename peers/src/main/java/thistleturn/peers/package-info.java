/**
 * The exchange between the couriers of a fleet: it carries what {@code decisions.peers} decides, by
 * datagrams ({@link thistleturn.peers.DatagramTransport}) and connections ({@link
 * thistleturn.peers.PeerConnections}), each message authenticated with the fleet's key. {@link
 * thistleturn.peers.PeersExtension} is the entry point. It lives on the courier's first event loop,
 * is on no message's path, and is off unless {@code [peers]} says otherwise. Other subsystems send
 * along with it as a {@link thistleturn.peers.PiggybackChannel}. The package does not decide who is
 * a member.
 */
package thistleturn.peers;

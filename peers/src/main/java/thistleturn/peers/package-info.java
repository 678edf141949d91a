/**
 * The transport of the membership protocol between the couriers of a fleet. It carries the messages
 * of {@code decisions.peers} in datagrams ({@link thistleturn.peers.DatagramTransport}) and over
 * connections ({@link thistleturn.peers.PeerConnections}), and authenticates each message with the
 * fleet's key. {@link thistleturn.peers.PeersExtension} is the entry point. The transport runs on
 * the courier's first event loop, takes no part in the delivery of messages, and is disabled unless
 * {@code [peers]} enables it. Other subsystems use it through a {@link
 * thistleturn.peers.PiggybackChannel}. The package does not decide which couriers are members.
 */
package thistleturn.peers;

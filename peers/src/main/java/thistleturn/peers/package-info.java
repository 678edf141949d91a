/**
 * The wire of {@code decisions.peers}: datagrams and kept connections, sealed, by Netty. Off unless
 * {@code [peers]} says otherwise.
 */
package thistleturn.peers;

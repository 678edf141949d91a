/**
 * Who is here, who is not, and how sure are we: the couriers of one fleet and what they say of one
 * another. Pure: datagrams, ends of connections and ticks come in, datagrams, connections and
 * events go out. {@link thistleturn.decisions.peers.MembershipProtocol} is the whole; {@link
 * thistleturn.decisions.peers.PaxosInstance} the part of it that numbers views.
 */
package thistleturn.decisions.peers;

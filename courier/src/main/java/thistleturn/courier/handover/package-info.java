/**
 * Handover: a newer process of the courier takes over from the one that serves, so that an upgrade
 * loses no message and rejects no client. Design: {@code docs/design/operators.md}.
 *
 * <p>The two processes communicate over a Unix socket in the state folder, in lines of JSON ({@link
 * thistleturn.courier.handover.HandoverCodec}). The older one listens there ({@link
 * thistleturn.courier.handover.HandoverServer}), the newer one connects ({@link
 * thistleturn.courier.handover.HandoverClient}).
 *
 * <h2>Ownership</h2>
 *
 * <ul>
 *   <li><b>Until the newer process requests a handover</b> the older one owns everything: the lock
 *       of the state folder ({@link thistleturn.courier.handover.StateLock}), the journal, the
 *       decisions, its clients and its calls.
 *   <li><b>When the older process hands over</b> ({@link
 *       thistleturn.courier.handover.HandoverSource#handOver}) it stops deciding, closes the
 *       journal, releases the lock and sends a {@link
 *       thistleturn.courier.handover.HandoverSnapshot}. It keeps its connections: those of clients
 *       and those that carry calls in flight.
 *   <li><b>Once the snapshot is complete</b> the newer process owns the lock, the journal and the
 *       decisions. It is responsible for the outcome of each message, including those of the older
 *       one's calls.
 *   <li><b>From then on</b> the older process forwards what its clients submit and the outcomes of
 *       its calls ({@link thistleturn.courier.handover.Successor}), and abandons a call on request
 *       ({@link thistleturn.courier.handover.RemoteCallExecutor}). It ends once it has neither
 *       clients nor calls.
 *   <li><b>If the newer process ends first</b> the older one locks the folder again and resumes
 *       deciding. It still has the clients whose messages it had forwarded: messages that the
 *       journal records as accepted are accepted, the others are decided on. If the older one ends
 *       first, its calls may have executed; the newer one decides what that means for each message.
 * </ul>
 *
 * <p>If the connection between the two has closed, or the lock is free, the other process may still
 * run: its calls may be in flight until it has ended ({@link
 * thistleturn.courier.handover.EarlierProcesses}).
 *
 * <p>Each class here is used on one event loop of its process. The package does not know what a
 * message means, or how a decision is made.
 */
package thistleturn.courier.handover;

/**
 * Selects the client connections to close when there are too many.
 *
 * <p>Entry point: {@link thistleturn.decisions.admission.ConnectionEvictionRanking}, which belongs
 * to the ingress and runs on its thread. It computes a rank from times and states and does not
 * access sockets. Design: {@code docs/design/operators.md}.
 */
package thistleturn.decisions.admission;

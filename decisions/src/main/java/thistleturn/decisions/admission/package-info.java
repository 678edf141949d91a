/**
 * Which client connection is closed where there are too many.
 *
 * <p>Entry point: {@link thistleturn.decisions.admission.ConnectionEvictionRanking}, which belongs
 * to the ingress and runs on its thread. Times and states come in, a rank comes out; sockets are
 * the ingress's own. Design: {@code docs/design/operators.md}.
 */
package thistleturn.decisions.admission;

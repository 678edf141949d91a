/**
 * Which client's connection makes room where there are too many. Pure: times and states come in, an
 * order comes out. Design: {@code docs/design/operators.md}, "Crowds".
 */
package thistleturn.decisions.admission;

/**
 * What on-call staff ask of a running courier, and tell it, on an address of its own. Nothing of it
 * is loaded where the configuration names no such address. Design: {@code
 * docs/design/operators.md}; use: {@code docs/operations/operators.md}.
 */
package thistleturn.courier.operator;

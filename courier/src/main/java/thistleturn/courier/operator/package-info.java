/**
 * The operators' HTTP endpoint of a running courier: readiness, metrics, and disabling endpoints
 * administratively.
 *
 * <p>The entry point is {@link thistleturn.courier.operator.OperatorServer}, which lives on the
 * courier's first event loop and accesses the courier only through {@link
 * thistleturn.courier.operator.AdminOperations}. No class of this package is loaded if the
 * configuration names no address for operators. Design: {@code docs/design/operators.md}; use:
 * {@code docs/operations/operators.md}.
 */
package thistleturn.courier.operator;

/**
 * Merges what several sources (the platform's endpoint list, Eureka registries) report about
 * endpoints into one view, and schedules the calls to registries.
 *
 * <p>Entry points: {@link thistleturn.decisions.membership.Membership} merges reports, {@link
 * thistleturn.decisions.membership.RegistryPollSchedule} decides when a registry is polled, and
 * {@link thistleturn.decisions.membership.RegistrationLease} when this courier registers, renews
 * and cancels its own entry. All of them are plain state machines that are confined to their
 * caller's thread: time and random numbers are passed in as arguments, and none of them performs
 * I/O or depends on the protocol of a registry. The rules of the merge are explained in {@code
 * docs/design/membership.md}.
 */
package thistleturn.decisions.membership;

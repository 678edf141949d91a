/**
 * A client for Eureka's registry API: it polls registries for instances, maps an instance to an
 * endpoint and its state, and registers this courier's own instance. All I/O runs on the event loop
 * it is given; what several sources report is merged in {@link
 * thistleturn.membership.MergedDirectory}.
 */
package thistleturn.eureka;

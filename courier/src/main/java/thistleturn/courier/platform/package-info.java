/**
 * Clients of the platform: {@link thistleturn.courier.platform.DiscoveryClient} watches the
 * endpoint list, and {@link thistleturn.courier.platform.HttpOutcomeNotifier} reports the outcomes
 * of messages that were not delivered. Both run on one event loop and use a {@link
 * thistleturn.courier.platform.PlatformSession} for each connection.
 */
package thistleturn.courier.platform;

/**
 * Stand-ins for everything a courier talks to (endpoints, clients, the platform, a registry), and
 * the {@link thistleturn.testkit.RuleChecker}, which judges the six delivery rules from what the
 * stand-ins observed. The package knows nothing of the courier's own code; it speaks the published
 * protocols only.
 */
package thistleturn.testkit;

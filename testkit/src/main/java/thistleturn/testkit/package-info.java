/**
 * Stand-ins for everything a courier talks to (endpoints, clients, the platform, a registry), and
 * the {@link thistleturn.testkit.RuleChecker}, which checks the six delivery rules from what the
 * stand-ins observed. The package does not depend on the courier's code; it uses the published
 * protocols only.
 */
package thistleturn.testkit;

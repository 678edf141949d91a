package thistleturn.membership;

import java.util.List;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.eureka.RegistrySettings;

/**
 * The settings of the membership subsystem.
 *
 * @param merge how the sources are merged
 * @param registries the registries to poll
 * @param registration how the courier registers itself, or null if it does not
 */
public record MembershipSettings(
    MergeSettings merge, List<RegistrySettings> registries, RegistrationSettings registration) {
  /** Copies the list. */
  public MembershipSettings {
    registries = List.copyOf(registries);
  }
}

package thistleturn.membership;

import java.util.List;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.eureka.RegistrySettings;

/**
 * The subsystem's settings: the rules of the merge, the registries, and this courier's own entry
 * (null for none).
 */
public record MembershipSettings(
    MergeSettings rules, List<RegistrySettings> registries, RegistrationSettings registration) {
  /** Copies what could change. */
  public MembershipSettings {
    registries = List.copyOf(registries);
  }
}

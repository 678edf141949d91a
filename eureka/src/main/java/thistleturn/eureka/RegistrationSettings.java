package thistleturn.eureka;

import java.util.List;

/**
 * How this courier registers itself.
 *
 * @param addresses of the registry, in order of preference
 * @param app the name of the application that the courier is an instance of
 * @param vip the virtual address of that application
 * @param renewalIntervalUs between renewals of the lease
 * @param leaseDurationUs after which the registry may expire an instance that is not renewed
 */
public record RegistrationSettings(
    List<RegistrySettings.Address> addresses,
    String app,
    String vip,
    long renewalIntervalUs,
    long leaseDurationUs) {
  /** Copies the list. */
  public RegistrationSettings {
    addresses = List.copyOf(addresses);
  }
}

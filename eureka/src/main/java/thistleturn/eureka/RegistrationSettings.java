package thistleturn.eureka;

import java.util.List;

/**
 * How this courier enters itself.
 *
 * @param addresses of the registry, in order of preference
 * @param app the application's name
 * @param vip its virtual address
 * @param renewUs between renewals
 * @param leaseUs after which the registry may drop an entry that is not renewed
 */
public record RegistrationSettings(
    List<RegistrySettings.Address> addresses, String app, String vip, long renewUs, long leaseUs) {
  /** Copies what could change. */
  public RegistrationSettings {
    addresses = List.copyOf(addresses);
  }
}

package thistleturn.courier;

import java.io.IOException;

/**
 * What the platform and operators keep outside the processes of a courier: the configuration file
 * and the stored names of disabled endpoints. Each process reads them at its start. While another
 * process decides, changes are reported to that one. So they are read again whenever this process
 * begins to decide in place of another one, and it then holds the state folder: what the other one
 * applied before is found, and what comes later is reported or passed on to this process.
 */
final class ExternalInputs {
  private final DisabledEndpointRegistry disabledEndpoints;
  private final ConfigurationReload configurationReload;

  ExternalInputs(
      final DisabledEndpointRegistry disabledEndpoints,
      final ConfigurationReload configurationReload) {
    this.disabledEndpoints = disabledEndpoints;
    this.configurationReload = configurationReload;
  }

  /**
   * Reads all of them again. A changed configuration applies a moment later, as on SIGHUP, since
   * reading a long endpoint list would delay the first decisions.
   *
   * @throws IOException if the disabled endpoints cannot be read now
   */
  void readAgain() throws IOException {
    disabledEndpoints.load();
    configurationReload.reloadIfChanged();
  }

  /** The process that decided before has been told to reload the configuration. */
  void onReloadRequested() {
    configurationReload.reloadInBackground();
  }
}

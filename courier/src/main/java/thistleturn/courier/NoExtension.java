package thistleturn.courier;

import thistleturn.courier.port.EndpointDirectory;

/** Stands for the absence of an extension: the platform's directory is used as it is. */
final class NoExtension implements CourierExtension {
  @Override
  public EndpointDirectory createDirectory(
      final EndpointDirectory platformDirectory, final ExtensionContext context) {
    return platformDirectory;
  }

  @Override
  public void onServing(final String address) {
    // There is no extension to notify.
  }

  @Override
  public void onShutdownStarted() {
    // There is no extension to notify.
  }

  @Override
  public boolean tryFinishShutdown() {
    return true;
  }

  @Override
  public void onConfigurationReload() {
    // There is nothing to read.
  }
}

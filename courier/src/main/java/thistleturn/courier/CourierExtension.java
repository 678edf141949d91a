package thistleturn.courier;

import thistleturn.courier.port.EndpointDirectory;

/**
 * An optional subsystem, such as a service registry or gossip with other couriers. If it is not
 * configured, none of its classes are loaded.
 */
public interface CourierExtension {
  /**
   * Returns the endpoint directory that the courier uses: the platform's own, or one that merges it
   * with others. Called once, on the event loop, while the courier starts.
   */
  EndpointDirectory createDirectory(EndpointDirectory platformDirectory, ExtensionContext context);

  /**
   * The courier accepts clients at that address. Called on the event loop, and again if a successor
   * ends before this process.
   */
  void onServing(String address);

  /** A graceful shutdown begins; the extension may notify others. Called on the event loop. */
  void onShutdownStarted();

  /**
   * Deregisters this courier, because no message is pending any more or the time for a graceful
   * shutdown is over. Called on the event loop repeatedly until it returns true.
   */
  boolean tryFinishShutdown();

  /** The configuration was reloaded: the extension reloads its own files too. */
  void onConfigurationReload();
}

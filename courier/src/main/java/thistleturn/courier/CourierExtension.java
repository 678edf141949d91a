package thistleturn.courier;

import thistleturn.courier.port.EndpointDirectory;

/**
 * A subsystem beside the platform's own, such as a service registry or gossip with other couriers.
 * Without one none of its classes are loaded.
 */
public interface CourierExtension {
  /**
   * Returns the directory that the courier follows: the platform's own, or one that merges it with
   * others. Called once, on the event loop, while the courier starts.
   */
  EndpointDirectory createDirectory(EndpointDirectory platformDirectory, ExtensionContext context);

  /**
   * The courier accepts clients at that address. Called on the event loop, again after a successor
   * has ended before this process.
   */
  void onServing(String address);

  /** A graceful shutdown begins; others may be notified. Called on the event loop. */
  void onShutdownStarted();

  /**
   * Deregisters this courier, since no message is pending any more or the time for a graceful
   * shutdown is over. Called on the event loop repeatedly until it returns true.
   */
  boolean tryFinishShutdown();

  /** The configuration was read again: the extension reads its own files again too. */
  void onConfigurationReload();
}

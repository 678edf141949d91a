package thistleturn.courier;

import thistleturn.courier.port.EndpointDirectory;

/** A subsystem beside the platform's own; without one nothing of it is loaded. */
public interface CourierExtension {
  /**
   * The directory that the courier follows: the platform's own, or one that merges it with others.
   */
  EndpointDirectory createDirectory(EndpointDirectory own, ExtensionContext surroundings);

  /** The courier serves at that address from now on. Called on the event loop. */
  void onServing(String address);

  /** The process ends soon; whoever knows of it may be told. Called on the event loop. */
  void onShutdownStarted();

  /**
   * Nothing is held any more, or the time is up: takes leave of whoever knows of this courier.
   * Called on the event loop again and again until it is true that this is done.
   */
  boolean tryFinishShutdown();

  /**
   * The configuration is being read again; whatever the extension keeps in files of its own is,
   * too.
   */
  void onConfigurationReload();
}

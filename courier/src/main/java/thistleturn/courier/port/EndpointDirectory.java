package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Reports which endpoints there are, and their state. All methods run on the event loop's thread.
 */
public interface EndpointDirectory {

  /**
   * An endpoint as a directory describes it.
   *
   * @param name the same for as long as the endpoint exists
   * @param weight calls per second that its destination takes from all couriers together; 0 if
   *     unknown
   * @param kind the name of a kind in the settings, or any other text for none
   * @param destination the number of its destination
   */
  record Entry(
      String name,
      EndpointState state,
      InetSocketAddress address,
      String zone,
      double weight,
      String kind,
      long destination) {}

  /** Receives updates. */
  interface Listener {
    /** Entries were received, or could not be; {@code update} says which of them. */
    void onUpdate(EndpointUpdate update, List<Entry> entries);
  }

  /** Begins to report, first of all what is known from an earlier process, if anything is. */
  void start(Listener listener);

  /** Requests changes from now on; has no effect while they are being requested or received. */
  void requestUpdates();

  /** Returns true while the list is known to be complete: what it does not name does not exist. */
  boolean isCurrent();

  /** Applies a new configuration, as far as it concerns this directory. */
  void reload(CourierConfig fresh);
}

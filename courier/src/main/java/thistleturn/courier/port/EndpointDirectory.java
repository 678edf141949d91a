package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/** Reports the known endpoints and their states. All methods run on the event loop's thread. */
public interface EndpointDirectory {

  /**
   * An endpoint as a directory describes it.
   *
   * @param name the same for as long as the endpoint exists
   * @param weight calls per second that its destination accepts from all couriers together; 0 if
   *     unknown
   * @param kind the name of a kind in the settings; any other text means no kind
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
    /** Entries were received, or the list could not be obtained; {@code update} says which. */
    void onUpdate(EndpointUpdate update, List<Entry> entries);
  }

  /** Starts reporting, beginning with the snapshot of an earlier process if there is one. */
  void start(Listener listener);

  /** Requests updates from now on; has no effect while a request or a watch is active. */
  void requestUpdates();

  /** Returns true while the list is known to be complete: an endpoint not in it does not exist. */
  boolean isCurrent();

  /** Applies the parts of a new configuration that concern this directory. */
  void reload(CourierConfig fresh);
}

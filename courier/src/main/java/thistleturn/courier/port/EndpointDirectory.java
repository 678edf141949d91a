package thistleturn.courier.port;

import java.net.InetSocketAddress;
import java.util.List;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Who tells which endpoints there are and in which state. All methods run on the event loop's
 * thread.
 */
public interface EndpointDirectory {

  /**
   * An endpoint as a directory names it. {@code name} is the same for as long as the endpoint is;
   * {@code weight} is the calls a second that its destination takes from all couriers, 0 if that is
   * not told; {@code kind} the name of a kind in the settings, or any other text for none.
   */
  record Entry(
      String name,
      EndpointState state,
      InetSocketAddress address,
      String zone,
      double weight,
      String kind,
      long destination) {}

  /** Who is told. */
  interface Listener {
    /**
     * Changed entries, all, the last ones known, or that no news can be had ({@link
     * EndpointUpdate}).
     */
    void onUpdate(EndpointUpdate update, List<Entry> listings);
  }

  /** Begins, first of all with what is known from before, if anything is. */
  void start(Listener listener);

  /** Asks for changes from now on; while they are being asked for or come, that is enough. */
  void requestUpdates();

  /** True while what it does not name does not exist. */
  boolean isCurrent();

  /** A new configuration counts from now on, as far as it concerns this directory. */
  void reload(CourierConfig fresh);
}

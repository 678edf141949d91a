package thistleturn.peers;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.peers.GossipSettings;

/**
 * How a courier takes part in its fleet.
 *
 * @param listenAddress where, by datagrams and by connections alike
 * @param seeds addresses at which others may listen
 * @param fleetKey what seals all that is said: another fleet has another one
 * @param gossipSettings times and counts
 * @param addressOverrides where an address of another is to be reached instead, if it is not
 *     reached at itself
 */
public record PeersSettings(
    InetSocketAddress listenAddress,
    List<String> seeds,
    String fleetKey,
    GossipSettings gossipSettings,
    Map<String, String> addressOverrides) {
  /** Letters that a key has at least. */
  public static final int MIN_KEY_LENGTH = 8;

  /** Collections that nobody changes any more. */
  public PeersSettings {
    seeds = List.copyOf(seeds);
    addressOverrides = Map.copyOf(addressOverrides);
  }
}

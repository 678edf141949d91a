package thistleturn.peers;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.peers.GossipSettings;

/**
 * How a courier takes part in its fleet.
 *
 * @param listenAddress where it receives datagrams and accepts connections
 * @param seeds addresses at which other couriers may listen
 * @param fleetKey authenticates all messages; each fleet has its own
 * @param gossipSettings durations and limits of the protocol
 * @param addressOverrides where to send what is meant for an address, by that address
 */
public record PeersSettings(
    InetSocketAddress listenAddress,
    List<String> seeds,
    String fleetKey,
    GossipSettings gossipSettings,
    Map<String, String> addressOverrides) {
  /** The least length of a key, in characters. */
  public static final int MIN_KEY_LENGTH = 8;

  /** Copies the collections. */
  public PeersSettings {
    seeds = List.copyOf(seeds);
    addressOverrides = Map.copyOf(addressOverrides);
  }
}

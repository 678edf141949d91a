package thistleturn.peers;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.peers.GossipSettings;

/**
 * Settings of a courier's participation in its fleet.
 *
 * @param listenAddress the address at which it receives datagrams and accepts connections
 * @param seeds addresses at which other couriers may listen
 * @param fleetKey the key that authenticates all messages; each fleet has its own
 * @param gossipSettings intervals, timeouts and sizes of the membership protocol
 * @param addressOverrides the addresses to send to instead of the addresses that are the keys
 */
public record PeersSettings(
    InetSocketAddress listenAddress,
    List<String> seeds,
    String fleetKey,
    GossipSettings gossipSettings,
    Map<String, String> addressOverrides) {
  /** The minimum length of a key, in characters. */
  public static final int MIN_KEY_LENGTH = 8;

  /** Copies the collections. */
  public PeersSettings {
    seeds = List.copyOf(seeds);
    addressOverrides = Map.copyOf(addressOverrides);
  }
}

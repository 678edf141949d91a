package thistleturn.decisions.peers;

import java.util.List;

/**
 * What a courier knows of a peer.
 *
 * @param id its latest incarnation
 * @param address on which it listens
 * @param state what is known of it
 * @param stateAgeUs for how long it has been in that state
 * @param unreachableReports who does not reach it, in the order of names; all other observers that
 *     monitor it reach it
 * @param localReachability this courier's own finding; null: it does not monitor the peer
 * @param roundTripUs the smoothed round trip; 0: none was measured
 * @param status what it last reported about itself
 */
public record PeerSnapshot(
    PeerId id,
    String address,
    PeerState state,
    long stateAgeUs,
    List<UnreachableReport> unreachableReports,
    Reachability localReachability,
    long roundTripUs,
    PeerStatus status) {
  /** One observer's report that it does not reach the peer, and for how long that has been so. */
  public record UnreachableReport(String observer, Reachability reachability, long ageUs)
      implements Comparable<UnreachableReport> {
    @Override
    public int compareTo(final UnreachableReport other) {
      return observer.compareTo(other.observer);
    }
  }
}

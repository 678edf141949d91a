package thistleturn.decisions.peers;

import java.util.List;

/**
 * A courier's knowledge of a peer at one time.
 *
 * @param id its latest incarnation
 * @param address the address on which it listens
 * @param state the derived state
 * @param stateAgeUs for how long it has been in that state
 * @param unreachableReports the reports of observers that cannot reach it, in name order; all other
 *     observers that monitor it reach it
 * @param localReachability this courier's own observation, or null if it does not monitor the peer
 * @param roundTripUs the smoothed round-trip time; 0 if none was measured
 * @param status the status that it last reported about itself
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
  /** One observer's report that it cannot reach the peer, and for how long. */
  public record UnreachableReport(String observer, Reachability reachability, long ageUs)
      implements Comparable<UnreachableReport> {
    @Override
    public int compareTo(final UnreachableReport other) {
      return observer.compareTo(other.observer);
    }
  }
}

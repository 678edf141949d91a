package thistleturn.decisions.peers;

import java.util.List;

/**
 * What a courier knows of another.
 *
 * @param id its latest life
 * @param address where it listens
 * @param state what is known of it
 * @param stateAgeUs since when, us
 * @param unreachableReports who says not to hear it, by name: its column of the reach matrix, where
 *     whoever watches it and is not named hears it
 * @param localReachability what is heard here; null: it is not watched here
 * @param roundTripUs the round trip, smoothed; 0: none measured
 * @param status what it last said of itself
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
  /** One observer's word, and how old it is, us. */
  public record UnreachableReport(String observer, Reachability reachability, long ageUs)
      implements Comparable<UnreachableReport> {
    @Override
    public int compareTo(final UnreachableReport other) {
      return observer.compareTo(other.observer);
    }
  }
}

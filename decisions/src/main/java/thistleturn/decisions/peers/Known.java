package thistleturn.decisions.peers;

import java.util.List;

/**
 * What a courier knows of another.
 *
 * @param id its latest life
 * @param address where it listens
 * @param state what is known of it
 * @param forUs since when, us
 * @param doubts who says not to hear it, by name: its column of the reach matrix, where whoever
 *     watches it and is not named hears it
 * @param here what is heard here; null: it is not watched here
 * @param rttUs the round trip, smoothed; 0: none measured
 * @param word what it last said of itself
 */
public record Known(
    PeerId id,
    String address,
    PeerState state,
    long forUs,
    List<Cell> doubts,
    Sight here,
    long rttUs,
    PeerWord word) {
  /** One observer's word, and how old it is, us. */
  public record Cell(String observer, Sight sight, long forUs) implements Comparable<Cell> {
    @Override
    public int compareTo(final Cell other) {
      return observer.compareTo(other.observer);
    }
  }
}

package thistleturn.decisions.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the view lineages that this courier has received ids of. A lineage is lost once its
 * committee has lost its majority permanently: no view can follow in it, and a remaining courier
 * founds another lineage.
 */
final class LineageTracker {
  private final Set<Long> lostFounders = new HashSet<>();
  private long highestGeneration;
  private long lastViewSeenUs;

  /** When another lineage than the installed one, not known to be lost, was last seen. */
  private long otherLineageSeenUs = Peer.NEVER;

  /** When the installed lineage was lost; {@link Peer#NEVER} if it is not lost. */
  private long quorumLostSinceUs = Peer.NEVER;

  LineageTracker(final long nowUs) {
    lastViewSeenUs = nowUs;
  }

  /**
   * Records that another courier holds a view.
   *
   * @param installed the view installed here, or {@link ViewId#NONE}
   * @return false if the id stands for no view, or the view belongs to a lost lineage
   */
  boolean recordSeen(final ViewId seen, final ViewId installed, final long nowUs) {
    if (!seen.isPresent()) {
      return false;
    }
    highestGeneration = Math.max(highestGeneration, seen.generation());
    if (lostFounders.contains(seen.founder())) {
      return false;
    }
    lastViewSeenUs = nowUs;
    if (installed.isPresent() && !seen.isSameLineage(installed)) {
      otherLineageSeenUs = nowUs;
    }
    return true;
  }

  /** Records that a view was installed here. */
  void recordInstalled(final View view, final long nowUs) {
    highestGeneration = Math.max(highestGeneration, view.generation());
    lastViewSeenUs = nowUs;
    quorumLostSinceUs = Peer.NEVER;
  }

  /** Records that the installed lineage is lost. */
  void recordQuorumLost(final View view, final long nowUs) {
    if (quorumLostSinceUs == Peer.NEVER) {
      quorumLostSinceUs = nowUs;
    }
    lostFounders.add(view.founder());
  }

  /** Records that the installed lineage has a quorum. */
  void recordQuorumAvailable() {
    quorumLostSinceUs = Peer.NEVER;
  }

  /** Returns true while the installed lineage is lost. */
  boolean isQuorumLost() {
    return quorumLostSinceUs != Peer.NEVER;
  }

  /** Returns when the installed lineage was lost. */
  long quorumLostSinceUs() {
    return quorumLostSinceUs;
  }

  /** Returns when any view was last seen; initially the start time. */
  long lastViewSeenUs() {
    return lastViewSeenUs;
  }

  /** Returns when another lineage than the installed one was last seen. */
  long otherLineageSeenUs() {
    return otherLineageSeenUs;
  }

  /** Returns the generation for a lineage founded now. */
  long nextGeneration() {
    return highestGeneration + 1;
  }
}

package thistleturn.decisions.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * What this courier has heard of view lineages. A lineage whose committee lost its majority for
 * good is lost: no view can follow in it, and a survivor founds another one.
 */
final class LineageTracker {
  private final Set<Long> lostFounders = new HashSet<>();
  private long highestGeneration;
  private long lastViewHeardUs;

  /** When a lineage other than the installed one was heard of that is not known to be lost. */
  private long otherLineageHeardUs = Peer.NEVER;

  /** Since when the installed lineage is lost; {@link Peer#NEVER}: it is not. */
  private long quorumLostSinceUs = Peer.NEVER;

  LineageTracker(final long nowUs) {
    lastViewHeardUs = nowUs;
  }

  /**
   * Records that somebody holds a view.
   *
   * @param installed the view held here; {@link ViewId#NONE}: none
   * @return false if that view is none, or of a lost lineage
   */
  boolean recordHeard(final ViewId heard, final ViewId installed, final long nowUs) {
    if (!heard.isPresent()) {
      return false;
    }
    highestGeneration = Math.max(highestGeneration, heard.generation());
    if (lostFounders.contains(heard.founder())) {
      return false;
    }
    lastViewHeardUs = nowUs;
    if (installed.isPresent() && !heard.isSameLineage(installed)) {
      otherLineageHeardUs = nowUs;
    }
    return true;
  }

  /** Records the view that is installed here now. */
  void recordInstalled(final View view, final long nowUs) {
    highestGeneration = Math.max(highestGeneration, view.generation());
    lastViewHeardUs = nowUs;
    quorumLostSinceUs = Peer.NEVER;
  }

  /** Records that the installed lineage is lost. */
  void recordQuorumLost(final View view, final long nowUs) {
    if (quorumLostSinceUs == Peer.NEVER) {
      quorumLostSinceUs = nowUs;
    }
    lostFounders.add(view.founder());
  }

  /** Records that the installed lineage can go on. */
  void recordQuorumAvailable() {
    quorumLostSinceUs = Peer.NEVER;
  }

  /** Returns true while the installed lineage is lost. */
  boolean isQuorumLost() {
    return quorumLostSinceUs != Peer.NEVER;
  }

  /** Returns since when the installed lineage is lost. */
  long quorumLostSinceUs() {
    return quorumLostSinceUs;
  }

  /** Returns when any view was last heard of, from the start on. */
  long lastViewHeardUs() {
    return lastViewHeardUs;
  }

  /** Returns when a lineage other than the installed one was last heard of. */
  long otherLineageHeardUs() {
    return otherLineageHeardUs;
  }

  /** Returns the generation for a lineage founded now. */
  long nextGeneration() {
    return highestGeneration + 1;
  }
}

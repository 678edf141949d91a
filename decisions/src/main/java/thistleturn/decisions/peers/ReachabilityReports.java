package thistleturn.decisions.peers;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What observers report about the reachability of one peer. Only reports of unreachability are
 * kept; an observer without one reaches the peer, as far as is known. {@link #unreachableSinceUs}
 * is {@link Peer#NEVER} exactly while there is no report.
 */
final class ReachabilityReports {
  /** One observer's report that it does not reach the peer. */
  record UnreachableReport(PeerId observer, Reachability reachability, long sinceUs) {}

  /** The latest report that was applied of an observer. */
  private record ReportVersion(long incarnation, long version) {}

  private final Map<String, UnreachableReport> unreachableByObserver = new HashMap<>(2);
  private final Map<String, ReportVersion> versionsByObserver = new HashMap<>(2);
  private long unreachableSinceUs = Peer.NEVER;

  /** Returns true if a report is newer than all that were applied of its observer. */
  boolean isNewer(final PeerId observer, final long version) {
    final ReportVersion known = versionsByObserver.get(observer.name());
    return known == null
        || observer.incarnation() > known.incarnation()
        || (observer.incarnation() == known.incarnation() && version > known.version());
  }

  /** Applies a report that {@link #isNewer}. */
  void apply(final GossipItem.ReachabilityReport report, final long nowUs) {
    final PeerId observer = report.observer();
    versionsByObserver.put(
        observer.name(), new ReportVersion(observer.incarnation(), report.version()));
    if (report.reachability() == Reachability.HEARD) {
      removeBy(observer.name());
      return;
    }
    final long sinceUs = nowUs - Math.max(0, report.ageUs());
    unreachableByObserver.put(
        observer.name(), new UnreachableReport(observer, report.reachability(), sinceUs));
    if (unreachableSinceUs == Peer.NEVER) {
      unreachableSinceUs = nowUs;
    }
  }

  /** Removes an observer's report. */
  void removeBy(final String observer) {
    unreachableByObserver.remove(observer);
    if (unreachableByObserver.isEmpty()) {
      unreachableSinceUs = Peer.NEVER;
    }
  }

  /** Removes all reports, but not the knowledge of how far each observer's reports were read. */
  void clear() {
    unreachableByObserver.clear();
    unreachableSinceUs = Peer.NEVER;
  }

  /** Forgets everything: the reports were about another incarnation. */
  void reset() {
    clear();
    versionsByObserver.clear();
  }

  /** Returns an observer's report; null: it reports none. */
  UnreachableReport by(final String observer) {
    return unreachableByObserver.get(observer);
  }

  /** Returns the version of an observer's latest report; null: none was applied. */
  Long versionBy(final String observer) {
    final ReportVersion version = versionsByObserver.get(observer);
    return version == null ? null : version.version();
  }

  /** Returns true if some observer does not reach the peer. */
  boolean isReportedUnreachable() {
    return unreachableSinceUs != Peer.NEVER;
  }

  /**
   * Returns since when some observer has not reached the peer; {@link Peer#NEVER}: all reach it.
   */
  long unreachableSinceUs() {
    return unreachableSinceUs;
  }

  /** Returns all reports of unreachability. */
  Collection<UnreachableReport> all() {
    return unreachableByObserver.values();
  }

  /** Returns the names of the observers that do not reach the peer, in order. */
  Set<String> observers() {
    return new TreeSet<>(unreachableByObserver.keySet());
  }

  /** Moves timestamps forward by a pause of this process. */
  void shiftTimestamps(final long pauseUs) {
    unreachableSinceUs = Peer.shifted(unreachableSinceUs, pauseUs);
    unreachableByObserver.replaceAll(
        (name, report) ->
            new UnreachableReport(
                report.observer(), report.reachability(), report.sinceUs() + pauseUs));
  }
}

package thistleturn.decisions.peers;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The observers' reports about the reachability of one peer. Only reports of unreachability are
 * kept; an observer without one is assumed to reach the peer. {@link #unreachableSinceUs} is {@link
 * Peer#NEVER} exactly while there is no report.
 */
final class ReachabilityReports {
  /** One observer's report that it cannot reach the peer. */
  record UnreachableReport(PeerId observer, Reachability reachability, long sinceUs) {}

  /** The incarnation and version of an observer's latest applied report. */
  private record ReportVersion(long incarnation, long version) {}

  private final Map<String, UnreachableReport> unreachableByObserver = new HashMap<>(2);
  private final Map<String, ReportVersion> versionsByObserver = new HashMap<>(2);
  private long unreachableSinceUs = Peer.NEVER;

  /** Returns true if a report is newer than all applied reports of its observer. */
  boolean isNewer(final PeerId observer, final long version) {
    final ReportVersion known = versionsByObserver.get(observer.name());
    return known == null
        || observer.incarnation() > known.incarnation()
        || (observer.incarnation() == known.incarnation() && version > known.version());
  }

  /** Applies a report, for which {@link #isNewer} must be true. */
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

  /** Removes all reports, but keeps the version of each observer's latest report. */
  void clear() {
    unreachableByObserver.clear();
    unreachableSinceUs = Peer.NEVER;
  }

  /** Removes all reports and versions, which belong to an earlier incarnation of the peer. */
  void reset() {
    clear();
    versionsByObserver.clear();
  }

  /** Returns an observer's report, or null if there is none. */
  UnreachableReport by(final String observer) {
    return unreachableByObserver.get(observer);
  }

  /** Returns the version of an observer's latest report, or null if none was applied. */
  Long versionBy(final String observer) {
    final ReportVersion version = versionsByObserver.get(observer);
    return version == null ? null : version.version();
  }

  /** Returns true if an observer reports that it cannot reach the peer. */
  boolean isReportedUnreachable() {
    return unreachableSinceUs != Peer.NEVER;
  }

  /** Returns since when at least one report has existed; {@link Peer#NEVER} if there is none. */
  long unreachableSinceUs() {
    return unreachableSinceUs;
  }

  /** Returns all reports of unreachability. */
  Collection<UnreachableReport> all() {
    return unreachableByObserver.values();
  }

  /** Returns the names of the observers that cannot reach the peer, in order. */
  Set<String> observers() {
    return new TreeSet<>(unreachableByObserver.keySet());
  }

  /** Shifts timestamps forward by a pause of this process. */
  void shiftTimestamps(final long pauseUs) {
    unreachableSinceUs = Peer.shifted(unreachableSinceUs, pauseUs);
    unreachableByObserver.replaceAll(
        (name, report) ->
            new UnreachableReport(
                report.observer(), report.reachability(), report.sinceUs() + pauseUs));
  }
}

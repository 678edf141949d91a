package thistleturn.courier.handover;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.LearnedState;

/** Collects the lines of a snapshot; only the last one has a fixed position. */
final class SnapshotAssembler {
  private final List<HandoverSnapshot.NumberedEndpoint> endpoints = new ArrayList<>();
  private final List<LearnedState.LearnedRoute> learnedRoutes = new ArrayList<>();
  private final List<LearnedState.LearnedEndpoint> learnedEndpoints = new ArrayList<>();
  private final List<HandoverSnapshot.InFlightRemoteCall> calls = new ArrayList<>();
  private SnapshotLine.ClassStatistics classStatistics =
      new SnapshotLine.ClassStatistics(new double[0], new int[0], 0);

  /** Adds a line; returns true if it was the last one. */
  boolean add(final SnapshotLine line) {
    if (line instanceof SnapshotLine.ListedEndpoint listed) {
      endpoints.add(listed.endpoint());
    } else if (line instanceof SnapshotLine.ClassStatistics statistics) {
      classStatistics = statistics;
    } else if (line instanceof SnapshotLine.LearnedRoute learned) {
      learnedRoutes.add(learned.route());
    } else if (line instanceof SnapshotLine.LearnedEndpoint learned) {
      learnedEndpoints.add(learned.endpoint());
    } else if (line instanceof SnapshotLine.RemoteCall remote) {
      calls.add(remote.call());
    }
    return line instanceof SnapshotLine.SnapshotComplete;
  }

  /** Returns the snapshot that the lines added so far describe. */
  HandoverSnapshot toSnapshot() {
    final LearnedState learnedState =
        new LearnedState(
            classStatistics.meanUs(),
            classStatistics.samples(),
            classStatistics.trustedIdleUs(),
            learnedRoutes,
            learnedEndpoints);
    return new HandoverSnapshot(endpoints, learnedState, calls);
  }
}

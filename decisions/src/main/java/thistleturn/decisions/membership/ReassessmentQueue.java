package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The destinations that must be reviewed again: at once because something was reported, at a time
 * because time alone will change a decision, or once any source responds.
 */
final class ReassessmentQueue {
  /** Destinations to be reviewed at once, in the order in which that became known. */
  private final Set<Long> dirty = new LinkedHashSet<>();

  private final TreeMap<Long, Set<Long>> destinationsByTime = new TreeMap<>();
  private final Map<Long, Long> timeByDestination = new HashMap<>();
  private final Set<Long> awaitingResponse = new HashSet<>();

  /** The destination must be reviewed at once. */
  void markDirty(final long destination) {
    dirty.add(destination);
  }

  /** The destination must be reviewed as soon as any source responds. */
  void awaitResponse(final long destination) {
    awaitingResponse.add(destination);
  }

  /** A source responded. */
  void onResponse() {
    dirty.addAll(awaitingResponse);
    awaitingResponse.clear();
  }

  /** Sets when a destination must be reviewed next, in place of any time set before. */
  void schedule(final long destination, final long atUs) {
    final Long before = timeByDestination.remove(destination);
    if (before != null) {
      final Set<Long> others = destinationsByTime.get(before);
      others.remove(destination);
      if (others.isEmpty()) {
        destinationsByTime.remove(before);
      }
    }
    if (atUs != EndpointRecord.NEVER) {
      timeByDestination.put(destination, atUs);
      destinationsByTime.computeIfAbsent(atUs, unused -> new LinkedHashSet<>()).add(destination);
    }
  }

  /** When the next destination is due by time alone. */
  long nextUs() {
    return destinationsByTime.isEmpty() ? EndpointRecord.NEVER : destinationsByTime.firstKey();
  }

  /** Removes and returns the destinations that must be reviewed now. */
  List<Long> drain(final long nowUs) {
    while (!destinationsByTime.isEmpty() && destinationsByTime.firstKey() <= nowUs) {
      for (final long destination : destinationsByTime.pollFirstEntry().getValue()) {
        timeByDestination.remove(destination);
        dirty.add(destination);
      }
    }
    final List<Long> drained = List.copyOf(dirty);
    dirty.clear();
    return drained;
  }
}

package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The destinations that must be reviewed again: immediately, because something was reported; at a
 * given time, because the passing of time alone changes a decision; or once any source responds.
 */
final class ReassessmentQueue {
  /** Destinations to be reviewed immediately, in the order in which they were marked. */
  private final Set<Long> dirty = new LinkedHashSet<>();

  private final TreeMap<Long, Set<Long>> destinationsByTime = new TreeMap<>();
  private final Map<Long, Long> timeByDestination = new HashMap<>();
  private final Set<Long> awaitingResponse = new HashSet<>();

  /** Marks a destination that must be reviewed immediately. */
  void markDirty(final long destination) {
    dirty.add(destination);
  }

  /** Marks a destination that must be reviewed as soon as any source responds. */
  void awaitResponse(final long destination) {
    awaitingResponse.add(destination);
  }

  /** Marks the destinations that awaited a response, as a source responded. */
  void onResponse() {
    dirty.addAll(awaitingResponse);
    awaitingResponse.clear();
  }

  /** Schedules the next review of a destination, replacing any time set before. */
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

  /** Returns the earliest scheduled time; {@code NEVER} if there is none. */
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

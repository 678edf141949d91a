package thistleturn.courier;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The destinations that have an endpoint or recently had one: while its endpoints are replaced, a
 * destination may briefly have none.
 */
final class KnownDestinations {
  /** How long a destination without an endpoint stays known. */
  private static final long VACANT_DESTINATION_TTL_US = 120_000_000;

  private final LongSupplier nowUs;
  private final Map<Long, Integer> endpointsPerDestination = new HashMap<>();

  /** The times since which destinations have had no endpoint, the earliest first. */
  private final Map<Long, Long> vacantSinceUs = new LinkedHashMap<>();

  KnownDestinations(final LongSupplier nowUs) {
    this.nowUs = nowUs;
  }

  void endpointAdded(final long destination) {
    endpointsPerDestination.merge(destination, 1, Integer::sum);
    vacantSinceUs.remove(destination);
  }

  void endpointRemoved(final long destination) {
    final Integer left =
        endpointsPerDestination.computeIfPresent(
            destination, (id, count) -> count == 1 ? null : count - 1);
    if (left == null) {
      vacantSinceUs.put(destination, nowUs.getAsLong());
    }
  }

  boolean contains(final long destination) {
    return endpointsPerDestination.containsKey(destination)
        || vacantSinceUs.containsKey(destination);
  }

  /** Removes destinations that have had no endpoint for {@link #VACANT_DESTINATION_TTL_US}. */
  void expireVacant() {
    final long expiredUs = nowUs.getAsLong() - VACANT_DESTINATION_TTL_US;
    final Iterator<Long> sinceUs = vacantSinceUs.values().iterator();
    while (sinceUs.hasNext() && sinceUs.next() < expiredUs) {
      sinceUs.remove();
    }
  }
}

package thistleturn.courier.http;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

/** The idle connections to all endpoints. */
final class IdleEndpointConnections {
  /**
   * Unsolicited bytes may follow a response, so a connection is reused only after this delay and
   * after a poll that began once the delay was over. The clock alone does not show that the socket
   * was read, since an iteration of the event loop may take longer.
   */
  private static final long REUSE_DELAY_US = 5_000;

  /** Ordered by idle time, longest first. */
  private final Set<EndpointConnection> longestIdleFirst = new LinkedHashSet<>();

  void add(final EndpointConnection connection, final EndpointConnectionPool pool) {
    pool.addIdle(connection);
    longestIdleFirst.add(connection);
  }

  /** Removes a connection that must not be used again, if it is idle. */
  void remove(final EndpointConnection connection, final EndpointConnectionPool pool) {
    if (longestIdleFirst.remove(connection)) {
      pool.removeIdle(connection);
    }
  }

  /**
   * Takes a connection that may be reused: the most recently used one, so that the others reach
   * their idle timeout.
   *
   * @param polledUs when the latest poll of the event loop began
   * @return null if the pool has none
   */
  EndpointConnection takeReusable(final EndpointConnectionPool pool, final long polledUs) {
    final Iterator<EndpointConnection> candidates = pool.latestUsedFirst();
    while (candidates.hasNext()) {
      final EndpointConnection candidate = candidates.next();
      final boolean active = candidate.isActive();
      if (!active || candidate.idleSinceUs() + REUSE_DELAY_US <= polledUs) {
        candidates.remove();
        longestIdleFirst.remove(candidate);
        if (active) {
          return candidate;
        }
      }
    }
    return null;
  }

  /** The delay until a connection of the pool may be reused, us; empty if the pool has none. */
  OptionalLong reusableInUs(final EndpointConnectionPool pool, final long nowUs) {
    long delayUs = Long.MAX_VALUE;
    for (final Iterator<EndpointConnection> it = pool.latestUsedFirst(); it.hasNext(); ) {
      delayUs = Math.min(delayUs, Math.max(0, it.next().idleSinceUs() + REUSE_DELAY_US - nowUs));
    }
    return delayUs <= REUSE_DELAY_US ? OptionalLong.of(delayUs) : OptionalLong.empty();
  }

  /** Closes the connections that have been idle since this time or longer. */
  void closeIdleSince(final long sinceUs) {
    while (!longestIdleFirst.isEmpty()
        && longestIdleFirst.iterator().next().idleSinceUs() <= sinceUs) {
      closeLongestIdle(EndpointCloseReason.IDLE_TIMEOUT);
    }
  }

  /** Closes the connection that has been idle longest, if there is any. */
  void closeLongestIdle(final EndpointCloseReason reason) {
    if (!longestIdleFirst.isEmpty()) {
      longestIdleFirst.iterator().next().close(reason);
    }
  }
}

package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.admission.ConnectionEvictionRanking;

/**
 * The client connections of one ingress. If there are more than the descriptor budget allows, the
 * least useful ones are evicted. Used on the event loop only.
 */
final class ClientConnectionSet {
  /** The soft limit, as a share of the maximum number of client connections. */
  private static final double SOFT_LIMIT_FRACTION = 0.5;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final DescriptorBudget descriptors;
  private final ConnectionEvictionRanking ranking;

  /** The connections that are served, the newest last. */
  private final Set<ClientConnection> open = new LinkedHashSet<>();

  /** The connections whose output is closed but not yet their input, the earliest first. */
  private final Set<ClientConnection> closing = new LinkedHashSet<>();

  private boolean evictionScheduled;

  ClientConnectionSet(
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final DescriptorBudget descriptors,
      final ConnectionEvictionRanking ranking) {
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.descriptors = descriptors;
    this.ranking = ranking;
  }

  /** Adds an open connection, and evicts others if there are too many now. */
  void add(final ClientConnection connection) {
    open.add(connection);
    descriptors.setClientConnections(size());
    if (!evictionScheduled && isOverLimit()) {
      evictionScheduled = true;
      // Connections that waited to be accepted seem idle until their requests have been read.
      polls.runAfterPoll(loop, clock.nowUs(), this::evictExcess);
    }
  }

  /**
   * Records that the output of a connection is closed.
   *
   * @return false if the connection has ended in the meantime
   */
  boolean moveToClosing(final ClientConnection connection) {
    return open.remove(connection) && closing.add(connection);
  }

  /** Removes a connection that has ended. */
  void remove(final ClientConnection connection) {
    open.remove(connection);
    closing.remove(connection);
    descriptors.setClientConnections(size());
  }

  /** True if the connection is served. */
  boolean isOpen(final ClientConnection connection) {
    return open.contains(connection);
  }

  /** A copy of the connections that are served. */
  List<ClientConnection> snapshot() {
    return List.copyOf(open);
  }

  /** Performs an action, which may not change the set, for each connection that is served. */
  void forEachOpen(final Consumer<ClientConnection> action) {
    open.forEach(action);
  }

  /** True if there is neither an open nor a closing connection. */
  boolean isEmpty() {
    return open.isEmpty() && closing.isEmpty();
  }

  /** True if so many connections are open that idle ones are kept for a shorter time. */
  boolean isAboveSoftLimit() {
    return open.size() > SOFT_LIMIT_FRACTION * descriptors.maxClientConnections();
  }

  private int size() {
    return open.size() + closing.size();
  }

  private boolean isOverLimit() {
    return size() > descriptors.maxClientConnections();
  }

  private void evictExcess() {
    evictionScheduled = false;
    while (isOverLimit()) {
      if (closing.isEmpty()) {
        evictionCandidate().closeNow();
      } else {
        closing.iterator().next().closeNow();
      }
    }
  }

  /**
   * Selects the connection of the lowest rank, and among those the one idle longest. If none may be
   * evicted by its rank, it selects the newest one, preferably an idle one; connections that were
   * accepted after the poll began have not been read yet and come last.
   */
  private ClientConnection evictionCandidate() {
    final long nowUs = clock.nowUs();
    ClientConnection lowest = null;
    int lowestRank = ConnectionEvictionRanking.NEVER_EVICT;
    ClientConnection newest = null;
    for (final ClientConnection connection : open) {
      if (!connection.hasSentRequest() && connection.idleSinceUs() >= polls.currentPollUs()) {
        newest = newest == null ? connection : newest;
        continue;
      }
      final int rank = connection.evictionRank(ranking, nowUs);
      final boolean idleLonger =
          rank == lowestRank
              && rank < ConnectionEvictionRanking.NEVER_EVICT
              && connection.idleSinceUs() < lowest.idleSinceUs();
      if (rank < lowestRank || idleLonger) {
        lowest = connection;
        lowestRank = rank;
      }
      newest = newest == null || connection.isIdle() || !newest.isIdle() ? connection : newest;
    }
    return lowest == null ? newest : lowest;
  }
}

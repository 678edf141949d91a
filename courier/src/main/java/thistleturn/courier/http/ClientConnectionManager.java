package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.admission.ConnectionEvictionRanking;
import thistleturn.decisions.index.TimeHeap;

/**
 * Manages the lifetime of the client connections of one ingress: it closes idle ones, rejects
 * requests that are not received in time, and lets connections hibernate. Used on the event loop
 * only.
 */
final class ClientConnectionManager {
  private static final long US_PER_MS = 1000;

  /** How long a new connection may take to begin its first request. */
  private static final long FIRST_REQUEST_TIMEOUT_US = 2_000_000;

  /** How long a request may take to be received; some clients take two seconds to write one. */
  private static final long REQUEST_TIMEOUT_US = 2_600_000;

  /** How long a connection may be idle while the number of connections exceeds the soft limit. */
  private static final long REDUCED_IDLE_TIMEOUT_US = 2_100_000;

  /** A connection that is idle for this long hibernates. */
  private static final long HIBERNATE_AFTER_US = 1_000_000;

  /** A connection from which nothing was received for this long is read directly once. */
  private static final long DIRECT_READ_AFTER_US = 50_000;

  /** Checks that are due at the same time are spread over several tasks of this size. */
  private static final int MAX_CHECKS_PER_TASK = 256;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final long idleTimeoutUs;
  private final ConnectionEvictionRanking evictionRanking =
      new ConnectionEvictionRanking(REDUCED_IDLE_TIMEOUT_US);
  private final ClientConnectionSet connections;

  /** The next check of each connection, never later than the earliest action due for it. */
  private final TimeHeap<ScheduledCheck> checks = new TimeHeap<>();

  private boolean aboveSoftLimit;

  ClientConnectionManager(
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final DescriptorBudget descriptors,
      final long idleTimeoutUs) {
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.idleTimeoutUs = idleTimeoutUs;
    this.connections = new ClientConnectionSet(loop, clock, polls, descriptors, evictionRanking);
  }

  // ---------------------------------------------------------------- events of connections

  /** A connection was accepted. */
  void onOpened(final ClientConnection connection) {
    checks.schedule(connection.scheduledCheck(), nextCheckUs(connection));
    connections.add(connection);
  }

  /** A kept-alive connection was used for another request, or ended without one. */
  void recordKeepAliveOutcome(final boolean reused) {
    evictionRanking.recordReuse(reused);
  }

  /**
   * The output of a connection is closed: it is no longer served, but still counted.
   *
   * @return false if the connection has ended in the meantime
   */
  boolean moveToClosing(final ClientConnection connection) {
    checks.remove(connection.scheduledCheck());
    return connections.moveToClosing(connection);
  }

  /** A connection has ended. */
  void onClosed(final ClientConnection connection) {
    connections.remove(connection);
    checks.remove(connection.scheduledCheck());
  }

  // ---------------------------------------------------------------- operations on all connections

  /** A copy of the connections that are served. */
  List<ClientConnection> snapshot() {
    return connections.snapshot();
  }

  /** True if there is neither an open nor a closing connection. */
  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Closes those of the connections that are idle once pending input has been read. */
  void closeIdle(final List<ClientConnection> candidates) {
    afterPoll(() -> candidates.forEach(ClientConnection::closeIfIdle));
  }

  /** Closes idle connections and rejects incomplete requests once pending input has been read. */
  void rejectIncomplete() {
    afterPoll(() -> snapshot().forEach(ClientConnection::rejectIncomplete));
  }

  private void afterPoll(final Runnable action) {
    polls.runAfterPoll(loop, clock.nowUs(), action);
  }

  /** Performs the checks that are due. Called at regular intervals. */
  void sweep() {
    final boolean wasAboveSoftLimit = aboveSoftLimit;
    final boolean isAboveSoftLimit = connections.isAboveSoftLimit();
    if (isAboveSoftLimit && !wasAboveSoftLimit) {
      // The idle timeout is shorter now than when the checks were scheduled.
      connections.forEachOpen(
          connection -> checks.schedule(connection.scheduledCheck(), nextCheckUs(connection)));
    }
    aboveSoftLimit = isAboveSoftLimit;
    performDueChecks();
  }

  private void performDueChecks() {
    final long nowUs = clock.nowUs();
    int checked = 0;
    for (ScheduledCheck due = checks.poll(nowUs); due != null; due = checks.poll(nowUs)) {
      check(due.connection(), nowUs);
      if (++checked == MAX_CHECKS_PER_TASK) {
        loop.execute(this::performDueChecks);
        return;
      }
    }
  }

  // ---------------------------------------------------------------- checks of one connection

  private void check(final ClientConnection connection, final long nowUs) {
    // A poll that began after the accept has reported the connection if the selector watches it.
    if (connection.mayBeUnwatched() && polls.currentPollUs() > connection.idleSinceUs()) {
      connection.readDirectly();
      if (!connections.isOpen(connection)) {
        return;
      }
    }
    if (isRequestOverdue(connection, nowUs) || isIdleTooLong(connection, nowUs)) {
      // Pending input must be read before this decision, however long the process was paused.
      polls.runAfterPoll(loop, nowUs, () -> closeIfStillOverdue(connection, nowUs));
      return;
    }
    if (connection.isIdle() && connection.idleSinceUs() <= nowUs - HIBERNATE_AFTER_US) {
      connection.hibernate();
    }
    scheduleNextCheck(connection, nowUs);
  }

  private void closeIfStillOverdue(final ClientConnection connection, final long checkedUs) {
    if (!connections.isOpen(connection)) {
      return;
    }
    if (isRequestOverdue(connection, checkedUs)) {
      connection.reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (isIdleTooLong(connection, checkedUs)) {
      connection.closeIfIdle();
      return;
    }
    scheduleNextCheck(connection, clock.nowUs());
  }

  private void scheduleNextCheck(final ClientConnection connection, final long nowUs) {
    checks.schedule(
        connection.scheduledCheck(), Math.max(nextCheckUs(connection), nowUs + US_PER_MS));
  }

  private static boolean isRequestOverdue(final ClientConnection connection, final long atUs) {
    return connection.requestStartedUs() <= atUs - REQUEST_TIMEOUT_US
        && !connection.isClosing()
        && !connection.isAwaitingWakeUp();
  }

  private boolean isIdleTooLong(final ClientConnection connection, final long atUs) {
    return connection.isIdle() && connection.idleSinceUs() <= atUs - allowedIdleUs(connection);
  }

  private long allowedIdleUs(final ClientConnection connection) {
    if (!connection.hasSentRequest()) {
      return FIRST_REQUEST_TIMEOUT_US;
    }
    return aboveSoftLimit ? Math.min(REDUCED_IDLE_TIMEOUT_US, idleTimeoutUs) : idleTimeoutUs;
  }

  /** The time of the next check, unless the state of the connection changes earlier. */
  private long nextCheckUs(final ClientConnection connection) {
    if (connection.mayBeUnwatched()) {
      return Math.max(connection.idleSinceUs() + DIRECT_READ_AFTER_US, clock.nowUs());
    }
    if (!connection.isIdle()) {
      return Math.min(connection.requestStartedUs(), clock.nowUs()) + REQUEST_TIMEOUT_US;
    }
    final long allowedIdleUs = allowedIdleUs(connection);
    return connection.idleSinceUs()
        + (connection.isHibernating()
            ? allowedIdleUs
            : Math.min(HIBERNATE_AFTER_US, allowedIdleUs));
  }
}

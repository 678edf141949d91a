package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.directives.Directives;
import thistleturn.decisions.index.Ranking;

/** A destination, its waiting messages and its routes. */
final class Destination extends Ranking.Entry {
  static final Comparator<Destination> ORDER =
      Comparator.comparingLong(destination -> destination.id);

  /** The lowest rate assumed for the drain of a queue, messages per second. */
  static final double MIN_RATE = 0.25;

  /**
   * Shortest time ahead for which the loss of value by waiting is computed, us; it covers the next
   * call.
   */
  static final long MIN_LOOK_AHEAD_US = OverloadController.SECOND_US;

  /** Longest time ahead for which the loss of value by waiting is computed, us. */
  static final long MAX_LOOK_AHEAD_US = 10 * OverloadController.SECOND_US;

  private final long id;

  /** The waiting messages, grouped by {@link DeadlineGroup#matches}. */
  private final List<DeadlineGroup> groups = new ArrayList<>();

  private final List<Route> routes = new ArrayList<>();
  private Directives directives = Directives.NONE;

  /** Messages waiting or in flight. */
  private int openMessages;

  /** Messages waiting. */
  private int waitingMessages;

  /** Measures how fast the waiting messages are served. */
  private final BacklogDrain backlogDrain = new BacklogDrain();

  /** Whether this is one of the changed destinations of the current round. */
  private boolean changed;

  /** The message that would be shed first, as of the last ranking. */
  private PendingMessage leastValuable;

  Destination(final long id) {
    this.id = id;
  }

  long id() {
    return id;
  }

  List<DeadlineGroup> groups() {
    return groups;
  }

  List<Route> routes() {
    return routes;
  }

  Directives directives() {
    return directives;
  }

  void applyDirective(final Directive directive, final long nowUs) {
    directives = directives.with(directive, nowUs);
  }

  // ---------------------------------------------------------------- messages

  boolean hasMessages() {
    return openMessages > 0;
  }

  int waitingMessages() {
    return waitingMessages;
  }

  void addMessage() {
    openMessages++;
  }

  void removeMessage() {
    openMessages--;
  }

  BacklogDrain backlogDrain() {
    return backlogDrain;
  }

  void startWaiting(final long nowUs) {
    if (waitingMessages == 0) {
      backlogDrain.begin(nowUs);
    }
    waitingMessages++;
  }

  void stopWaiting() {
    waitingMessages--;
    if (waitingMessages == 0) {
      backlogDrain.end();
    }
  }

  /**
   * Adds a waiting message to its group.
   *
   * @param blocked whether another message of its key must be sent first
   */
  void enqueue(final PendingMessage message, final boolean blocked) {
    final boolean endsWithIdempotencyWindow = message.retryDeadlineUs() < message.validUntilUs();
    DeadlineGroup matching = null;
    for (final DeadlineGroup group : groups) {
      matching = group.matches(message, blocked, endsWithIdempotencyWindow) ? group : matching;
    }
    if (matching == null) {
      matching = new DeadlineGroup(message, blocked, endsWithIdempotencyWindow);
      groups.add(matching);
    }
    matching.add(message);
  }

  /** Removes a message from its group. */
  void dequeue(final PendingMessage message) {
    final DeadlineGroup group = message.group();
    group.remove(message);
    if (group.isEmpty()) {
      groups.remove(group);
    }
  }

  /** Returns how long the queue takes to drain at the rate at which it has been served. */
  long queueDrainUs() {
    double rate = 0;
    for (final Route route : routes) {
      rate += route.serviceRate().messagesPerSecond();
    }
    return (long) (waitingMessages / Math.max(MIN_RATE, rate) * OverloadController.SECOND_US);
  }

  /** Returns the time ahead for which the loss of value by waiting is computed. */
  long lookAheadUs() {
    return (long)
        PriorityValue.clamp((double) queueDrainUs(), MIN_LOOK_AHEAD_US, MAX_LOOK_AHEAD_US);
  }

  // ---------------------------------------------------------------- round

  boolean isChanged() {
    return changed;
  }

  void markChanged() {
    changed = true;
  }

  void clearChanged() {
    changed = false;
  }

  PendingMessage leastValuable() {
    return leastValuable;
  }

  void setLeastValuable(final PendingMessage message) {
    leastValuable = message;
  }

  /** Applies to the routes the steps during which they were idle. */
  void catchUpIdleSteps(final long stepNumber) {
    for (final Route route : routes) {
      route.catchUpIdleSteps(stepNumber);
    }
  }
}

package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.decisions.retries.Evidence;

/**
 * The messages that were ended by an answer which is not confirmed: it may belong to another call.
 * They have ended for the controller, and are kept to be reopened if it proves to be in doubt.
 *
 * <p>While responses are suspect, the journal keeps each for a short time, in which most of what
 * contradicts an answer arrives: a delivery as an attempt in flight, which the next process repeats
 * if this one is killed; a message that is over with an outcome, which the next process reports.
 * Otherwise it is recorded as completed at once, so that a restart repeats nothing. Used on the
 * event loop.
 */
final class UnconfirmedEnds {
  /** How long the journal keeps the attempt in flight, us: longer than most calls take. */
  private static final long RECORD_DELAY_US = 700_000;

  private static final long CHECK_INTERVAL_MS = 100;

  private final LoopContext context;
  private final EventLoop loop;
  private final RoundScheduler scheduler;
  private final BooleanSupplier suspect;

  /** By message id, in the order of their ends. */
  private final Map<String, Unconfirmed> ends = new LinkedHashMap<>();

  private boolean checkScheduled;

  /** A message that has ended, and when. */
  record Unconfirmed(PendingDelivery delivery, MessageEnd end, long endedUs) {}

  /**
   * Creates an empty set of messages.
   *
   * @param suspect returns whether responses that belong to no call have come lately
   */
  UnconfirmedEnds(
      final LoopContext context,
      final EventLoop loop,
      final RoundScheduler scheduler,
      final BooleanSupplier suspect) {
    this.suspect = suspect;
    this.context = context;
    this.loop = loop;
    this.scheduler = scheduler;
  }

  /**
   * Adds a message.
   *
   * @param end what the answer stated
   */
  void add(final PendingDelivery delivery, final MessageEnd end) {
    ends.put(delivery.id(), new Unconfirmed(delivery, end, context.clock().nowUs()));
    if (!suspect.getAsBoolean()) {
      recordCompleted(delivery.message());
      return;
    }
    if (end.evidenceInDoubt() == Evidence.MAY_BE_OVER) {
      context
          .store()
          .recordStatedOutcome(delivery.message(), MessageCompletion.outcomeOfOver(delivery));
      scheduler.requestRound();
    }
    scheduleCheck();
  }

  /** The end of a message is confirmed; nothing is left to do for it. */
  void confirm(final String messageId) {
    final Unconfirmed confirmed = remove(messageId);
    if (confirmed != null) {
      recordCompleted(confirmed.delivery().message());
    }
  }

  /** Removes and returns a message that has ended; null if there is none of that message. */
  Unconfirmed remove(final String messageId) {
    return ends.remove(messageId);
  }

  /** Returns whether the journal keeps an attempt of one of them in flight. */
  boolean hasUnrecorded() {
    return ends.values().stream()
        .anyMatch(unconfirmed -> context.store().contains(unconfirmed.delivery().id()));
  }

  private void recordCompleted(final StoredMessage message) {
    if (context.store().contains(message.id())) {
      context.store().recordCompleted(message);
      scheduler.requestRound();
    }
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      loop.schedule(
          GuardedTasks.guard("check of unconfirmed messages", this::check),
          CHECK_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Records the older ends; the latest one is last. */
  private void check() {
    checkScheduled = false;
    final long recordedUs = context.clock().nowUs() - RECORD_DELAY_US;
    boolean hasLater = false;
    final Iterator<Unconfirmed> oldestFirst = ends.values().iterator();
    while (oldestFirst.hasNext() && !hasLater) {
      final Unconfirmed unconfirmed = oldestFirst.next();
      hasLater = unconfirmed.endedUs() > recordedUs;
      if (!hasLater) {
        recordCompleted(unconfirmed.delivery().message());
      }
    }
    if (hasLater) {
      scheduleCheck();
    }
  }
}

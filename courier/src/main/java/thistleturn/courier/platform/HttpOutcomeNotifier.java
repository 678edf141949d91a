package thistleturn.courier.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.PollTracker;

/**
 * Reports to the platform the outcomes of messages that were accepted and not delivered: in
 * batches, each on a connection of its own, one at a time, and repeatedly until each is confirmed.
 * A repeated report does no harm; a missing one loses a message.
 */
public final class HttpOutcomeNotifier implements OutcomeNotifier {
  private static final int MAX_BATCH_SIZE = 200;
  private static final int MIN_BACKOFF_MS = 20;
  private static final int MAX_BACKOFF_MS = 80;

  private final EventLoop loop;
  private final Clock clock;
  private final PollTracker polls;
  private final Listener listener;
  private final Map<String, StoredMessage> unconfirmed = new LinkedHashMap<>();
  private InetSocketAddress address;

  /** The session whose connection is established or pending; null if there is none. */
  private ReportSession session;

  private List<StoredMessage> batchInFlight = List.of();
  private boolean backingOff;
  private int backoffMs = MIN_BACKOFF_MS;

  /** Creates a notifier without a connection. */
  public HttpOutcomeNotifier(
      final InetSocketAddress address,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final Listener listener) {
    this.address = address;
    this.loop = loop;
    this.clock = clock;
    this.polls = polls;
    this.listener = listener;
  }

  @Override
  public void enqueue(final StoredMessage message) {
    unconfirmed.put(message.id(), message);
  }

  @Override
  public boolean isEmpty() {
    return unconfirmed.isEmpty();
  }

  @Override
  public void flush() {
    if (unconfirmed.isEmpty() || !batchInFlight.isEmpty() || backingOff) {
      return;
    }
    batchInFlight = unconfirmed.values().stream().limit(MAX_BATCH_SIZE).toList();
    final ReportSession opened = new ReportSession(this, address, loop, clock, polls);
    session = opened;
    opened.connect();
  }

  /** Switches to the configuration's address if it differs, and sends unconfirmed reports there. */
  @Override
  public void reload(final CourierConfig config) {
    final InetSocketAddress latest = config.discoveryAddress();
    if (latest.equals(address)) {
      return;
    }
    address = latest;
    final ReportSession replaced = session;
    session = null;
    batchInFlight = List.of();
    backingOff = false;
    backoffMs = MIN_BACKOFF_MS;
    if (replaced != null) {
      replaced.close("address_changed");
    }
    flush();
  }

  private void retryAfterBackoff() {
    batchInFlight = List.of();
    backingOff = true;
    final long delayMs = ThreadLocalRandom.current().nextLong(backoffMs / 2, backoffMs);
    backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    loop.schedule(
        () -> {
          backingOff = false;
          flush();
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  // ---------------------------------------------------------------- called by ReportSession

  boolean isCurrentSession(final ReportSession candidate) {
    return session == candidate;
  }

  /** Returns the messages whose reports are in flight; empty if there are none. */
  List<StoredMessage> batchInFlight() {
    return batchInFlight;
  }

  /** Called when the current session has received the confirmation of the batch in flight. */
  void onBatchConfirmed(final ReportSession confirming) {
    final List<StoredMessage> confirmed = batchInFlight;
    batchInFlight = List.of();
    backoffMs = MIN_BACKOFF_MS;
    confirmed.forEach(message -> unconfirmed.remove(message.id()));
    listener.onConfirmed(confirmed);
    session = null;
    confirming.closeCompleted();
    flush();
  }

  /** Called when a session has ended; if it was the current one, its batch is sent again. */
  void onSessionEnded(final ReportSession ended) {
    if (isCurrentSession(ended)) {
      session = null;
      if (!batchInFlight.isEmpty()) {
        retryAfterBackoff();
      }
    }
  }
}

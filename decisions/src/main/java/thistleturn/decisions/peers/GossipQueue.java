package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Items to be spread: each is sent a number of times that grows with the logarithm of the fleet,
 * those sent least first (SWIM: Das et al., DSN 2002). A newer item on the same topic replaces the
 * older one. Bounded in items, and in bytes a second by an allowance: where there is too much, what
 * was sent most often is dropped or waits, and the full state makes up for it.
 */
final class GossipQueue {
  private static final int MAX_ITEMS = 2048;

  /** An item with more sends than this left is among the first all the same. */
  private static final int MAX_SENDS = 64;

  /** By how much the sends left fall when somebody else sends the same item. */
  private static final int RECEIVED_SENDS_REDUCTION = 2;

  private static final long BYTES_PER_SECOND = 16_000;

  /** Bytes that may be sent at once after a pause. */
  private static final long BURST_BYTES = 8_000;

  private static final long MICROS_PER_SECOND = 1_000_000;

  /**
   * Items by topic, by the number of sends left; within one number in the order of their arrival
   * there.
   */
  private final List<Map<Topic, GossipItem>> itemsByRemainingSends = new ArrayList<>();

  private final Map<Topic, Integer> remainingSends = new HashMap<>();
  private long allowanceBytes = BURST_BYTES;
  private long allowanceUpdatedUs;

  GossipQueue(final long nowUs) {
    allowanceUpdatedUs = nowUs;
    for (int sends = 0; sends <= MAX_SENDS; sends++) {
      itemsByRemainingSends.add(new LinkedHashMap<>());
    }
  }

  /** What an item is about: of two items on one topic only the later is kept. */
  private sealed interface Topic {
    /** The liveness of a name. */
    record Member(String name) implements Topic {}

    /** An observer's report about a subject. */
    record Report(String observer, String subject) implements Topic {}

    /** The status that a name reports. */
    record Status(String name) implements Topic {}

    /** The change that followed a view. */
    record Decision(ViewId viewId) implements Topic {}
  }

  private static Topic topicOf(final GossipItem item) {
    if (item instanceof GossipItem.MemberUpdate update) {
      return new Topic.Member(update.id().name());
    }
    if (item instanceof GossipItem.ReachabilityReport report) {
      return new Topic.Report(report.observer().name(), report.subject().name());
    }
    if (item instanceof GossipItem.StatusUpdate update) {
      return new Topic.Status(update.id().name());
    }
    if (item instanceof GossipItem.ViewDecision decision) {
      return new Topic.Decision(decision.viewId());
    }
    throw new IllegalArgumentException("not an item to be spread: " + item);
  }

  // ---------------------------------------------------------------- adding and removing

  /** Queues an item for a number of sends. */
  void enqueue(final GossipItem item, final int sends) {
    final Topic topic = topicOf(item);
    int left = Math.min(MAX_SENDS, sends);
    final Integer before = remainingSends.get(topic);
    if (before != null) {
      remove(topic, before);
      left = Math.max(left, before);
    } else if (remainingSends.size() >= MAX_ITEMS) {
      dropMostSent();
    }
    put(topic, item, left);
  }

  private void dropMostSent() {
    for (int sends = 0; sends <= MAX_SENDS; sends++) {
      final Map<Topic, GossipItem> items = itemsByRemainingSends.get(sends);
      if (!items.isEmpty()) {
        remove(items.keySet().iterator().next(), sends);
        return;
      }
    }
  }

  /**
   * An item was received that may be queued here: it is sent less often, since it has spread
   * (Demers et al., PODC 1987).
   */
  void recordReceived(final GossipItem item) {
    final Topic topic = topicOf(item);
    final Integer left = remainingSends.get(topic);
    if (left == null) {
      return;
    }
    final GossipItem queued = itemsByRemainingSends.get(left).get(topic);
    if (queued.equals(item)) {
      reduceSends(topic, queued, left, RECEIVED_SENDS_REDUCTION);
    }
  }

  private void reduceSends(final Topic topic, final GossipItem item, final int left, final int by) {
    remove(topic, left);
    if (left > by) {
      put(topic, item, left - by);
    }
  }

  private void put(final Topic topic, final GossipItem item, final int left) {
    remainingSends.put(topic, left);
    itemsByRemainingSends.get(left).put(topic, item);
  }

  private void remove(final Topic topic, final int left) {
    remainingSends.remove(topic);
    itemsByRemainingSends.get(left).remove(topic);
  }

  // ---------------------------------------------------------------- sending

  /** Returns true if there is nothing to send, or no allowance for it. */
  boolean isIdle(final long nowUs) {
    refillAllowance(nowUs);
    return remainingSends.isEmpty() || allowanceBytes <= 0;
  }

  private void refillAllowance(final long nowUs) {
    final long refillBytes = (nowUs - allowanceUpdatedUs) * BYTES_PER_SECOND / MICROS_PER_SECOND;
    if (refillBytes > 0) {
      allowanceBytes = Math.min(BURST_BYTES, allowanceBytes + refillBytes);
      allowanceUpdatedUs = nowUs;
    }
  }

  /** Adds the items that fit into one packet beside {@code usedBytes}, and counts them as sent. */
  void drainInto(final List<GossipItem> items, final int usedBytes, final long nowUs) {
    if (isIdle(nowUs)) {
      return;
    }
    final int firstDrained = items.size();
    addFitting(items, usedBytes);
    for (final GossipItem item : items.subList(firstDrained, items.size())) {
      allowanceBytes -= item.maxBytes();
      final Topic topic = topicOf(item);
      reduceSends(topic, item, remainingSends.get(topic), 1);
    }
  }

  /** Adds items, those with the most sends left first, until one does not fit. */
  private void addFitting(final List<GossipItem> items, final int usedBytes) {
    int bytes = usedBytes;
    for (int sends = MAX_SENDS; sends > 0; sends--) {
      for (final GossipItem item : itemsByRemainingSends.get(sends).values()) {
        bytes += item.maxBytes();
        if (bytes > Packet.MAX_ITEM_BYTES) {
          return;
        }
        items.add(item);
      }
    }
  }
}

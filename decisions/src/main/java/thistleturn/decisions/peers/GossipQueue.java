package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip items that are to be disseminated. Each is sent a number of times that grows with the
 * logarithm of the fleet size, and items sent least often go first (SWIM: Das et al., DSN 2002). A
 * newer item on the same topic replaces the older one. The number of items is bounded, and so are
 * the bytes per second, by a token bucket: when the queue overflows, the item sent most often is
 * dropped; when the bucket is empty, items wait. The full-state exchange delivers what was dropped.
 */
final class GossipQueue {
  private static final int MAX_ITEMS = 2048;

  /** The cap on the remaining sends of an item; items at the cap go first. */
  private static final int MAX_SENDS = 64;

  /** The reduction of the remaining sends when the same item is received from another courier. */
  private static final int RECEIVED_SENDS_REDUCTION = 2;

  private static final long BYTES_PER_SECOND = 16_000;

  /** The capacity of the token bucket, in bytes. */
  private static final long BURST_BYTES = 8_000;

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Items by topic, grouped by their remaining sends; within one group in insertion order. */
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

  /** The topic of an item; only the latest item on a topic is kept. */
  private sealed interface Topic {
    /** The liveness of the peer of that name. */
    record Member(String name) implements Topic {}

    /** An observer's report about a subject. */
    record Report(String observer, String subject) implements Topic {}

    /** The status that the peer of that name reports. */
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
    throw new IllegalArgumentException("gossip items of this type are not disseminated: " + item);
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
   * Records that an item was received: if it is queued here, its remaining sends are reduced, since
   * others are disseminating it already (Demers et al., PODC 1987).
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

  /** Returns true if there is nothing to send, or the token bucket is empty. */
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

  /**
   * Adds the items that fit into a packet that already holds {@code usedBytes}, and counts them as
   * sent.
   */
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

  /** Adds items, in descending order of remaining sends, until one does not fit. */
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

package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is to be spread: each piece goes out a number of times that grows with the logarithm of the
 * fleet, what went out least first (SWIM: Das et al., DSN 2002). A newer piece about the same
 * matter takes the older one's place. Bounded in pieces and, by an allowance, in bytes a second:
 * where there is too much, what went out most often goes or waits; the full state makes up for it.
 */
final class GossipQueue {
  private static final int MAX_ITEMS = 2048;

  /** Pieces that still go out more often than that are among the first all the same. */
  private static final int MAX_SENDS = 64;

  /** By how much less often a piece goes out that somebody else told. */
  private static final int RECEIVED_SENDS_REDUCTION = 2;

  /** Bytes of pieces that go out in a second, and at once after a pause. */
  private static final long BYTES_PER_SECOND = 16_000;

  private static final long BURST_BYTES = 8_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /**
   * Pieces by matter, by how often they still go out; the order within is that of their coming
   * there.
   */
  private final List<Map<Object, GossipItem>> itemsByRemainingSends = new ArrayList<>();

  private final Map<Object, Integer> remainingSends = new HashMap<>();
  private long allowanceBytes = BURST_BYTES;
  private long allowanceUpdatedUs;

  GossipQueue(final long nowUs) {
    allowanceUpdatedUs = nowUs;
    for (int left = 0; left <= MAX_SENDS; left++) {
      itemsByRemainingSends.add(new LinkedHashMap<>());
    }
  }

  /** What a piece is about; a second piece about it takes the first one's place. */
  private record Topic(char kind, String subject, String qualifier) {}

  private static Object topicOf(final GossipItem item) {
    if (item instanceof GossipItem.MemberUpdate fact) {
      return new Topic('f', fact.id().name(), "");
    }
    if (item instanceof GossipItem.ReachabilityReport report) {
      return new Topic('r', report.observer().name(), report.subject().name());
    }
    if (item instanceof GossipItem.StatusUpdate said) {
      return new Topic('s', said.id().name(), "");
    }
    if (item instanceof GossipItem.ViewDecision decided) {
      return decided.viewId();
    }
    throw new IllegalArgumentException("not to be spread: " + item);
  }

  /** Spreads a piece so many times. */
  void enqueue(final GossipItem item, final int wanted) {
    final Object matter = topicOf(item);
    int left = Math.min(MAX_SENDS, wanted);
    final Integer before = remainingSends.remove(matter);
    if (before != null) {
      itemsByRemainingSends.get(before).remove(matter);
      left = Math.max(left, before);
    } else if (remainingSends.size() >= MAX_ITEMS) {
      dropMostSent();
    }
    remainingSends.put(matter, left);
    itemsByRemainingSends.get(left).put(matter, item);
  }

  private void dropMostSent() {
    for (final Map<Object, GossipItem> pieces : itemsByRemainingSends) {
      if (!pieces.isEmpty()) {
        final Object first = pieces.keySet().iterator().next();
        pieces.remove(first);
        remainingSends.remove(first);
        return;
      }
    }
  }

  /**
   * Somebody told a piece that is known here: it goes out less often, since it has spread (Demers
   * et al., PODC 1987).
   */
  void recordReceived(final GossipItem item) {
    final Object matter = topicOf(item);
    final Integer left = remainingSends.get(matter);
    if (left != null) {
      final GossipItem known = itemsByRemainingSends.get(left).get(matter);
      if (known.equals(item)) {
        remainingSends.remove(matter);
        itemsByRemainingSends.get(left).remove(matter);
        if (left > RECEIVED_SENDS_REDUCTION) {
          remainingSends.put(matter, left - RECEIVED_SENDS_REDUCTION);
          itemsByRemainingSends.get(left - RECEIVED_SENDS_REDUCTION).put(matter, known);
        }
      }
    }
  }

  /** True if there is nothing to spread, or no allowance to do so now. */
  boolean isIdle(final long nowUs) {
    refillAllowance(nowUs);
    return remainingSends.isEmpty() || allowanceBytes <= 0;
  }

  private void refillAllowance(final long nowUs) {
    final long more = (nowUs - allowanceUpdatedUs) * BYTES_PER_SECOND / MICROS_PER_SECOND;
    if (more > 0) {
      allowanceBytes = Math.min(BURST_BYTES, allowanceBytes + more);
      allowanceUpdatedUs = nowUs;
    }
  }

  /** Takes what goes into one datagram beside {@code used} bytes, and counts it as gone out. */
  void drainInto(final List<GossipItem> into, final int used, final long nowUs) {
    if (isIdle(nowUs)) {
      return;
    }
    int bytes = used;
    final int begun = into.size();
    for (int left = MAX_SENDS; left > 0 && bytes < Packet.MAX_ITEM_BYTES; left--) {
      for (final GossipItem item : itemsByRemainingSends.get(left).values()) {
        if (bytes + item.maxBytes() > Packet.MAX_ITEM_BYTES) {
          bytes = Packet.MAX_ITEM_BYTES;
          break;
        }
        bytes += item.maxBytes();
        into.add(item);
      }
    }
    for (final GossipItem item : into.subList(begun, into.size())) {
      allowanceBytes -= item.maxBytes();
      final Object matter = topicOf(item);
      final int left = remainingSends.remove(matter);
      itemsByRemainingSends.get(left).remove(matter);
      if (left > 1) {
        remainingSends.put(matter, left - 1);
        itemsByRemainingSends.get(left - 1).put(matter, item);
      }
    }
  }
}

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
final class Rumours {
  private static final int MOST = 2048;

  /** Pieces that still go out more often than that are among the first all the same. */
  private static final int MOST_TIMES = 64;

  /** By how much less often a piece goes out that somebody else told. */
  private static final int MET = 2;

  /** Bytes of pieces that go out in a second, and at once after a pause. */
  private static final long BYTES_PER_S = 16_000;

  private static final long BURST_BYTES = 8_000;
  private static final long US_PER_S = 1_000_000;

  /**
   * Pieces by matter, by how often they still go out; the order within is that of their coming
   * there.
   */
  private final List<Map<Object, Item>> byTimes = new ArrayList<>();

  private final Map<Object, Integer> times = new HashMap<>();
  private long allowance = BURST_BYTES;
  private long allowedUs;

  Rumours(final long nowUs) {
    allowedUs = nowUs;
    for (int left = 0; left <= MOST_TIMES; left++) {
      byTimes.add(new LinkedHashMap<>());
    }
  }

  /** What a piece is about; a second piece about it takes the first one's place. */
  private record Matter(char kind, String one, String other) {}

  private static Object matter(final Item item) {
    if (item instanceof Item.Fact fact) {
      return new Matter('f', fact.id().name(), "");
    }
    if (item instanceof Item.Report report) {
      return new Matter('r', report.observer().name(), report.subject().name());
    }
    if (item instanceof Item.Said said) {
      return new Matter('s', said.id().name(), "");
    }
    if (item instanceof Item.Decided decided) {
      return decided.of();
    }
    throw new IllegalArgumentException("not to be spread: " + item);
  }

  /** Spreads a piece so many times. */
  void add(final Item item, final int wanted) {
    final Object matter = matter(item);
    int left = Math.min(MOST_TIMES, wanted);
    final Integer before = times.remove(matter);
    if (before != null) {
      byTimes.get(before).remove(matter);
      left = Math.max(left, before);
    } else if (times.size() >= MOST) {
      dropOne();
    }
    times.put(matter, left);
    byTimes.get(left).put(matter, item);
  }

  private void dropOne() {
    for (final Map<Object, Item> pieces : byTimes) {
      if (!pieces.isEmpty()) {
        final Object first = pieces.keySet().iterator().next();
        pieces.remove(first);
        times.remove(first);
        return;
      }
    }
  }

  /**
   * Somebody told a piece that is known here: it goes out less often, since it has spread (Demers
   * et al., PODC 1987).
   */
  void met(final Item item) {
    final Object matter = matter(item);
    final Integer left = times.get(matter);
    if (left != null) {
      final Item known = byTimes.get(left).get(matter);
      if (known.equals(item)) {
        times.remove(matter);
        byTimes.get(left).remove(matter);
        if (left > MET) {
          times.put(matter, left - MET);
          byTimes.get(left - MET).put(matter, known);
        }
      }
    }
  }

  /** True if there is nothing to spread, or no allowance to do so now. */
  boolean isEmpty(final long nowUs) {
    allow(nowUs);
    return times.isEmpty() || allowance <= 0;
  }

  private void allow(final long nowUs) {
    final long more = (nowUs - allowedUs) * BYTES_PER_S / US_PER_S;
    if (more > 0) {
      allowance = Math.min(BURST_BYTES, allowance + more);
      allowedUs = nowUs;
    }
  }

  /** Takes what goes into one datagram beside {@code used} bytes, and counts it as gone out. */
  void fill(final List<Item> into, final int used, final long nowUs) {
    if (isEmpty(nowUs)) {
      return;
    }
    int bytes = used;
    final int begun = into.size();
    for (int left = MOST_TIMES; left > 0 && bytes < Packet.MOST_ITEM_BYTES; left--) {
      for (final Item item : byTimes.get(left).values()) {
        if (bytes + item.bytes() > Packet.MOST_ITEM_BYTES) {
          bytes = Packet.MOST_ITEM_BYTES;
          break;
        }
        bytes += item.bytes();
        into.add(item);
      }
    }
    for (final Item item : into.subList(begun, into.size())) {
      allowance -= item.bytes();
      final Object matter = matter(item);
      final int left = times.remove(matter);
      byTimes.get(left).remove(matter);
      if (left > 1) {
        times.put(matter, left - 1);
        byTimes.get(left - 1).put(matter, item);
      }
    }
  }
}

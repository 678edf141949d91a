package thistleturn.decisions.index;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/** The indexes give the same results as a linear search of a list. */
@Tag("scale")
final class IndexPropertyTest {
  private static final int STEPS = 300;

  private static final class DueEntry extends TimeHeap.Entry {}

  private static final class Member extends OrderedQueue.Entry {}

  private static final class Ranked extends Ranking.Entry {
    private final int number;
    private double valueAtZero;
    private double slope;
    private boolean hasValue;

    private Ranked(final int number) {
      this.number = number;
    }

    private double valueAt(final long nowUs) {
      return hasValue ? valueAtZero + slope * nowUs : Double.NEGATIVE_INFINITY;
    }
  }

  @Property(tries = 200)
  void timeHeap_pollsDueEntriesInOrder(@ForAll final long seed) {
    final Random random = new Random(seed);
    final TimeHeap<DueEntry> heap = new TimeHeap<>();
    final List<DueEntry> members = new ArrayList<>();
    final List<DueEntry> all = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(4) > 0) {
        final DueEntry entry =
            all.isEmpty() || random.nextBoolean()
                ? new DueEntry()
                : all.get(random.nextInt(all.size()));
        all.add(entry);
        final long dueUs = random.nextInt(10) == 0 ? Long.MAX_VALUE : random.nextInt(40);
        heap.schedule(entry, dueUs);
        members.remove(entry);
        if (dueUs != Long.MAX_VALUE) {
          members.add(entry);
          assertEquals(dueUs, entry.dueUs());
        }
      } else if (!members.isEmpty() && random.nextBoolean()) {
        heap.remove(members.remove(random.nextInt(members.size())));
      } else {
        final long nowUs = random.nextInt(40);
        final long leastUs =
            members.stream().mapToLong(DueEntry::dueUs).min().orElse(Long.MAX_VALUE);
        assertEquals(leastUs, heap.earliestDueUs());
        final DueEntry polled = heap.poll(nowUs);
        assertEquals(leastUs <= nowUs, polled != null);
        assertTrue(polled == null || (polled.dueUs() == leastUs && !polled.isScheduled()));
        members.remove(polled);
      }
      assertEquals(members.size(), heap.size());
      assertTrue(members.stream().allMatch(DueEntry::isScheduled));
    }
  }

  @Property(tries = 200)
  void orderedQueue_matchesLinearSearch(@ForAll final long seed) {
    final Random random = new Random(seed);
    final OrderedQueue<Member> queue = new OrderedQueue<>();
    final List<Member> members = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      if (members.isEmpty() || random.nextInt(3) > 0) {
        final Member member = new Member();
        queue.add(member, random.nextInt(30), step);
        members.add(member);
      } else {
        queue.remove(members.remove(random.nextInt(members.size())));
      }
      final long from = random.nextInt(32) - 1L;
      final long below = from + random.nextInt(10);
      final Comparator<Member> byKey = Comparator.comparingLong(OrderedQueue.Entry::key);
      final Comparator<Member> bySequence = Comparator.comparingLong(OrderedQueue.Entry::sequence);
      assertEquals(members.size(), queue.size());
      assertSame(
          members.stream()
              .filter(one -> one.key() >= from)
              .min(byKey.thenComparing(bySequence))
              .orElse(null),
          queue.firstAtOrAbove(from));
      assertSame(
          members.stream()
              .filter(one -> one.key() < below)
              .min(byKey.reversed().thenComparing(bySequence))
              .orElse(null),
          queue.lastBelow(below));
      assertSame(
          members.stream()
              .filter(one -> one.key() >= from && one.key() < below)
              .min(bySequence)
              .orElse(null),
          queue.earliest(from, below));
      checkGreatest(random, queue, members);
    }
  }

  /** {@link Long#MAX_VALUE} as a key is not below the upper bound of the last interval. */
  @Example
  void membersWithMaximumKey_greatestReturnsTheEarliest() {
    final OrderedQueue<Member> queue = new OrderedQueue<>();
    final Member first = new Member();
    queue.add(first, Long.MAX_VALUE, 0);
    queue.add(new Member(), Long.MAX_VALUE, 1);
    assertSame(first, queue.greatest(new long[] {5}, one -> 1));
  }

  /** Checks values that rise, fall or are constant between random breakpoints. */
  private static void checkGreatest(
      final Random random, final OrderedQueue<Member> queue, final List<Member> members) {
    final long[] breakpoints = random.longs(3, 0, 30).sorted().toArray();
    final int[] slopes = random.ints(4, -1, 2).toArray();
    final int[] heights = random.ints(4, 0, 40).toArray();
    final LongToDoubleFunction value =
        key -> {
          int interval = 0;
          while (interval < breakpoints.length && breakpoints[interval] <= key) {
            interval++;
          }
          return heights[interval] + slopes[interval] * key;
        };
    assertSame(
        members.stream()
            .min(
                Comparator.comparingDouble((Member one) -> -value.applyAsDouble(one.key()))
                    .thenComparingLong(OrderedQueue.Entry::sequence))
            .orElse(null),
        queue.greatest(breakpoints, one -> value.applyAsDouble(one.key())));
  }

  @Property(tries = 100)
  void rankingThatRefreshesAll_returnsTheGreatest(@ForAll final long seed) {
    checkAgainstLinearSearch(seed, 0);
  }

  /** The ranking is out of date by at most the time that the refresh of all entries takes. */
  @Property(tries = 100)
  void rankingThatRefreshesInTurn_isStaleForBoundedTime(@ForAll final long seed) {
    checkAgainstLinearSearch(seed, 100);
  }

  private static void checkAgainstLinearSearch(final long seed, final long refreshUs) {
    final Random random = new Random(seed);
    final long[] nowUs = {0};
    final Ranking<Ranked> ranking =
        new Ranking<>(
            entry -> entry.valueAt(nowUs[0]),
            Comparator.comparingInt((Ranked entry) -> entry.number),
            refreshUs);
    final List<Ranked> all = new ArrayList<>();
    for (int number = 0; number < 40; number++) {
      all.add(new Ranked(number));
    }
    for (int step = 0; step < STEPS; step++) {
      nowUs[0] += 1 + random.nextInt(2_000);
      for (int change = random.nextInt(4); change > 0; change--) {
        final Ranked changed = all.get(random.nextInt(all.size()));
        changed.hasValue = random.nextInt(4) > 0;
        changed.slope = random.nextInt(3) - 1;
        changed.valueAtZero = random.nextInt(20) * 1e3 - changed.slope * nowUs[0];
        ranking.invalidate(changed);
      }
      final Ranked greatest =
          all.stream()
              .filter(one -> one.hasValue)
              .min(
                  Comparator.comparingDouble((Ranked one) -> -one.valueAt(nowUs[0]))
                      .thenComparingInt(one -> one.number))
              .orElse(null);
      final Ranked found = ranking.best(nowUs[0]);
      assertEquals(all.stream().filter(one -> one.hasValue).count(), ranking.size());
      if (refreshUs == 0 || greatest == null) {
        assertSame(greatest, found);
      } else {
        // Since the last refresh one value may have risen and the other fallen, by 1 each us.
        final long stalenessUs = refreshUs * ranking.size();
        assertTrue(
            found.valueAt(nowUs[0]) >= greatest.valueAt(nowUs[0]) - 2 * stalenessUs,
            found.valueAt(nowUs[0])
                + " of "
                + greatest.valueAt(nowUs[0])
                + ", refresh period in us: "
                + stalenessUs);
      }
      assertEquals(
          all.stream().anyMatch(one -> one.hasValue && one.number % 7 == 0),
          ranking.anyOf(one -> one.number % 7 == 0, nowUs[0]));
    }
  }
}

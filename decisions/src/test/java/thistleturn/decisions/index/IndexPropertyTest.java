package thistleturn.decisions.index;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

/** The indexes answer as plain lists do that are searched from end to end. */
@Tag("scale")
final class IndexPropertyTest {
  private static final int STEPS = 300;

  private static final class Due extends TimeHeap.Entry {}

  private static final class Member extends OrderedQueue.Entry {}

  private static final class Ranked extends Ranking.Entry {
    private final int number;
    private double from;
    private double speed;
    private boolean has;

    private Ranked(final int number) {
      this.number = number;
    }

    private double at(final long nowUs) {
      return has ? from + speed * nowUs : Double.NEGATIVE_INFINITY;
    }
  }

  @Property(tries = 200)
  void timeHeap_pollsDueEntriesInOrder(@ForAll final long seed) {
    final Random random = new Random(seed);
    final TimeHeap<Due> heap = new TimeHeap<>();
    final List<Due> in = new ArrayList<>();
    final List<Due> all = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(4) > 0) {
        final Due one =
            all.isEmpty() || random.nextBoolean() ? new Due() : all.get(random.nextInt(all.size()));
        all.add(one);
        final long dueUs = random.nextInt(10) == 0 ? Long.MAX_VALUE : random.nextInt(40);
        heap.schedule(one, dueUs);
        in.remove(one);
        if (dueUs != Long.MAX_VALUE) {
          in.add(one);
          assertEquals(dueUs, one.dueUs());
        }
      } else if (!in.isEmpty() && random.nextBoolean()) {
        heap.remove(in.remove(random.nextInt(in.size())));
      } else {
        final long nowUs = random.nextInt(40);
        final long leastUs = in.stream().mapToLong(Due::dueUs).min().orElse(Long.MAX_VALUE);
        assertEquals(leastUs, heap.earliestDueUs());
        final Due polled = heap.poll(nowUs);
        assertEquals(leastUs <= nowUs, polled != null);
        assertTrue(polled == null || (polled.dueUs() == leastUs && !polled.isScheduled()));
        in.remove(polled);
      }
      assertEquals(in.size(), heap.size());
      assertTrue(in.stream().allMatch(Due::isScheduled));
    }
  }

  @Property(tries = 200)
  void orderedQueue_findsWhatALinearSearchFinds(@ForAll final long seed) {
    final Random random = new Random(seed);
    final OrderedQueue<Member> line = new OrderedQueue<>();
    final List<Member> in = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      if (in.isEmpty() || random.nextInt(3) > 0) {
        final Member member = new Member();
        line.add(member, random.nextInt(30), step);
        in.add(member);
      } else {
        line.remove(in.remove(random.nextInt(in.size())));
      }
      final long from = random.nextInt(32) - 1L;
      final long below = from + random.nextInt(10);
      final Comparator<Member> byKey = Comparator.comparingLong(OrderedQueue.Entry::key);
      final Comparator<Member> byPlace = Comparator.comparingLong(OrderedQueue.Entry::sequence);
      assertEquals(in.size(), line.size());
      assertSame(
          in.stream()
              .filter(one -> one.key() >= from)
              .min(byKey.thenComparing(byPlace))
              .orElse(null),
          line.firstAtOrAbove(from));
      assertSame(
          in.stream()
              .filter(one -> one.key() < below)
              .min(byKey.reversed().thenComparing(byPlace))
              .orElse(null),
          line.lastBelow(below));
      assertSame(
          in.stream()
              .filter(one -> one.key() >= from && one.key() < below)
              .min(byPlace)
              .orElse(null),
          line.earliest(from, below));
      greatest(random, line, in);
    }
  }

  /** Values that rise, fall or stay between turns drawn at random. */
  private static void greatest(
      final Random random, final OrderedQueue<Member> line, final List<Member> in) {
    final long[] turns = random.longs(3, 0, 30).sorted().toArray();
    final int[] slopes = random.ints(4, -1, 2).toArray();
    final int[] heights = random.ints(4, 0, 40).toArray();
    final java.util.function.LongToDoubleFunction value =
        key -> {
          int stretch = 0;
          while (stretch < turns.length && turns[stretch] <= key) {
            stretch++;
          }
          return heights[stretch] + slopes[stretch] * key;
        };
    assertSame(
        in.stream()
            .min(
                Comparator.comparingDouble((Member one) -> -value.applyAsDouble(one.key()))
                    .thenComparingLong(OrderedQueue.Entry::sequence))
            .orElse(null),
        line.greatest(turns, one -> value.applyAsDouble(one.key())));
  }

  @Property(tries = 100)
  void rankingThatRefreshesAll_findsTheGreatest(@ForAll final long seed) {
    play(seed, 0);
  }

  /**
   * One that looks in turn may be behind, but by no more than a look at each of its entries takes.
   */
  @Property(tries = 100)
  void rankingThatRefreshesInTurn_isStaleByABoundedTime(@ForAll final long seed) {
    play(seed, 100);
  }

  private static void play(final long seed, final long lookUs) {
    final Random random = new Random(seed);
    final long[] nowUs = {0};
    final Ranking<Ranked> ranking =
        new Ranking<>(
            entry -> entry.at(nowUs[0]),
            Comparator.comparingInt((Ranked entry) -> entry.number),
            lookUs);
    final List<Ranked> all = new ArrayList<>();
    for (int number = 0; number < 40; number++) {
      all.add(new Ranked(number));
    }
    for (int step = 0; step < STEPS; step++) {
      nowUs[0] += 1 + random.nextInt(2_000);
      for (int change = random.nextInt(4); change > 0; change--) {
        final Ranked one = all.get(random.nextInt(all.size()));
        one.has = random.nextInt(4) > 0;
        one.speed = random.nextInt(3) - 1;
        one.from = random.nextInt(20) * 1e3 - one.speed * nowUs[0];
        ranking.invalidate(one);
      }
      final Ranked greatest =
          all.stream()
              .filter(one -> one.has)
              .min(
                  Comparator.comparingDouble((Ranked one) -> -one.at(nowUs[0]))
                      .thenComparingInt(one -> one.number))
              .orElse(null);
      final Ranked found = ranking.best(nowUs[0]);
      assertEquals(all.stream().filter(one -> one.has).count(), ranking.size());
      if (lookUs == 0 || greatest == null) {
        assertSame(greatest, found);
      } else {
        // Both may have moved by one a microsecond since they were looked at, the one up, the other
        // down.
        final long behindUs = lookUs * ranking.size();
        assertTrue(
            found.at(nowUs[0]) >= greatest.at(nowUs[0]) - 2 * behindUs,
            found.at(nowUs[0]) + " of " + greatest.at(nowUs[0]) + ", behind by " + behindUs);
      }
      assertEquals(
          all.stream().anyMatch(one -> one.has && one.number % 7 == 0),
          ranking.anyOf(one -> one.number % 7 == 0, nowUs[0]));
    }
  }
}

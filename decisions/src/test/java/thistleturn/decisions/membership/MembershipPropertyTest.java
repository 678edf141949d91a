package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;

/**
 * Random sequences of reports, losses, restarts and time by three sources on a few addresses; what
 * the merge promises is checked after each step against what the sources have said, kept apart from
 * the module. jqwik prints the seed of a failure and shrinks the sequence.
 */
@Tag("membership")
final class MembershipPropertyTest {
  private static final int SEQUENCES = 100_000;
  private static final long SECOND = 1_000_000;
  private static final String[] SOURCES = {"list", "east", "west"};
  private static final int ADDRESSES = 4;
  private static final int DESTINATIONS = 2;
  private static final MergeSettings RULES =
      new MergeSettings(
          10 * SECOND, 30 * SECOND, 20 * SECOND, 0.15, 10 * SECOND, 2 * SECOND, 8 * SECOND, 50);

  enum Kind {
    UP,
    DRAIN,
    PENDING,
    DELETE,
    WHOLE,
    EMPTY,
    LOSE,
    HEARD,
    WAIT,
    SHORT
  }

  /** One thing that happens. {@code number} picks the instance, or how long to wait. */
  record Step(Kind kind, int source, int number, int place) {}

  @Provide
  Arbitrary<List<Step>> days() {
    final Arbitrary<Step> step =
        net.jqwik.api.Combinators.combine(
                Arbitraries.of(Kind.values()),
                Arbitraries.integers().between(0, SOURCES.length - 1),
                Arbitraries.integers().between(0, 3),
                Arbitraries.integers().between(0, ADDRESSES * DESTINATIONS - 1))
            .as(Step::new);
    return step.list().ofMaxSize(40);
  }

  @Property(tries = SEQUENCES, shrinking = ShrinkingMode.BOUNDED)
  void mergedViewKeepsItsInvariants(@ForAll("days") final List<Step> steps) {
    final World world = new World();
    steps.forEach(world::play);
  }

  /** The sources as they are in truth, the view as the courier has it, and the promises. */
  private static final class World {
    private final Membership membership = new Membership(RULES);
    private final List<Map<String, SourceReport>> said = new ArrayList<>();
    private final boolean[] lost = {true, true, true};
    private final Map<String, MergedEndpoint> view = new TreeMap<>();

    /** Instances that their source's last whole answer lacked though it has them. */
    private final Set<String> unmentioned = new HashSet<>();

    private long nowUs = SECOND;

    private World() {
      for (int index = 0; index < SOURCES.length; index++) {
        membership.addSource(nowUs, SOURCES[index], index, index == 0);
        said.add(new HashMap<>());
      }
    }

    private void play(final Step step) {
      final String source = SOURCES[step.source()];
      final Map<String, SourceReport> its = said.get(step.source());
      final Set<Long> upBefore = destinationsUp();
      final String instance = source + step.number();
      boolean outage = false;
      switch (step.kind()) {
        case UP, DRAIN, PENDING -> {
          final SourceReport report =
              new SourceReport(
                  instance,
                  "a" + step.place() / DESTINATIONS,
                  step.place() % DESTINATIONS,
                  "z",
                  "k",
                  1,
                  ReportedStatus.valueOf(step.kind().name()),
                  0);
          its.put(instance, report);
          unmentioned.remove(instance);
          membership.applyChanges(nowUs, source, List.of(report), List.of());
          lost[step.source()] = false;
        }
        case DELETE -> {
          its.remove(instance);
          membership.applyChanges(nowUs, source, List.of(), List.of(instance));
          lost[step.source()] = false;
        }
        case WHOLE -> {
          unmentioned.removeAll(its.keySet());
          membership.applySnapshot(nowUs, source, List.copyOf(its.values()));
          lost[step.source()] = false;
        }
        case EMPTY -> {
          // A registry after its restart; the platform's own list is believed.
          outage = step.source() != 0;
          if (step.source() == 0) {
            its.clear();
          }
          unmentioned.addAll(its.keySet());
          membership.applySnapshot(nowUs, source, List.of());
          lost[step.source()] = false;
        }
        case SHORT -> {
          final List<SourceReport> some = its.values().stream().limit(its.size() / 2).toList();
          outage = step.source() != 0 && its.size() >= 4;
          if (outage) {
            unmentioned.addAll(its.keySet());
            some.forEach(report -> unmentioned.remove(report.instanceId()));
            // A warning that it does mention is a word, and no outage.
            some.stream()
                .filter(report -> report.status().blocksNewCalls())
                .forEach(report -> upBefore.remove(report.destination()));
            membership.applySnapshot(nowUs, source, some);
            lost[step.source()] = false;
          }
        }
        case LOSE -> {
          outage = true;
          membership.markSourceUnreachable(nowUs, source);
          lost[step.source()] = true;
        }
        case HEARD -> {
          membership.markSourceReachable(nowUs, source);
          lost[step.source()] = false;
        }
        case WAIT -> {
          outage = true;
          nowUs += (long) (SECOND * Math.pow(3, step.number()));
        }
      }
      final List<MergedEndpoint> changed = membership.collectChanges(nowUs);
      changed.forEach(member -> view.put(member.name(), member));
      check(step, upBefore, outage);
    }

    private Set<Long> destinationsUp() {
      final Set<Long> up = new HashSet<>();
      view.values().stream().filter(World::isUp).forEach(member -> up.add(member.destination()));
      return up;
    }

    private static boolean isUp(final MergedEndpoint member) {
      return member.state() == MergedEndpoint.State.UP;
    }

    private static void require(final boolean kept, final String promise) {
      if (!kept) {
        throw new AssertionError(promise);
      }
    }

    private void check(final Step step, final Set<Long> upBefore, final boolean outage) {
      final Set<String> addresses = new HashSet<>();
      for (final MergedEndpoint member : view.values()) {
        if (isUp(member)) {
          require(
              addresses.add(member.address()),
              member.address() + " serves two destinations: " + view);
          require(isBacked(member), "nobody says that it is up: " + member);
          require(!isWarned(member), "a source that is heard warns of it: " + member);
        }
      }
      if (outage) {
        require(destinationsUp().containsAll(upBefore), step + " emptied a destination: " + view);
      }
      final Map<String, MergedEndpoint> now = new TreeMap<>();
      membership.endpoints().forEach(member -> now.put(member.name(), member));
      view.values()
          .removeIf(
              member ->
                  member.state() == MergedEndpoint.State.GONE && !now.containsKey(member.name()));
      now.values()
          .removeIf(
              member ->
                  member.state() == MergedEndpoint.State.GONE && !view.containsKey(member.name()));
      require(now.keySet().equals(view.keySet()), "told " + view + " but has " + now);
      now.forEach(
          (name, member) ->
              require(member.state() == view.get(name).state(), "told otherwise: " + name));
      require(membership.collectChanges(nowUs).isEmpty(), "it tells something twice");
      require(membership.nextChangeUs() > nowUs, "it wants to be called again at once");
    }

    /**
     * True if some source said of this place, and did not take it back by a word of its own, that
     * it is up.
     */
    private boolean isBacked(final MergedEndpoint member) {
      return said.stream()
          .flatMap(its -> its.values().stream())
          .anyMatch(report -> at(report, member) && report.status() == ReportedStatus.UP);
    }

    /** True if a source that is heard says only cautious things of this place. */
    private boolean isWarned(final MergedEndpoint member) {
      for (int index = 0; index < SOURCES.length; index++) {
        final List<SourceReport> its =
            said.get(index).values().stream().filter(report -> at(report, member)).toList();
        // An instance that succeeded one that drains outweighs it, also while an answer lacks it.
        if (!lost[index]
            && its.stream().allMatch(report -> report.status().blocksNewCalls())
            && its.stream().anyMatch(report -> !unmentioned.contains(report.instanceId()))) {
          return true;
        }
      }
      return false;
    }

    private static boolean at(final SourceReport report, final MergedEndpoint member) {
      return report.address().equals(member.address())
          && report.destination() == member.destination();
    }
  }
}

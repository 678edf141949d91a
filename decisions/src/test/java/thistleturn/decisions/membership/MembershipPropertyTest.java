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
 * Random sequences of reports, outages, restarts and elapsed time, with three sources and a few
 * addresses. After each step the guarantees of the merge are checked against what the sources have
 * reported, which the test records independently of the merge. jqwik prints the seed of a failure
 * and shrinks the sequence.
 */
@Tag("membership")
final class MembershipPropertyTest {
  private static final int SEQUENCES = 100_000;
  private static final long SECOND = 1_000_000;
  private static final String[] SOURCES = {"list", "east", "west"};

  /** The index of the source whose snapshots are authoritative. */
  private static final int LIST = 0;

  private static final int ADDRESSES = 4;
  private static final int DESTINATIONS = 2;
  private static final MergeSettings SETTINGS =
      new MergeSettings(
          10 * SECOND, 30 * SECOND, 20 * SECOND, 0.15, 10 * SECOND, 2 * SECOND, 8 * SECOND, 50);

  enum Kind {
    REPORT_UP,
    REPORT_DRAIN,
    REPORT_PENDING,
    DELETE,
    SNAPSHOT,
    EMPTY_SNAPSHOT,
    OUTAGE,
    RESPONSE,
    WAIT,
    SHORT_SNAPSHOT
  }

  /**
   * One event. {@code number} selects the instance or the time to wait, {@code place} the address
   * and the destination.
   */
  record Step(Kind kind, int source, int number, int place) {
    String address() {
      return "a" + place / DESTINATIONS;
    }

    long destination() {
      return place % DESTINATIONS;
    }
  }

  @Provide
  Arbitrary<List<Step>> sequences() {
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
  void randomSequence_keepsTheInvariantsOfTheMergedView(
      @ForAll("sequences") final List<Step> steps) {
    final Simulation simulation = new Simulation();
    steps.forEach(simulation::perform);
  }

  /** The sources' true state, a courier's view by the collected changes, and the checks. */
  private static final class Simulation {
    private final Membership membership = new Membership(SETTINGS);
    private final List<Map<String, SourceReport>> reportedBySource = new ArrayList<>();
    private final boolean[] unreachable = {true, true, true};
    private final Map<String, MergedEndpoint> view = new TreeMap<>();

    /** Instances that their source has but its last snapshot lacked. */
    private final Set<String> missing = new HashSet<>();

    private long nowUs = SECOND;

    private Simulation() {
      for (int index = 0; index < SOURCES.length; index++) {
        membership.addSource(nowUs, SOURCES[index], index, index == LIST);
        reportedBySource.add(new HashMap<>());
      }
    }

    private void perform(final Step step) {
      final Set<Long> upBefore = destinationsUp();
      final boolean isOutage =
          switch (step.kind()) {
            case REPORT_UP -> report(step, ReportedStatus.UP);
            case REPORT_DRAIN -> report(step, ReportedStatus.DRAIN);
            case REPORT_PENDING -> report(step, ReportedStatus.PENDING);
            case DELETE -> delete(step);
            case SNAPSHOT -> sendSnapshot(step);
            case EMPTY_SNAPSHOT -> sendEmptySnapshot(step);
            case SHORT_SNAPSHOT -> sendShortSnapshot(step, upBefore);
            case OUTAGE -> loseSource(step);
            case RESPONSE -> respond(step);
            case WAIT -> elapse(step);
          };
      final List<MergedEndpoint> changed = membership.collectChanges(nowUs);
      changed.forEach(endpoint -> view.put(endpoint.name(), endpoint));
      checkEndpoints();
      if (isOutage) {
        require(destinationsUp().containsAll(upBefore), step + " emptied a destination: " + view);
      }
      checkView();
    }

    // ------------------------------------------------ steps; each returns whether it is an outage

    private boolean report(final Step step, final ReportedStatus status) {
      final String source = SOURCES[step.source()];
      final String instanceId = source + step.number();
      final SourceReport report =
          new SourceReport(instanceId, step.address(), step.destination(), "z", "k", 1, status, 0);
      reported(step).put(instanceId, report);
      missing.remove(instanceId);
      membership.applyChanges(nowUs, source, List.of(report), List.of());
      unreachable[step.source()] = false;
      return false;
    }

    private boolean delete(final Step step) {
      final String source = SOURCES[step.source()];
      final String instanceId = source + step.number();
      reported(step).remove(instanceId);
      membership.applyChanges(nowUs, source, List.of(), List.of(instanceId));
      unreachable[step.source()] = false;
      return false;
    }

    private boolean sendSnapshot(final Step step) {
      missing.removeAll(reported(step).keySet());
      applySnapshot(step, List.copyOf(reported(step).values()));
      return false;
    }

    /**
     * Sends an empty snapshot: of a registry after its restart, or of the platform, whose list is
     * authoritative even if it is empty.
     */
    private boolean sendEmptySnapshot(final Step step) {
      final boolean isOutage = step.source() != LIST;
      if (!isOutage) {
        reported(step).clear();
      }
      missing.addAll(reported(step).keySet());
      applySnapshot(step, List.of());
      return isOutage;
    }

    /** Sends half of the instances of a registry, if that is implausible. */
    private boolean sendShortSnapshot(final Step step, final Set<Long> upBefore) {
      final Map<String, SourceReport> all = reported(step);
      final boolean isOutage = step.source() != LIST && all.size() >= 4;
      if (isOutage) {
        final List<SourceReport> half = all.values().stream().limit(all.size() / 2).toList();
        missing.addAll(all.keySet());
        half.forEach(report -> missing.remove(report.instanceId()));
        // A warning contained in the snapshot is a report, not an outage.
        half.stream()
            .filter(report -> report.status().blocksNewCalls())
            .forEach(report -> upBefore.remove(report.destination()));
        applySnapshot(step, half);
      }
      return isOutage;
    }

    private boolean loseSource(final Step step) {
      membership.markSourceUnreachable(nowUs, SOURCES[step.source()]);
      unreachable[step.source()] = true;
      return true;
    }

    private boolean respond(final Step step) {
      membership.markSourceReachable(nowUs, SOURCES[step.source()]);
      unreachable[step.source()] = false;
      return false;
    }

    private boolean elapse(final Step step) {
      nowUs += (long) (SECOND * Math.pow(3, step.number()));
      return true;
    }

    private void applySnapshot(final Step step, final List<SourceReport> reports) {
      membership.applySnapshot(nowUs, SOURCES[step.source()], reports);
      unreachable[step.source()] = false;
    }

    private Map<String, SourceReport> reported(final Step step) {
      return reportedBySource.get(step.source());
    }

    // ------------------------------------------------ guarantees

    private Set<Long> destinationsUp() {
      final Set<Long> up = new HashSet<>();
      view.values().stream()
          .filter(Simulation::isUp)
          .forEach(endpoint -> up.add(endpoint.destination()));
      return up;
    }

    private static boolean isUp(final MergedEndpoint endpoint) {
      return endpoint.state() == MergedEndpoint.State.UP;
    }

    private static boolean isGone(final MergedEndpoint endpoint) {
      return endpoint.state() == MergedEndpoint.State.GONE;
    }

    private static void require(final boolean holds, final String guarantee) {
      if (!holds) {
        throw new AssertionError(guarantee);
      }
    }

    /**
     * Checks that every endpoint that is up is reported up, not warned of, and alone at its
     * address.
     */
    private void checkEndpoints() {
      final Set<String> addresses = new HashSet<>();
      for (final MergedEndpoint endpoint : view.values()) {
        if (isUp(endpoint)) {
          require(
              addresses.add(endpoint.address()),
              endpoint.address() + " serves two destinations: " + view);
          require(isReportedUp(endpoint), "no source reports it up: " + endpoint);
          require(!isWarnedOf(endpoint), "a reachable source warns of it: " + endpoint);
        }
      }
    }

    /** Checks that the collected changes add up to the view of the merge. */
    private void checkView() {
      final Map<String, MergedEndpoint> merged = new TreeMap<>();
      membership.endpoints().forEach(endpoint -> merged.put(endpoint.name(), endpoint));
      view.values().removeIf(endpoint -> isGone(endpoint) && !merged.containsKey(endpoint.name()));
      merged.values().removeIf(endpoint -> isGone(endpoint) && !view.containsKey(endpoint.name()));
      require(merged.keySet().equals(view.keySet()), "collected " + view + " but has " + merged);
      merged.forEach(
          (name, endpoint) ->
              require(
                  endpoint.state() == view.get(name).state(),
                  "collected another state of " + name));
      require(membership.collectChanges(nowUs).isEmpty(), "a change is collected twice");
      require(membership.nextChangeUs() > nowUs, "the next change is due at once");
    }

    /** Returns true if a source reported the endpoint up and has not withdrawn that since. */
    private boolean isReportedUp(final MergedEndpoint endpoint) {
      return reportedBySource.stream()
          .flatMap(reports -> reports.values().stream())
          .anyMatch(report -> describes(report, endpoint) && report.status() == ReportedStatus.UP);
    }

    /** Returns true if a reachable source reports only warnings of the endpoint. */
    private boolean isWarnedOf(final MergedEndpoint endpoint) {
      for (int index = 0; index < SOURCES.length; index++) {
        final List<SourceReport> reports =
            reportedBySource.get(index).values().stream()
                .filter(report -> describes(report, endpoint))
                .toList();
        // An instance that replaced a draining one outweighs it, even if a snapshot lacks it.
        if (!unreachable[index]
            && reports.stream().allMatch(report -> report.status().blocksNewCalls())
            && reports.stream().anyMatch(report -> !missing.contains(report.instanceId()))) {
          return true;
        }
      }
      return false;
    }

    private static boolean describes(final SourceReport report, final MergedEndpoint endpoint) {
      return report.address().equals(endpoint.address())
          && report.destination() == endpoint.destination();
    }
  }
}

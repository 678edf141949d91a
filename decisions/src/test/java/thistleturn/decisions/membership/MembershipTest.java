package thistleturn.decisions.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** The rules of the merge, which {@code docs/design/membership.md} explains, one by one. */
@Tag("membership")
final class MembershipTest {
  private static final long SECOND = 1_000_000;
  private static final MergeSettings SETTINGS = MergeSettings.defaults();

  private final Membership membership = new Membership(SETTINGS);
  private long nowUs = SECOND;

  @BeforeEach
  void sources() {
    membership.addSource(nowUs, "list", 0, true);
    membership.addSource(nowUs, "eureka", 1, false);
  }

  private static SourceReport report(
      final String instanceId, final int port, final ReportedStatus status) {
    return report(instanceId, port, 7, status, 0);
  }

  private static SourceReport report(
      final String instanceId,
      final int port,
      final long destination,
      final ReportedStatus status,
      final long version) {
    return new SourceReport(
        instanceId, "127.0.0.1:" + port, destination, "a", "std", 5, status, version);
  }

  private void platformSnapshot(final SourceReport... reports) {
    membership.applySnapshot(nowUs, "list", List.of(reports));
  }

  private void registrySnapshot(final SourceReport... reports) {
    membership.applySnapshot(nowUs, "eureka", List.of(reports));
  }

  private MergedEndpoint endpoint(final int port) {
    membership.collectChanges(nowUs);
    return membership.endpoints().stream()
        .filter(merged -> merged.address().endsWith(":" + port))
        .findFirst()
        .orElseThrow();
  }

  private void assertState(
      final int port, final MergedEndpoint.State state, final StateReason reason) {
    final MergedEndpoint found = endpoint(port);
    assertEquals(state, found.state(), found.toString());
    assertEquals(reason, found.reason(), found.toString());
  }

  @Test
  void reportsOfASingleSource_determineTheStates() {
    registrySnapshot(
        report("i", 1, ReportedStatus.UP),
        report("j", 2, ReportedStatus.PENDING),
        report("k", 3, ReportedStatus.DRAIN));
    final List<MergedEndpoint> changed = membership.collectChanges(nowUs);
    assertEquals(
        List.of(
            MergedEndpoint.State.UP, MergedEndpoint.State.DRAINING, MergedEndpoint.State.DRAINING),
        changed.stream().map(MergedEndpoint::state).toList());
    assertTrue(membership.collectChanges(nowUs).isEmpty(), "a change is collected twice");
  }

  @Test
  void conflictingStatuses_theMoreCautiousWinsAtOnce() {
    platformSnapshot(report("e", 1, ReportedStatus.UP));
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    nowUs += 3600 * SECOND;
    membership.markSourceReachable(nowUs, "list");
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    platformSnapshot(report("e", 1, ReportedStatus.DRAIN));
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    assertEquals("list", endpoint(1).decidedBy());
  }

  @Test
  void warningOfUnreachableSource_expiresAfterTheConflictWindow() {
    platformSnapshot(report("e", 1, ReportedStatus.UP));
    registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
    membership.markSourceUnreachable(nowUs, "eureka");
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    assertEquals(nowUs + SETTINGS.conflictWindowUs(), membership.nextChangeUs());
    nowUs += SETTINGS.conflictWindowUs();
    assertState(1, MergedEndpoint.State.UP, StateReason.WARNING_EXPIRED);
    membership.markSourceReachable(nowUs, "eureka");
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
  }

  @Test
  void warningThatNoSourceContradicts_neverExpires() {
    registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
    membership.markSourceUnreachable(nowUs, "eureka");
    nowUs += 100 * SETTINGS.staleAfterUs();
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
  }

  @Test
  void deletion_countsAtOnceUntilAnotherSourceConfirmsTheEndpoint() {
    platformSnapshot(report("e", 1, ReportedStatus.UP));
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("i"));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.DELETED);
    nowUs += SETTINGS.conflictWindowUs();
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void deletionThatNoSourceContradicts_removesTheEndpoint() {
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("i"));
    assertEquals(MergedEndpoint.State.GONE, membership.collectChanges(nowUs).get(0).state());
    nowUs += SETTINGS.stableAfterUs();
    membership.collectChanges(nowUs);
    assertTrue(membership.endpoints().isEmpty(), "its record is removed after the stable period");
    assertEquals(Long.MAX_VALUE, membership.nextChangeUs());
  }

  @Test
  void endpointMissingFromPlausibleSnapshot_isRemoved() {
    registrySnapshot(report("i", 1, ReportedStatus.UP), report("j", 2, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    registrySnapshot(report("j", 2, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
  }

  @Test
  void emptyOrMuchSmallerSnapshot_removesNothing() {
    final SourceReport[] ten =
        IntStream.range(0, 10)
            .mapToObj(port -> report("i" + port, port, port, ReportedStatus.UP, 0))
            .toArray(SourceReport[]::new);
    registrySnapshot(ten);
    membership.collectChanges(nowUs);
    for (final int size : new int[] {0, 5, 8}) {
      registrySnapshot(List.of(ten).subList(0, size).toArray(SourceReport[]::new));
      assertTrue(membership.collectChanges(nowUs).isEmpty(), "with " + size + " of 10");
    }
    assertState(9, MergedEndpoint.State.UP, StateReason.DOUBTED);
    registrySnapshot(List.of(ten).subList(0, 9).toArray(SourceReport[]::new));
    assertState(9, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertState(8, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void slowlyShrinkingSnapshots_areImplausibleToo() {
    final List<SourceReport> remaining =
        new ArrayList<>(
            IntStream.range(0, 40)
                .mapToObj(port -> report("i" + port, port, port, ReportedStatus.UP, 0))
                .toList());
    registrySnapshot(remaining.toArray(SourceReport[]::new));
    membership.collectChanges(nowUs);
    while (remaining.size() > 10) {
      nowUs += 30 * SECOND;
      remaining.subList(0, 5).clear();
      registrySnapshot(remaining.toArray(SourceReport[]::new));
      membership.collectChanges(nowUs);
    }
    final long up =
        membership.endpoints().stream()
            .filter(merged -> merged.state() == MergedEndpoint.State.UP)
            .count();
    assertTrue(up >= 34, "still up: " + up);
  }

  @Test
  void longMissingEndpoint_isDrainedOnceItsDestinationHasAnother() {
    registrySnapshot(
        report("i", 1, ReportedStatus.UP),
        report("j", 2, ReportedStatus.UP),
        report("k", 3, ReportedStatus.UP));
    registrySnapshot();
    nowUs += SETTINGS.absenceGraceUs();
    registrySnapshot();
    assertState(1, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
    registrySnapshot(report("k", 3, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.STALE_SPARED);
    assertState(3, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void staleEndpoint_isUsedUnlessAFresherOneExists() {
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    platformSnapshot(report("e", 2, ReportedStatus.UP));
    membership.markSourceUnreachable(nowUs, "eureka");
    assertState(1, MergedEndpoint.State.UP, StateReason.STALE);
    nowUs += SETTINGS.staleAfterUs();
    membership.markSourceReachable(nowUs, "list");
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.STALE_SPARED);
    membership.markSourceUnreachable(nowUs, "list");
    nowUs += SETTINGS.staleAfterUs();
    assertState(1, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
    assertState(2, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
  }

  @Test
  void newInstanceAtSameAddress_replacesTheOldOne() {
    registrySnapshot(
        report("old", 1, 7, ReportedStatus.DRAIN, 5), report("x", 2, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    membership.applyChanges(
        nowUs, "eureka", List.of(report("new", 1, 7, ReportedStatus.UP, 6)), List.of());
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("old"));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void movedInstance_leavesItsOldAddress() {
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    registrySnapshot(report("i", 2, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertState(2, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void addressClaimedTwice_servesTheDestinationOfTheHigherRankedSource() {
    registrySnapshot(report("i", 1, 8, ReportedStatus.UP, 0));
    platformSnapshot(report("e", 1, 7, ReportedStatus.UP, 0));
    membership.collectChanges(nowUs);
    final List<MergedEndpoint> up =
        membership.endpoints().stream()
            .filter(endpoint -> endpoint.state() == MergedEndpoint.State.UP)
            .toList();
    assertEquals(List.of(7L), up.stream().map(MergedEndpoint::destination).toList());
    platformSnapshot();
    membership.collectChanges(nowUs);
    assertEquals(
        List.of(8L),
        membership.endpoints().stream()
            .filter(endpoint -> endpoint.state() == MergedEndpoint.State.UP)
            .map(MergedEndpoint::destination)
            .toList());
  }

  @Test
  void olderVersion_mayWarnButNotClearAWarning() {
    registrySnapshot(report("i", 1, 7, ReportedStatus.DRAIN, 10));
    registrySnapshot(report("i", 1, 7, ReportedStatus.UP, 9));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    registrySnapshot(report("i", 1, 7, ReportedStatus.UP, 10));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    registrySnapshot(report("i", 1, 7, ReportedStatus.DRAIN, 9));
    assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    nowUs += SETTINGS.conflictWindowUs();
    registrySnapshot(report("i", 1, 7, ReportedStatus.UP, 8));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void flapping_delaysTheReturnIncreasinglyAndNeverTheDrain() {
    platformSnapshot(report("steady", 2, ReportedStatus.UP));
    long longestUs = 0;
    for (int flap = 1; flap <= 8; flap++) {
      registrySnapshot(report("i", 1, ReportedStatus.UP));
      long heldDownUs = 0;
      while (endpoint(1).state() != MergedEndpoint.State.UP) {
        assertEquals(StateReason.FLAPPING, endpoint(1).reason());
        heldDownUs += membership.nextChangeUs() - nowUs;
        nowUs = membership.nextChangeUs();
      }
      assertTrue(
          heldDownUs >= longestUs && heldDownUs <= SETTINGS.maxHoldDownUs(),
          "held down for " + heldDownUs);
      longestUs = heldDownUs;
      nowUs += SECOND;
      registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
      assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    }
    assertEquals(SETTINGS.maxHoldDownUs(), longestUs);
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    nowUs += SETTINGS.maxHoldDownUs();
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
    nowUs += SETTINGS.stableAfterUs();
    registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
    membership.collectChanges(nowUs);
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void onlyEndpointOfADestination_isNotHeldDownForFlapping() {
    for (int flap = 0; flap < 5; flap++) {
      registrySnapshot(report("i", 1, ReportedStatus.UP));
      assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
      registrySnapshot(report("i", 1, ReportedStatus.DRAIN));
      assertState(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    }
  }

  @Test
  void removedSource_removesItsEndpoints() {
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    platformSnapshot(report("e", 2, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    membership.removeSource("eureka");
    assertState(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertState(2, MergedEndpoint.State.UP, StateReason.SAID);
    assertThrows(
        IllegalArgumentException.class, () -> membership.markSourceReachable(nowUs, "eureka"));
    membership.addSource(nowUs, "eureka", 1, false);
    registrySnapshot(report("i", 1, ReportedStatus.UP));
    assertState(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void entriesBeyondTheBound_areDroppedAndCounted() {
    final Membership small = new Membership(new MergeSettings(0, 0, 0, 0.15, 0, 0, 0, 2));
    small.addSource(nowUs, "s", 0, false);
    small.applySnapshot(
        nowUs,
        "s",
        List.of(
            report("i", 1, ReportedStatus.UP),
            report("j", 2, ReportedStatus.UP),
            report("k", 3, ReportedStatus.UP)));
    assertEquals(2, small.collectChanges(nowUs).size());
    assertEquals(1, small.sourceStatuses().get(0).droppedEntries());
  }

  @Test
  void rateOfADestination_isTakenFromAnySourceThatReportsIt() {
    registrySnapshot(new SourceReport("i", "127.0.0.1:1", 7, "a", "std", 0, ReportedStatus.UP, 0));
    platformSnapshot(report("e", 2, ReportedStatus.UP));
    assertEquals(5, endpoint(1).ratePerSecond());
  }

  @Test
  void contradictorySettings_areRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> new MergeSettings(10, 5, 0, 0.1, 0, 0, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new MergeSettings(0, 0, 0, 1, 0, 0, 0, 1));
    assertThrows(
        IllegalArgumentException.class, () -> membership.addSource(nowUs, "third", 1, false));
  }
}

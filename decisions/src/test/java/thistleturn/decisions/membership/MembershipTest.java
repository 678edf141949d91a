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

/** The rules of the merge, one by one. */
@Tag("membership")
final class MembershipTest {
  private static final long SECOND = 1_000_000;
  private static final MergeSettings RULES = MergeSettings.defaults();

  private final Membership membership = new Membership(RULES);
  private long nowUs = SECOND;

  @BeforeEach
  void sources() {
    membership.addSource(nowUs, "list", 0, true);
    membership.addSource(nowUs, "eureka", 1, false);
  }

  private static SourceReport report(
      final String instance, final int port, final ReportedStatus word) {
    return report(instance, port, 7, word, 0);
  }

  private static SourceReport report(
      final String instance,
      final int port,
      final long destination,
      final ReportedStatus word,
      final long version) {
    return new SourceReport(
        instance, "127.0.0.1:" + port, destination, "a", "std", 5, word, version);
  }

  private void list(final SourceReport... reports) {
    membership.applySnapshot(nowUs, "list", List.of(reports));
  }

  private void eureka(final SourceReport... reports) {
    membership.applySnapshot(nowUs, "eureka", List.of(reports));
  }

  private MergedEndpoint member(final int port) {
    membership.collectChanges(nowUs);
    return membership.endpoints().stream()
        .filter(member -> member.address().endsWith(":" + port))
        .findFirst()
        .orElseThrow();
  }

  private void assertIs(
      final int port, final MergedEndpoint.State state, final StateReason because) {
    final MergedEndpoint member = member(port);
    assertEquals(state, member.state(), member.toString());
    assertEquals(because, member.reason(), member.toString());
  }

  @Test
  void singleSource_isBelieved() {
    eureka(
        report("i", 1, ReportedStatus.UP),
        report("j", 2, ReportedStatus.PENDING),
        report("k", 3, ReportedStatus.DRAIN));
    final List<MergedEndpoint> told = membership.collectChanges(nowUs);
    assertEquals(
        List.of(
            MergedEndpoint.State.UP, MergedEndpoint.State.DRAINING, MergedEndpoint.State.DRAINING),
        told.stream().map(MergedEndpoint::state).toList());
    assertTrue(membership.collectChanges(nowUs).isEmpty(), "nothing is told twice");
  }

  @Test
  void conflictingStatuses_theMoreCautiousWinsAtOnce() {
    list(report("e", 1, ReportedStatus.UP));
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    eureka(report("i", 1, ReportedStatus.DRAIN));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    nowUs += 3600 * SECOND;
    membership.markSourceReachable(nowUs, "list");
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    list(report("e", 1, ReportedStatus.DRAIN));
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    assertEquals("list", member(1).decidedBy());
  }

  @Test
  void warningOfUnreachableSource_expiresAfterTheConflictWindow() {
    list(report("e", 1, ReportedStatus.UP));
    eureka(report("i", 1, ReportedStatus.DRAIN));
    membership.markSourceUnreachable(nowUs, "eureka");
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
    assertEquals(nowUs + RULES.conflictWindowUs(), membership.nextChangeUs());
    nowUs += RULES.conflictWindowUs();
    assertIs(1, MergedEndpoint.State.UP, StateReason.WARNING_EXPIRED);
    membership.markSourceReachable(nowUs, "eureka");
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.CAUTION);
  }

  @Test
  void warningThatNoSourceContradicts_neverExpires() {
    eureka(report("i", 1, ReportedStatus.DRAIN));
    membership.markSourceUnreachable(nowUs, "eureka");
    nowUs += 100 * RULES.staleAfterUs();
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
  }

  @Test
  void deletion_countsAtOnceUntilAnotherSourceConfirmsTheEndpoint() {
    list(report("e", 1, ReportedStatus.UP));
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("i"));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.DELETED);
    nowUs += RULES.conflictWindowUs();
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void deletionThatNoSourceContradicts_removesTheEndpoint() {
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("i"));
    assertEquals(MergedEndpoint.State.GONE, membership.collectChanges(nowUs).get(0).state());
    nowUs += RULES.stableAfterUs();
    membership.collectChanges(nowUs);
    assertTrue(membership.endpoints().isEmpty(), "it is not remembered for ever");
    assertEquals(Long.MAX_VALUE, membership.nextChangeUs());
  }

  @Test
  void endpointMissingFromPlausibleSnapshot_isRemoved() {
    eureka(report("i", 1, ReportedStatus.UP), report("j", 2, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    eureka(report("j", 2, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
  }

  @Test
  void emptyOrMuchSmallerSnapshot_removesNothing() {
    final SourceReport[] ten =
        IntStream.range(0, 10)
            .mapToObj(port -> report("i" + port, port, port, ReportedStatus.UP, 0))
            .toArray(SourceReport[]::new);
    eureka(ten);
    membership.collectChanges(nowUs);
    for (final int left : new int[] {0, 5, 8}) {
      eureka(List.of(ten).subList(0, left).toArray(SourceReport[]::new));
      assertTrue(membership.collectChanges(nowUs).isEmpty(), "with " + left + " of 10");
    }
    assertIs(9, MergedEndpoint.State.UP, StateReason.DOUBTED);
    eureka(List.of(ten).subList(0, 9).toArray(SourceReport[]::new));
    assertIs(9, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertIs(8, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void slowlyShrinkingSnapshots_areImplausibleToo() {
    final List<SourceReport> left =
        new ArrayList<>(
            IntStream.range(0, 40)
                .mapToObj(port -> report("i" + port, port, port, ReportedStatus.UP, 0))
                .toList());
    eureka(left.toArray(SourceReport[]::new));
    membership.collectChanges(nowUs);
    while (left.size() > 10) {
      nowUs += 30 * SECOND;
      left.subList(0, 5).clear();
      eureka(left.toArray(SourceReport[]::new));
      membership.collectChanges(nowUs);
    }
    final long up =
        membership.endpoints().stream()
            .filter(member -> member.state() == MergedEndpoint.State.UP)
            .count();
    assertTrue(up >= 34, "still up: " + up);
  }

  @Test
  void longMissingEndpoint_isDrainedOnceItsDestinationHasAnother() {
    eureka(
        report("i", 1, ReportedStatus.UP),
        report("j", 2, ReportedStatus.UP),
        report("k", 3, ReportedStatus.UP));
    eureka();
    nowUs += RULES.absenceGraceUs();
    eureka();
    assertIs(1, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
    eureka(report("k", 3, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.STALE_SPARED);
    assertIs(3, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void staleEndpoint_isUsedUnlessAFresherOneExists() {
    eureka(report("i", 1, ReportedStatus.UP));
    list(report("e", 2, ReportedStatus.UP));
    membership.markSourceUnreachable(nowUs, "eureka");
    assertIs(1, MergedEndpoint.State.UP, StateReason.STALE);
    nowUs += RULES.staleAfterUs();
    membership.markSourceReachable(nowUs, "list");
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.STALE_SPARED);
    membership.markSourceUnreachable(nowUs, "list");
    nowUs += RULES.staleAfterUs();
    assertIs(1, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
    assertIs(2, MergedEndpoint.State.UP, StateReason.LAST_RESORT);
  }

  @Test
  void newInstanceAtSameAddress_replacesTheOldOne() {
    eureka(report("old", 1, 7, ReportedStatus.DRAIN, 5), report("x", 2, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    membership.applyChanges(
        nowUs, "eureka", List.of(report("new", 1, 7, ReportedStatus.UP, 6)), List.of());
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    membership.applyChanges(nowUs, "eureka", List.of(), List.of("old"));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void movedInstance_leavesItsOldAddress() {
    eureka(report("i", 1, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    eureka(report("i", 2, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertIs(2, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void addressClaimedTwice_servesTheDestinationOfTheHigherRankedSource() {
    eureka(report("i", 1, 8, ReportedStatus.UP, 0));
    list(report("e", 1, 7, ReportedStatus.UP, 0));
    membership.collectChanges(nowUs);
    final List<MergedEndpoint> up =
        membership.endpoints().stream()
            .filter(one -> one.state() == MergedEndpoint.State.UP)
            .toList();
    assertEquals(List.of(7L), up.stream().map(MergedEndpoint::destination).toList());
    list();
    membership.collectChanges(nowUs);
    assertEquals(
        List.of(8L),
        membership.endpoints().stream()
            .filter(one -> one.state() == MergedEndpoint.State.UP)
            .map(MergedEndpoint::destination)
            .toList());
  }

  @Test
  void olderVersion_mayWarnButNotClearAWarning() {
    eureka(report("i", 1, 7, ReportedStatus.DRAIN, 10));
    eureka(report("i", 1, 7, ReportedStatus.UP, 9));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    eureka(report("i", 1, 7, ReportedStatus.UP, 10));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    eureka(report("i", 1, 7, ReportedStatus.DRAIN, 9));
    assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    nowUs += RULES.conflictWindowUs();
    eureka(report("i", 1, 7, ReportedStatus.UP, 8));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void flapping_delaysTheReturnIncreasinglyAndNeverTheDrain() {
    list(report("steady", 2, ReportedStatus.UP));
    long longest = 0;
    for (int fall = 1; fall <= 8; fall++) {
      eureka(report("i", 1, ReportedStatus.UP));
      long heldUs = 0;
      while (member(1).state() != MergedEndpoint.State.UP) {
        assertEquals(StateReason.FLAPPING, member(1).reason());
        heldUs += membership.nextChangeUs() - nowUs;
        nowUs = membership.nextChangeUs();
      }
      assertTrue(heldUs >= longest && heldUs <= RULES.maxHoldDownUs(), "held for " + heldUs);
      longest = heldUs;
      nowUs += SECOND;
      eureka(report("i", 1, ReportedStatus.DRAIN));
      assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    }
    assertEquals(RULES.maxHoldDownUs(), longest);
    eureka(report("i", 1, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    nowUs += RULES.maxHoldDownUs();
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
    nowUs += RULES.stableAfterUs();
    eureka(report("i", 1, ReportedStatus.DRAIN));
    membership.collectChanges(nowUs);
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
  }

  @Test
  void onlyEndpointOfADestination_isNotHeldDownForFlapping() {
    for (int fall = 0; fall < 5; fall++) {
      eureka(report("i", 1, ReportedStatus.UP));
      assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
      eureka(report("i", 1, ReportedStatus.DRAIN));
      assertIs(1, MergedEndpoint.State.DRAINING, StateReason.SAID);
    }
  }

  @Test
  void removedSource_takesItsEndpointsAlong() {
    eureka(report("i", 1, ReportedStatus.UP));
    list(report("e", 2, ReportedStatus.UP));
    membership.collectChanges(nowUs);
    membership.removeSource("eureka");
    assertIs(1, MergedEndpoint.State.GONE, StateReason.UNLISTED);
    assertIs(2, MergedEndpoint.State.UP, StateReason.SAID);
    assertThrows(
        IllegalArgumentException.class, () -> membership.markSourceReachable(nowUs, "eureka"));
    membership.addSource(nowUs, "eureka", 1, false);
    eureka(report("i", 1, ReportedStatus.UP));
    assertIs(1, MergedEndpoint.State.UP, StateReason.SAID);
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
    eureka(new SourceReport("i", "127.0.0.1:1", 7, "a", "std", 0, ReportedStatus.UP, 0));
    list(report("e", 2, ReportedStatus.UP));
    assertEquals(5, member(1).ratePerSecond());
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

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
  private static final Rules RULES = Rules.standard();

  private final Membership membership = new Membership(RULES);
  private long nowUs = SECOND;

  @BeforeEach
  void sources() {
    membership.addSource(nowUs, "list", 0, true);
    membership.addSource(nowUs, "eureka", 1, false);
  }

  private static Report report(final String instance, final int port, final Word word) {
    return report(instance, port, 7, word, 0);
  }

  private static Report report(
      final String instance,
      final int port,
      final long destination,
      final Word word,
      final long version) {
    return new Report(instance, "127.0.0.1:" + port, destination, "a", "std", 5, word, version);
  }

  private void list(final Report... reports) {
    membership.whole(nowUs, "list", List.of(reports));
  }

  private void eureka(final Report... reports) {
    membership.whole(nowUs, "eureka", List.of(reports));
  }

  private Member member(final int port) {
    membership.decide(nowUs);
    return membership.members().stream()
        .filter(member -> member.address().endsWith(":" + port))
        .findFirst()
        .orElseThrow();
  }

  private void assertIs(final int port, final Member.State state, final Because because) {
    final Member member = member(port);
    assertEquals(state, member.state(), member.toString());
    assertEquals(because, member.because(), member.toString());
  }

  @Test
  void oneSourceAloneIsTakenAtItsWord() {
    eureka(report("i", 1, Word.UP), report("j", 2, Word.PENDING), report("k", 3, Word.DRAIN));
    final List<Member> told = membership.decide(nowUs);
    assertEquals(
        List.of(Member.State.UP, Member.State.DRAINING, Member.State.DRAINING),
        told.stream().map(Member::state).toList());
    assertTrue(membership.decide(nowUs).isEmpty(), "nothing is told twice");
  }

  @Test
  void theMoreCautiousWordCountsAtOnceWhicheverSourceSaysIt() {
    list(report("e", 1, Word.UP));
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
    eureka(report("i", 1, Word.DRAIN));
    assertIs(1, Member.State.DRAINING, Because.CAUTION);
    nowUs += 3600 * SECOND;
    membership.heard(nowUs, "list");
    assertIs(1, Member.State.DRAINING, Because.CAUTION);
    list(report("e", 1, Word.DRAIN));
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.DRAINING, Because.CAUTION);
    assertEquals("list", member(1).decidedBy());
  }

  @Test
  void aWarningOutlivesItsSourceForAWhileOnly() {
    list(report("e", 1, Word.UP));
    eureka(report("i", 1, Word.DRAIN));
    membership.lost(nowUs, "eureka");
    assertIs(1, Member.State.DRAINING, Because.CAUTION);
    assertEquals(nowUs + RULES.disagreementUs(), membership.nextUs());
    nowUs += RULES.disagreementUs();
    assertIs(1, Member.State.UP, Because.WARNING_EXPIRED);
    membership.heard(nowUs, "eureka");
    assertIs(1, Member.State.DRAINING, Because.CAUTION);
  }

  @Test
  void aWarningThatNobodyElseAnswersStaysHoweverLongItsSourceIsSilent() {
    eureka(report("i", 1, Word.DRAIN));
    membership.lost(nowUs, "eureka");
    nowUs += 100 * RULES.staleUseUs();
    assertIs(1, Member.State.DRAINING, Because.SAID);
  }

  @Test
  void aDeletionCountsAtOnceAndAnotherSourceMustListItOnceMore() {
    list(report("e", 1, Word.UP));
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
    membership.changes(nowUs, "eureka", List.of(), List.of("i"));
    assertIs(1, Member.State.DRAINING, Because.DELETED);
    nowUs += RULES.disagreementUs();
    assertIs(1, Member.State.UP, Because.SAID);
  }

  @Test
  void aDeletionThatNoSourceContradictsEndsTheEndpoint() {
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
    membership.changes(nowUs, "eureka", List.of(), List.of("i"));
    assertEquals(Member.State.GONE, membership.decide(nowUs).get(0).state());
    nowUs += RULES.calmUs();
    membership.decide(nowUs);
    assertTrue(membership.members().isEmpty(), "it is not remembered for ever");
    assertEquals(Long.MAX_VALUE, membership.nextUs());
  }

  @Test
  void oneThatAPlausibleAnswerLacksIsGone() {
    eureka(report("i", 1, Word.UP), report("j", 2, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
    eureka(report("j", 2, Word.UP));
    assertIs(1, Member.State.GONE, Because.UNLISTED);
  }

  @Test
  void anEmptyAnswerAndOneThatLacksManyTakeNothing() {
    final Report[] ten =
        IntStream.range(0, 10)
            .mapToObj(port -> report("i" + port, port, port, Word.UP, 0))
            .toArray(Report[]::new);
    eureka(ten);
    membership.decide(nowUs);
    for (final int left : new int[] {0, 5, 8}) {
      eureka(List.of(ten).subList(0, left).toArray(Report[]::new));
      assertTrue(membership.decide(nowUs).isEmpty(), "with " + left + " of 10");
    }
    assertIs(9, Member.State.UP, Because.DOUBTED);
    eureka(List.of(ten).subList(0, 9).toArray(Report[]::new));
    assertIs(9, Member.State.GONE, Because.UNLISTED);
    assertIs(8, Member.State.UP, Because.SAID);
  }

  @Test
  void aRegistryThatErodesSlowlyIsDoubtedAllTheSame() {
    final List<Report> left =
        new ArrayList<>(
            IntStream.range(0, 40)
                .mapToObj(port -> report("i" + port, port, port, Word.UP, 0))
                .toList());
    eureka(left.toArray(Report[]::new));
    membership.decide(nowUs);
    while (left.size() > 10) {
      nowUs += 30 * SECOND;
      left.subList(0, 5).clear();
      eureka(left.toArray(Report[]::new));
      membership.decide(nowUs);
    }
    final long up =
        membership.members().stream().filter(member -> member.state() == Member.State.UP).count();
    assertTrue(up >= 34, "still up: " + up);
  }

  @Test
  void whatIsAbsentForLongGoesOnceItsDestinationHasAnother() {
    eureka(report("i", 1, Word.UP), report("j", 2, Word.UP), report("k", 3, Word.UP));
    eureka();
    nowUs += RULES.doubtUs();
    eureka();
    assertIs(1, Member.State.UP, Because.LAST_RESORT);
    eureka(report("k", 3, Word.UP));
    assertIs(1, Member.State.DRAINING, Because.STALE_SPARED);
    assertIs(3, Member.State.UP, Because.SAID);
  }

  @Test
  void aStaleEndpointIsUsedAndSparedOnlyForAFresherOne() {
    eureka(report("i", 1, Word.UP));
    list(report("e", 2, Word.UP));
    membership.lost(nowUs, "eureka");
    assertIs(1, Member.State.UP, Because.STALE);
    nowUs += RULES.staleUseUs();
    membership.heard(nowUs, "list");
    assertIs(1, Member.State.DRAINING, Because.STALE_SPARED);
    membership.lost(nowUs, "list");
    nowUs += RULES.staleUseUs();
    assertIs(1, Member.State.UP, Because.LAST_RESORT);
    assertIs(2, Member.State.UP, Because.LAST_RESORT);
  }

  @Test
  void aNewInstanceAtAnOldAddressSucceedsTheOldOne() {
    eureka(report("old", 1, 7, Word.DRAIN, 5), report("x", 2, Word.UP));
    assertIs(1, Member.State.DRAINING, Because.SAID);
    membership.changes(nowUs, "eureka", List.of(report("new", 1, 7, Word.UP, 6)), List.of());
    assertIs(1, Member.State.UP, Because.SAID);
    membership.changes(nowUs, "eureka", List.of(), List.of("old"));
    assertIs(1, Member.State.UP, Because.SAID);
  }

  @Test
  void anInstanceThatMovesLeavesItsOldAddress() {
    eureka(report("i", 1, Word.UP));
    membership.decide(nowUs);
    eureka(report("i", 2, Word.UP));
    assertIs(1, Member.State.GONE, Because.UNLISTED);
    assertIs(2, Member.State.UP, Because.SAID);
  }

  @Test
  void anAddressServesOneDestinationTheOneOfTheHigherRank() {
    eureka(report("i", 1, 8, Word.UP, 0));
    list(report("e", 1, 7, Word.UP, 0));
    membership.decide(nowUs);
    final List<Member> up =
        membership.members().stream().filter(one -> one.state() == Member.State.UP).toList();
    assertEquals(List.of(7L), up.stream().map(Member::destination).toList());
    list();
    membership.decide(nowUs);
    assertEquals(
        List.of(8L),
        membership.members().stream()
            .filter(one -> one.state() == Member.State.UP)
            .map(Member::destination)
            .toList());
  }

  @Test
  void anOlderWordWarnsButDoesNotReassure() {
    eureka(report("i", 1, 7, Word.DRAIN, 10));
    eureka(report("i", 1, 7, Word.UP, 9));
    assertIs(1, Member.State.DRAINING, Because.SAID);
    eureka(report("i", 1, 7, Word.UP, 10));
    assertIs(1, Member.State.UP, Because.SAID);
    eureka(report("i", 1, 7, Word.DRAIN, 9));
    assertIs(1, Member.State.DRAINING, Because.SAID);
    nowUs += RULES.disagreementUs();
    eureka(report("i", 1, 7, Word.UP, 8));
    assertIs(1, Member.State.UP, Because.SAID);
  }

  @Test
  void flappingDelaysTheReturnMoreEachTimeAndNeverTheDrain() {
    list(report("steady", 2, Word.UP));
    long longest = 0;
    for (int fall = 1; fall <= 8; fall++) {
      eureka(report("i", 1, Word.UP));
      long heldUs = 0;
      while (member(1).state() != Member.State.UP) {
        assertEquals(Because.FLAPPING, member(1).because());
        heldUs += membership.nextUs() - nowUs;
        nowUs = membership.nextUs();
      }
      assertTrue(heldUs >= longest && heldUs <= RULES.mostHoldUs(), "held for " + heldUs);
      longest = heldUs;
      nowUs += SECOND;
      eureka(report("i", 1, Word.DRAIN));
      assertIs(1, Member.State.DRAINING, Because.SAID);
    }
    assertEquals(RULES.mostHoldUs(), longest);
    eureka(report("i", 1, Word.UP));
    membership.decide(nowUs);
    nowUs += RULES.mostHoldUs();
    assertIs(1, Member.State.UP, Because.SAID);
    nowUs += RULES.calmUs();
    eureka(report("i", 1, Word.DRAIN));
    membership.decide(nowUs);
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
  }

  @Test
  void aDestinationIsNotLeftWithoutAnEndpointBecauseItFlaps() {
    for (int fall = 0; fall < 5; fall++) {
      eureka(report("i", 1, Word.UP));
      assertIs(1, Member.State.UP, Because.SAID);
      eureka(report("i", 1, Word.DRAIN));
      assertIs(1, Member.State.DRAINING, Because.SAID);
    }
  }

  @Test
  void aSourceThatIsTakenOutTakesItsEndpointsAlong() {
    eureka(report("i", 1, Word.UP));
    list(report("e", 2, Word.UP));
    membership.decide(nowUs);
    membership.removeSource("eureka");
    assertIs(1, Member.State.GONE, Because.UNLISTED);
    assertIs(2, Member.State.UP, Because.SAID);
    assertThrows(IllegalArgumentException.class, () -> membership.heard(nowUs, "eureka"));
    membership.addSource(nowUs, "eureka", 1, false);
    eureka(report("i", 1, Word.UP));
    assertIs(1, Member.State.UP, Because.SAID);
  }

  @Test
  void whatIsBeyondTheBoundIsDroppedAndCounted() {
    final Membership small = new Membership(new Rules(0, 0, 0, 0.15, 0, 0, 0, 2));
    small.addSource(nowUs, "s", 0, false);
    small.whole(
        nowUs,
        "s",
        List.of(report("i", 1, Word.UP), report("j", 2, Word.UP), report("k", 3, Word.UP)));
    assertEquals(2, small.decide(nowUs).size());
    assertEquals(1, small.sources().get(0).dropped());
  }

  @Test
  void theRateOfADestinationIsTakenFromWhoeverTellsIt() {
    eureka(new Report("i", "127.0.0.1:1", 7, "a", "std", 0, Word.UP, 0));
    list(report("e", 2, Word.UP));
    assertEquals(5, member(1).ratePerSecond());
  }

  @Test
  void figuresThatContradictEachOtherAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new Rules(10, 5, 0, 0.1, 0, 0, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(0, 0, 0, 1, 0, 0, 0, 1));
    assertThrows(
        IllegalArgumentException.class, () -> membership.addSource(nowUs, "third", 1, false));
  }
}

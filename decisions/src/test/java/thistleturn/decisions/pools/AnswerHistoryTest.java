package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.pools.AnswerHistory.Doubt;
import thistleturn.decisions.pools.AnswerHistory.Kind;

/** Virtual time in microseconds. */
final class AnswerHistoryTest {
  private static final Kind DELIVERED = new Kind(200, false);
  private static final Kind REJECTED = new Kind(503, false);
  private static final Kind GONE = new Kind(410, true);
  private static final Kind[] KINDS = {DELIVERED, DELIVERED, REJECTED, GONE};
  private static final long SLOWEST_US = 100;
  private static final int SEEDS = 20_000;

  /** A history with an answer in each microsecond, each of which was due long after that. */
  private static AnswerHistory of(final Kind... kinds) {
    final AnswerHistory history = new AnswerHistory();
    for (int place = 0; place < kinds.length; place++) {
      history.onCallSent(place);
      history.add(kinds[place], SLOWEST_US);
    }
    return history;
  }

  @Test
  void answerOfKindThatWasNotCarried_isOwn() {
    assertTrue(of(DELIVERED).isOwn(GONE));
    assertFalse(of(DELIVERED).isOwn(DELIVERED));
    assertFalse(of(DELIVERED, DELIVERED).isOwn(GONE));
  }

  @Test
  void answerBehindSilence_isOwnUnlessItsKindWasCarried() {
    final AnswerHistory history = of(DELIVERED, DELIVERED);
    history.settleIfUnsuspected();
    assertTrue(history.isOwn(GONE));
    assertFalse(history.isOwn(DELIVERED));
  }

  @Test
  void answersBeforeFirstPossibleCopy_areInNoDoubt() {
    final AnswerHistory history = of(DELIVERED, GONE, DELIVERED);
    history.addSurplus(REJECTED, 3);
    assertEquals(Doubt.NONE, history.doubtOf(1, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(2, true));
  }

  /** Guards against a lost message where a slow answer comes behind that of a later call. */
  @Test
  void slowAnswer_mayBeThatOfAnyCallThatIsNotDue() {
    final AnswerHistory history = of(DELIVERED, DELIVERED, DELIVERED, DELIVERED);
    history.addSurplus(REJECTED, 2 + SLOWEST_US);
    assertEquals(Doubt.NONE, history.doubtOf(1, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(2, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(3, true));
  }

  /** Guards against a lost message whose own answer is added late, after a wait for silence. */
  @Test
  void answerThatIsAddedLater_countsFromWhenItWasRead() {
    final AnswerHistory history = of(DELIVERED, DELIVERED);
    history.onCallSent(2);
    history.onAnswerComplete(1 + SLOWEST_US);
    history.add(REJECTED, SLOWEST_US);
    history.addSurplus(Kind.UNKNOWN, 2 * SLOWEST_US);
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(1, false));
  }

  @Test
  void ownAnswerThatStatesAnEnd_isToldApart() {
    final AnswerHistory history = of(DELIVERED, DELIVERED);
    history.addSurplus(GONE, 2);
    assertEquals(Doubt.MAY_BE_END, history.doubtOf(1, true));
  }

  @Test
  void surplusAnswerOfSameKind_putsNothingInDoubtOnceAllHaveCome() {
    final AnswerHistory history = of(DELIVERED, DELIVERED, DELIVERED);
    history.addSurplus(DELIVERED, 3);
    assertEquals(Doubt.NONE, history.doubtOf(2, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(2, false));
  }

  @Test
  void connectionWithoutSurplus_putsOnlyMissingAnswersInDoubt() {
    final AnswerHistory history = of(DELIVERED, DELIVERED, DELIVERED);
    assertEquals(Doubt.NONE, history.doubtOf(0, false));
    assertEquals(Doubt.NONE, history.doubtOf(2, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(2, false));
  }

  @Test
  void settledAnswers_areInNoDoubtAndKeepTheirPlaces() {
    final AnswerHistory history = of(DELIVERED, DELIVERED);
    history.settleIfUnsuspected();
    history.onCallSent(2);
    final int place = history.add(DELIVERED, SLOWEST_US);
    history.addSurplus(REJECTED, 3);
    assertEquals(2, place);
    assertEquals(Doubt.NONE, history.doubtOf(1, true));
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(2, true));
  }

  @Test
  void manyAnswers_keepTheirPlaces() {
    final AnswerHistory history = new AnswerHistory();
    int place = 0;
    for (int answer = 0; answer < 1000; answer++) {
      history.onCallSent(answer);
      place = history.add(DELIVERED, 1);
    }
    history.addSurplus(REJECTED, 1000);
    assertEquals(999, place);
    assertEquals(Doubt.MAY_BE_OTHER, history.doubtOf(place, true));
    assertEquals(Doubt.NONE, history.doubtOf(0, true));
  }

  /** A response on its way to the courier. */
  private record Response(Kind kind, long arrivesUs) {}

  /** A connection on which some responses come twice; an endpoint answers its calls at once. */
  private static final class PlayedConnection {
    private final Random random;
    private final AnswerHistory history = new AnswerHistory();
    private final Queue<Response> coming =
        new PriorityQueue<>(Comparator.comparingLong(Response::arrivesUs));
    private final List<Kind> own = new ArrayList<>();
    private final List<Kind> read = new ArrayList<>();
    private final boolean[] provedOwn;
    private long nowUs;
    private boolean complete;

    PlayedConnection(final long seed) {
      random = new Random(seed);
      final int calls = 1 + random.nextInt(7);
      provedOwn = new boolean[calls];
      while (read.size() < calls && history.surplus() == 0) {
        call();
        rest();
      }
      drain();
    }

    private void call() {
      final Kind kind = KINDS[random.nextInt(KINDS.length)];
      final long sentUs = nowUs;
      final long arrivesUs = sentUs + 1 + random.nextInt((int) SLOWEST_US);
      own.add(kind);
      coming.add(new Response(kind, arrivesUs));
      if (random.nextInt(3) == 0) {
        coming.add(new Response(kind, arrivesUs + 1 + random.nextInt(3 * (int) SLOWEST_US)));
      }
      final Response first = coming.remove();
      nowUs = first.arrivesUs();
      provedOwn[read.size()] = read.isEmpty() || history.isOwn(first.kind());
      history.onCallSent(sentUs);
      history.onAnswerComplete(nowUs);
      history.add(first.kind(), SLOWEST_US);
      read.add(first.kind());
    }

    /** Between two calls; a connection on which nothing came for long enough is in step. */
    private void rest() {
      final long restUs = random.nextInt(4) == 0 ? SLOWEST_US : random.nextInt(30);
      final Response next = coming.peek();
      if (next != null && next.arrivesUs() <= nowUs + restUs) {
        readSurplus();
      } else {
        nowUs += restUs;
        history.settleIfSilent(nowUs, SLOWEST_US);
      }
    }

    private void readSurplus() {
      final Response next = coming.remove();
      nowUs = next.arrivesUs();
      history.addSurplus(next.kind(), nowUs);
    }

    /** What is still coming is read without a call, unless the connection ends before. */
    private void drain() {
      final long endsUs = nowUs + random.nextInt(2 * (int) SLOWEST_US);
      while (!coming.isEmpty() && coming.peek().arrivesUs() <= endsUs) {
        readSurplus();
      }
      complete = endsUs >= nowUs + SLOWEST_US || coming.isEmpty();
    }
  }

  /**
   * Guards against a false answer that counts as certain: endpoints work on calls at once, copies
   * come at any time, and connections end at any time.
   */
  @Test
  void randomCopies_leaveNoFalseAnswerWithoutDoubt() {
    int wrong = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      final PlayedConnection played = new PlayedConnection(seed);
      for (int call = 0; call < played.read.size(); call++) {
        if (!played.read.get(call).equals(played.own.get(call))) {
          wrong++;
          assertFalse(played.provedOwn[call], "seed " + seed + ", call " + call);
          assertNotEquals(
              Doubt.NONE,
              played.history.doubtOf(call, played.complete),
              "seed " + seed + ", call " + call);
        }
      }
    }
    assertTrue(wrong > SEEDS / 20, "false answers: " + wrong);
  }
}

package thistleturn.decisions.words;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.words.Word.Kind;

/** Of what several say the more careful word counts, each for as long as it was said for. */
@Tag("decisions")
final class WordsTest {
  private static final long NEVER = Long.MAX_VALUE;

  @Test
  void whoeverIsSpokenOfByNobodyIsNotBound() {
    assertEquals(Long.MIN_VALUE, Words.NONE.openAtUs(5, 10));
    assertEquals(Double.POSITIVE_INFINITY, Words.NONE.ceiling(10));
    assertEquals(1, Words.NONE.weight(10));
    assertEquals(NEVER, Words.NONE.changesUs(10));
  }

  @Test
  void theMoreCarefulOfTwoSpeakersCounts() {
    final Words words =
        Words.NONE
            .with(new Word(Kind.RATE, 10, "a", NEVER), 0)
            .with(new Word(Kind.RATE, 2, "b", 900_000), 0)
            .with(new Word(Kind.CEILING, 3, "a", NEVER), 0)
            .with(new Word(Kind.CEILING, 7, "b", NEVER), 0)
            .with(new Word(Kind.WEIGHT, 0.5, "a", NEVER), 0)
            .with(new Word(Kind.WEIGHT, 0.2, "b", 100), 0);
    assertEquals(500_000, words.openAtUs(0, 0), "two a second");
    assertEquals(900_000, words.openAtUs(800_000, 800_000), "until that word is over");
    assertEquals(1_050_000, words.openAtUs(950_000, 950_000), "then ten");
    assertEquals(3, words.ceiling(50));
    assertEquals(0.2, words.weight(50));
    assertEquals(0.5, words.weight(100));
    assertEquals(100, words.changesUs(50));
    assertEquals(900_000, words.changesUs(100));
  }

  @Test
  void oneSpeakerSaysOneThingOfAKindAndTakesItBack() {
    final Words first = Words.NONE.with(new Word(Kind.CEILING, 3, "a", NEVER), 0);
    final Words second = first.with(new Word(Kind.CEILING, 8, "a", NEVER), 1);
    assertEquals(8, second.ceiling(1));
    assertEquals(3, first.ceiling(1), "what was said before is as it was");
    assertSame(Words.NONE, second.with(new Word(Kind.CEILING, 1, "a", NEVER).over(), 2));
  }

  @Test
  void anExclusionAndTheLatestWaitHoldEverythingBack() {
    final Words words =
        Words.NONE.with(Word.of(Kind.WAIT, "a", 700), 0).with(Word.of(Kind.WAIT, "b", 400), 0);
    assertEquals(700, words.openAtUs(0, 10));
    assertEquals(NEVER, words.with(Word.of(Kind.EXCLUSION, "operator", NEVER), 0).openAtUs(0, 10));
    assertEquals(Long.MIN_VALUE, words.openAtUs(0, 700), "both are over");
    assertEquals(List.of(), words.inForce(700));
  }

  @Test
  void aCrowdOfSpeakersIsBounded() {
    Words words = Words.NONE;
    for (int speaker = 0; speaker < 10 * Words.MOST; speaker++) {
      words = words.with(Word.of(Kind.WAIT, "s" + speaker, 1000 + speaker), 0);
    }
    assertEquals(Words.MOST, words.inForce(0).size());
    assertEquals(
        1000 + 10 * Words.MOST - 1,
        words.openAtUs(0, 0),
        "those whose words end first are forgotten");
  }

  @Test
  void whatCannotBeMeantIsTurnedDownWithItsReason() {
    for (final double value : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
      final var wrong =
          assertThrows(IllegalArgumentException.class, () -> new Word(Kind.RATE, value, "a", 1));
      assertTrue(wrong.getMessage().contains("RATE"), wrong.getMessage());
      assertThrows(IllegalArgumentException.class, () -> new Word(Kind.LIMIT, value, "a", 1));
    }
    assertThrows(IllegalArgumentException.class, () -> new Word(Kind.CEILING, 0.5, "a", 1));
    assertThrows(IllegalArgumentException.class, () -> new Word(Kind.WEIGHT, 1.5, "a", 1));
    assertThrows(IllegalArgumentException.class, () -> Word.of(Kind.WAIT, " ", 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> Word.of(Kind.WAIT, "n".repeat(Word.MOST_NAME + 1), 1));
  }
}

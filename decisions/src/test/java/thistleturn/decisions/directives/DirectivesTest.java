package thistleturn.decisions.directives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.directives.Directive.Kind;

/** The strictest of several sources' directives takes effect, each until it expires. */
@Tag("decisions")
final class DirectivesTest {
  private static final long NEVER = Long.MAX_VALUE;

  @Test
  void noDirectives_restrictNothing() {
    assertEquals(Long.MIN_VALUE, Directives.NONE.earliestCallUs(5, 10));
    assertEquals(Double.POSITIVE_INFINITY, Directives.NONE.concurrencyLimit(10));
    assertEquals(1, Directives.NONE.weight(10));
    assertEquals(NEVER, Directives.NONE.nextExpiryUs(10));
  }

  @Test
  void conflictingDirectives_strictestTakesEffect() {
    final Directives directives =
        Directives.NONE
            .with(new Directive(Kind.RATE, 10, "a", NEVER), 0)
            .with(new Directive(Kind.RATE, 2, "b", 900_000), 0)
            .with(new Directive(Kind.CEILING, 3, "a", NEVER), 0)
            .with(new Directive(Kind.CEILING, 7, "b", NEVER), 0)
            .with(new Directive(Kind.WEIGHT, 0.5, "a", NEVER), 0)
            .with(new Directive(Kind.WEIGHT, 0.2, "b", 100), 0);
    assertEquals(500_000, directives.earliestCallUs(0, 0), "two calls a second");
    assertEquals(
        900_000, directives.earliestCallUs(800_000, 800_000), "until that directive expires");
    assertEquals(1_050_000, directives.earliestCallUs(950_000, 950_000), "then ten calls a second");
    assertEquals(3, directives.concurrencyLimit(50));
    assertEquals(0.2, directives.weight(50));
    assertEquals(0.5, directives.weight(100));
    assertEquals(100, directives.nextExpiryUs(50));
    assertEquals(900_000, directives.nextExpiryUs(100));
  }

  @Test
  void laterDirectiveOfSameSource_replacesOrWithdrawsTheEarlier() {
    final Directives first = Directives.NONE.with(new Directive(Kind.CEILING, 3, "a", NEVER), 0);
    final Directives second = first.with(new Directive(Kind.CEILING, 8, "a", NEVER), 1);
    assertEquals(8, second.concurrencyLimit(1));
    assertEquals(3, first.concurrencyLimit(1), "the earlier set is unchanged");
    assertSame(
        Directives.NONE, second.with(new Directive(Kind.CEILING, 1, "a", NEVER).withdrawn(), 2));
  }

  @Test
  void exclusionOrLatestWait_blocksAllCalls() {
    final Directives directives =
        Directives.NONE
            .with(Directive.of(Kind.WAIT, "a", 700), 0)
            .with(Directive.of(Kind.WAIT, "b", 400), 0);
    assertEquals(700, directives.earliestCallUs(0, 10));
    assertEquals(
        NEVER,
        directives.with(Directive.of(Kind.EXCLUSION, "operator", NEVER), 0).earliestCallUs(0, 10));
    assertEquals(Long.MIN_VALUE, directives.earliestCallUs(0, 700), "both have expired");
    assertEquals(List.of(), directives.active(700));
  }

  @Test
  void manySources_areBounded() {
    Directives directives = Directives.NONE;
    for (int source = 0; source < 10 * Directives.MAX_DIRECTIVES; source++) {
      directives = directives.with(Directive.of(Kind.WAIT, "s" + source, 1000 + source), 0);
    }
    assertEquals(Directives.MAX_DIRECTIVES, directives.active(0).size());
    assertEquals(
        1000 + 10 * Directives.MAX_DIRECTIVES - 1,
        directives.earliestCallUs(0, 0),
        "the directives that expire first are dropped");
  }

  @Test
  void invalidDirective_isRejectedWithReason() {
    for (final double value : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
      final var rejected =
          assertThrows(
              IllegalArgumentException.class, () -> new Directive(Kind.RATE, value, "a", 1));
      assertTrue(rejected.getMessage().contains("RATE"), rejected.getMessage());
      assertThrows(IllegalArgumentException.class, () -> new Directive(Kind.LIMIT, value, "a", 1));
    }
    assertThrows(IllegalArgumentException.class, () -> new Directive(Kind.CEILING, 0.5, "a", 1));
    assertThrows(IllegalArgumentException.class, () -> new Directive(Kind.WEIGHT, 1.5, "a", 1));
    assertThrows(IllegalArgumentException.class, () -> Directive.of(Kind.WAIT, " ", 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> Directive.of(Kind.WAIT, "n".repeat(Directive.MAX_SOURCE_LENGTH + 1), 1));
  }
}

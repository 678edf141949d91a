package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class DecodingBudgetTest {
  private static final long SECOND_US = 1_000_000;
  private static final int CONNECTIONS = 300;

  /** A read of 16 KiB in chunks of one byte. */
  private static final int DENSE_PARTS = 2700;

  /** A head, and the end of a body. */
  private static final int USUAL_PARTS = 2;

  private final DecodingBudget budget = new DecodingBudget();

  /** Plain twin: usual reads are free, also while others have used up the allowance. */
  @Test
  void usualRead_isFree() {
    budget.take(DENSE_PARTS, 0);
    assertEquals(0, budget.take(USUAL_PARTS, 0));
  }

  /** Guards against a loop that decodes nothing but one client's input: read, and read again. */
  @Test
  void oneConnectionAtFullSpeed_isDecodedForPartOfTheTime() {
    assertTrue(partsDecodedInOneSecond(1) <= SECOND_US / 20 + DENSE_PARTS);
  }

  /** Guards against the same with many connections, whose pauses do not add up to a full core. */
  @Test
  void manyConnectionsAtFullSpeed_shareTheAllowance() {
    assertTrue(
        partsDecodedInOneSecond(CONNECTIONS) <= SECOND_US / 20 + (long) CONNECTIONS * DENSE_PARTS);
  }

  /** Each connection reads as soon as it may; the first read of each is before any pause. */
  private long partsDecodedInOneSecond(final int connections) {
    final long[] nextReadUs = new long[connections];
    long parts = 0;
    for (long nowUs = 0; nowUs < SECOND_US; nowUs += 100) {
      for (int index = 0; index < connections; index++) {
        if (nextReadUs[index] <= nowUs) {
          parts += DENSE_PARTS;
          nextReadUs[index] = nowUs + Math.max(100, budget.take(DENSE_PARTS, nowUs));
        }
      }
    }
    return parts;
  }

  @Test
  void allowance_isNotSavedUp() {
    final long pauseUs = budget.take(DENSE_PARTS, 0);
    assertEquals(pauseUs, budget.take(DENSE_PARTS, SECOND_US));
  }
}

package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** The transitions of a circuit breaker, legal and illegal, and the faults that open it. */
final class CircuitBreakerTest {
  private static final long SINCE_US = 7;
  private static final double INTERVAL_US = 1000;

  private final CircuitBreaker circuit = new CircuitBreaker();

  private static void assertIllegal(
      final String from, final String to, final Executable transition) {
    final IllegalStateException error = assertThrows(IllegalStateException.class, transition);
    assertEquals("illegal circuit transition: " + from + " to " + to, error.getMessage());
  }

  @Test
  void newCircuit_isClosed() {
    assertTrue(circuit.isClosed());
    assertFalse(circuit.isFaulty());
  }

  @Test
  void closedCircuit_opensAndRecoversAndCloses() {
    circuit.open();
    assertTrue(circuit.isOpen());
    circuit.beginRecovery(SINCE_US, INTERVAL_US);
    assertTrue(circuit.isRecovering());
    assertEquals(3, circuit.recoveryAgeUs(SINCE_US + 3));
    assertEquals(INTERVAL_US, circuit.recoveryIntervalUs());
    circuit.completeRecovery();
    assertTrue(circuit.isClosed());
  }

  @Test
  void recoveringCircuit_canOpenAgain() {
    circuit.open();
    circuit.beginRecovery(SINCE_US, INTERVAL_US);
    circuit.open();
    assertTrue(circuit.isOpen());
  }

  @Test
  void completeRecoveryOrCancelOutageOfClosedCircuit_isIllegal() {
    assertIllegal("CLOSED", "CLOSED", circuit::completeRecovery);
    assertIllegal("CLOSED", "CLOSED", circuit::cancelOutage);
    assertTrue(circuit.isClosed());
  }

  @Test
  void openOrCompleteRecoveryOfOpenCircuit_isIllegal() {
    circuit.open();
    assertIllegal("OPEN", "OPEN", circuit::open);
    assertIllegal("OPEN", "CLOSED", circuit::completeRecovery);
    assertTrue(circuit.isOpen());
  }

  @Test
  void beginRecoveryOrCancelOutageOfRecoveringCircuit_isIllegal() {
    circuit.open();
    circuit.beginRecovery(SINCE_US, INTERVAL_US);
    assertIllegal(
        "RECOVERING", "RECOVERING", () -> circuit.beginRecovery(SINCE_US + 1, INTERVAL_US));
    assertIllegal("RECOVERING", "CLOSED", circuit::cancelOutage);
    assertEquals(SINCE_US, circuit.recoverySinceUs());
  }

  @Test
  void cancelOutage_clearsFaults() {
    circuit.markFaultySince(SINCE_US);
    circuit.addFault(CircuitBreaker.OUTAGE_FAULT_RUN);
    circuit.recordFailure(1);
    circuit.open();
    circuit.cancelOutage();
    assertTrue(circuit.isClosed());
    assertFalse(circuit.isFaulty());
    assertFalse(circuit.hasFaultRun());
    assertEquals(0, circuit.failureRatio());
  }

  @Test
  void faultRunPlusUnresponsiveCalls_isOutage() {
    circuit.addFault(CircuitBreaker.OUTAGE_FAULT_RUN - 1);
    assertFalse(circuit.isOutage(0));
    assertTrue(circuit.isOutage(1));
    circuit.endFaultRun();
    assertFalse(circuit.isOutage(1));
  }

  @Test
  void highFailureRatio_isOutageWithoutFaultRun() {
    int failures = 0;
    while (!circuit.isOutage(0) && failures < 100) {
      circuit.recordFailure(1);
      failures++;
    }
    assertEquals(8, failures);
    circuit.recordSuccess(1);
    assertFalse(circuit.isOutage(0));
  }

  @Test
  void laterFault_keepsStartOfFirstFault() {
    circuit.markFaultySince(SINCE_US);
    circuit.markFaultySince(SINCE_US + 1);
    assertEquals(SINCE_US, circuit.faultSinceUs());
    circuit.clearFaulty();
    assertFalse(circuit.isFaulty());
  }

  @Test
  void reportedNamesAndOrder_matchStatusOutputAndLearnedState() {
    assertEquals("WELL", CircuitState.ofOrdinal(0).reportedName());
    assertEquals("OUT", CircuitState.ofOrdinal(1).reportedName());
    assertEquals("RAMP", CircuitState.ofOrdinal(2).reportedName());
  }
}

package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A courier process changes between its states as documented, and in no other way. */
@Tag("decisions")
final class LifecycleTest {
  private final Lifecycle lifecycle = new Lifecycle();

  @Test
  void newProcess_isNeitherStartedNorServing() {
    assertFalse(lifecycle.hasStarted());
    assertFalse(lifecycle.isServing());
    assertFalse(lifecycle.isShuttingDown());
  }

  @Test
  void shardsStarted_processIsStartedButDoesNotServeYet() {
    lifecycle.onShardsStarted();
    assertTrue(lifecycle.hasStarted());
    assertFalse(lifecycle.isServing());
  }

  @Test
  void successorListensThenEnds_processServesAgain() {
    lifecycle.onShardsStarted();
    lifecycle.onListening();
    assertTrue(lifecycle.isServing());
    lifecycle.onSuccessorListening();
    lifecycle.onSuccessorListening();
    assertFalse(lifecycle.isServing());
    lifecycle.onListening();
    assertTrue(lifecycle.isServing());
  }

  @Test
  void successorEndsBeforeItListens_processServesThroughout() {
    lifecycle.onShardsStarted();
    lifecycle.onListening();
    lifecycle.onListening();
    assertTrue(lifecycle.isServing());
  }

  @Test
  void reportsDuringShutdown_leaveTheStateAsItIs() {
    lifecycle.onShardsStarted();
    lifecycle.onShutdownStarted();
    lifecycle.onListening();
    lifecycle.onSuccessorListening();
    assertTrue(lifecycle.isShuttingDown());
    assertFalse(lifecycle.isServing());
  }

  @Test
  void terminationTwice_isAllowed() {
    lifecycle.onTerminated();
    lifecycle.onTerminated();
    assertFalse(lifecycle.isServing());
  }

  @Test
  void illegalTransition_failsWithBothStatesAndChangesNothing() {
    final IllegalStateException failure =
        assertThrows(IllegalStateException.class, lifecycle::onShutdownStarted);
    assertEquals(
        "courier lifecycle: cannot move from STARTING to SHUTTING_DOWN", failure.getMessage());
    assertFalse(lifecycle.isShuttingDown());
    lifecycle.onTerminated();
    assertThrows(IllegalStateException.class, lifecycle::onShardsStarted);
  }

  @ParameterizedTest
  @EnumSource(LifecycleState.class)
  void everyState_allowsExactlyItsDocumentedSuccessors(final LifecycleState state) {
    final List<LifecycleState> allowed =
        Arrays.stream(LifecycleState.values()).filter(state::allows).toList();
    final List<LifecycleState> documented =
        switch (state) {
          case STARTING -> List.of(LifecycleState.OPENING_LISTENERS, LifecycleState.TERMINATED);
          case OPENING_LISTENERS ->
              List.of(
                  LifecycleState.SERVING, LifecycleState.SHUTTING_DOWN, LifecycleState.TERMINATED);
          case SERVING ->
              List.of(
                  LifecycleState.HANDED_OVER,
                  LifecycleState.SHUTTING_DOWN,
                  LifecycleState.TERMINATED);
          case HANDED_OVER ->
              List.of(
                  LifecycleState.SERVING, LifecycleState.SHUTTING_DOWN, LifecycleState.TERMINATED);
          case SHUTTING_DOWN -> List.of(LifecycleState.TERMINATED);
          case TERMINATED -> List.of();
        };
    assertEquals(documented, allowed);
  }
}

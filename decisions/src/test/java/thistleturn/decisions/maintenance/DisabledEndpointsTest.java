package thistleturn.decisions.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Which endpoints may be disabled, and when their names are dropped. */
@Tag("operators")
final class DisabledEndpointsTest {
  private final DisabledEndpoints disabledEndpoints = new DisabledEndpoints(3);

  @Test
  void namesBeyondTheBound_leastRecentlyListedIsDroppedUnlessDisabled() {
    assertFalse(disabledEndpoints.isKnown("a"));
    List.of("a", "b", "c").forEach(disabledEndpoints::recordListed);
    assertEquals(Set.of("a"), disabledEndpoints.replaceAll(Set.of("a")));
    List.of("b", "d", "e").forEach(disabledEndpoints::recordListed);
    assertTrue(disabledEndpoints.isKnown("a"), "no longer kept as listed, but disabled");
    assertFalse(disabledEndpoints.isKnown("c"), "least recently listed");
    assertTrue(
        disabledEndpoints.isKnown("b")
            && disabledEndpoints.isKnown("d")
            && disabledEndpoints.isKnown("e"));
  }

  @Test
  void replaceAll_returnsChangedNames() {
    disabledEndpoints.replaceAll(Set.of("a", "b"));
    assertEquals(Set.of("a", "c"), disabledEndpoints.replaceAll(Set.of("b", "c")));
    assertTrue(disabledEndpoints.isDisabled("c") && !disabledEndpoints.isDisabled("a"));
    assertEquals(Set.of(), disabledEndpoints.replaceAll(disabledEndpoints.disabledNames()));
  }

  @Test
  void boundOfZero_isRejected() {
    assertThrows(IllegalArgumentException.class, () -> new DisabledEndpoints(0));
  }
}

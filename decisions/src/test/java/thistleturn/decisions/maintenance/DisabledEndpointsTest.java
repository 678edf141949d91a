package thistleturn.decisions.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Who may be left out by hand, and for how long that is remembered. */
@Tag("operators")
final class DisabledEndpointsTest {
  private final DisabledEndpoints maintenance = new DisabledEndpoints(3);

  @Test
  void onlyListedNamesAreKnown_andDisabledOnesAreNotForgotten() {
    assertFalse(maintenance.isKnown("a"));
    List.of("a", "b", "c").forEach(maintenance::recordListed);
    assertEquals(Set.of("a"), maintenance.replaceAll(Set.of("a")));
    List.of("b", "d", "e").forEach(maintenance::recordListed);
    assertTrue(maintenance.isKnown("a"), "forgotten as listed, but it is left out");
    assertFalse(maintenance.isKnown("c"), "heard of longest ago");
    assertTrue(maintenance.isKnown("b") && maintenance.isKnown("d") && maintenance.isKnown("e"));
  }

  @Test
  void replaceAll_returnsTheNamesThatChanged() {
    maintenance.replaceAll(Set.of("a", "b"));
    assertEquals(Set.of("a", "c"), maintenance.replaceAll(Set.of("b", "c")));
    assertTrue(maintenance.isDisabled("c") && !maintenance.isDisabled("a"));
    assertEquals(Set.of(), maintenance.replaceAll(maintenance.disabledNames()));
  }

  @Test
  void boundOfZero_isRejected() {
    assertThrows(IllegalArgumentException.class, () -> new DisabledEndpoints(0));
  }
}

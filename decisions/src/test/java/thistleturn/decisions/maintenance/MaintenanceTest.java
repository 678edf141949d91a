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
final class MaintenanceTest {
  private final Maintenance maintenance = new Maintenance(3);

  @Test
  void onlyWhatWasListedIsKnownAndABanIsNotForgotten() {
    assertFalse(maintenance.knows("a"));
    List.of("a", "b", "c").forEach(maintenance::listed);
    assertEquals(Set.of("a"), maintenance.set(Set.of("a")));
    List.of("b", "d", "e").forEach(maintenance::listed);
    assertTrue(maintenance.knows("a"), "forgotten as listed, but it is left out");
    assertFalse(maintenance.knows("c"), "heard of longest ago");
    assertTrue(maintenance.knows("b") && maintenance.knows("d") && maintenance.knows("e"));
  }

  @Test
  void whatIsSetTellsWhoseStateChanged() {
    maintenance.set(Set.of("a", "b"));
    assertEquals(Set.of("a", "c"), maintenance.set(Set.of("b", "c")));
    assertTrue(maintenance.isOut("c") && !maintenance.isOut("a"));
    assertEquals(Set.of(), maintenance.set(maintenance.out()));
  }

  @Test
  void aBoundOfNothingIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> new Maintenance(0));
  }
}

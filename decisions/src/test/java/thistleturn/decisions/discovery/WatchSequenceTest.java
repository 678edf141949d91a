package thistleturn.decisions.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import thistleturn.decisions.discovery.WatchSequence.Decision;

/** Lines of a watch that come again, out of order, or from a service that started anew. */
final class WatchSequenceTest {
  private static final long KNOWN = 41;

  private final WatchSequence watch = new WatchSequence(KNOWN);

  @Test
  void laterLines_areApplied() {
    assertEquals(Decision.APPLY, watch.onLine("{43}", 43, false));
    assertEquals(Decision.APPLY, watch.onLine("{44}", 44, false));
  }

  @Test
  void lineThatCameBefore_isIgnored() {
    watch.onLine("{43}", 43, false);
    watch.onLine("{44}", 44, false);
    assertEquals(Decision.IGNORE, watch.onLine("{43}", 43, false));
    assertEquals(Decision.IGNORE, watch.onLine("{44}", 44, false));
  }

  @Test
  void completeListThatCameBefore_isIgnored() {
    watch.onLine("{whole 43}", 43, true);
    watch.onLine("{44}", 44, false);
    assertEquals(Decision.IGNORE, watch.onLine("{whole 43}", 43, true));
  }

  @Test
  void otherLineOfSameVersion_isApplied() {
    watch.onLine("{43 a}", 43, false);
    assertEquals(Decision.APPLY, watch.onLine("{43 b}", 43, false));
  }

  @Test
  void unknownLineOfLowerVersion_requestsCompleteList() {
    watch.onLine("{43}", 43, false);
    assertEquals(Decision.REQUEST_COMPLETE_LIST, watch.onLine("{42}", 42, false));
    assertEquals(Decision.REQUEST_COMPLETE_LIST, watch.onLine("{whole 42}", 42, true));
  }

  @Test
  void changesBelowRequestedVersion_requestCompleteList() {
    assertEquals(Decision.REQUEST_COMPLETE_LIST, watch.onLine("{2}", 2, false));
  }

  @Test
  void completeListOfServiceThatStartedAnew_isApplied() {
    assertEquals(Decision.APPLY, watch.onLine("{whole 1}", 1, true));
    assertEquals(Decision.APPLY, watch.onLine("{2}", 2, false));
  }

  @Test
  void lineWithoutVersion_isApplied() {
    assertEquals(Decision.APPLY, watch.onLine("{}", WatchSequence.UNKNOWN, false));
  }
}

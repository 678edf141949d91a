package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;

@Tag("connections")
final class BulkResponseParserTest {
  private static final String STATES =
      "[{\"id\":\"a\",\"state\":\"expired\"},{\"id\":\"b\",\"state\":\"accepted\"},";

  private static BulkResponseParser parser(final String body) {
    return new BulkResponseParser(
        body.getBytes(StandardCharsets.UTF_8),
        new DispatchOutcome(AttemptResult.DELIVERED, true, 0, null));
  }

  /** Guards against a call of a message whose end was read in an answer that breaks off. */
  @ParameterizedTest
  @ValueSource(strings = {"", "{\"id\":\"c\",\"sta", "{\"id\":\"c\",\"state\":\"no_more\"", "zz]"})
  void brokenAnswer_countsAsFarAsItStatesEnds(final String rest) {
    final BulkResponseParser broken = parser(STATES + rest);
    assertEquals(MessageDisposition.NO_FURTHER_ATTEMPT, broken.outcomeOf("a").disposition());
    assertEquals(AttemptResult.STALE, broken.outcomeOf("a").result());
    assertEquals(AttemptResult.ERROR, broken.outcomeOf("b").result());
    assertEquals(MessageDisposition.OPEN, broken.outcomeOf("c").disposition());
    assertTrue(broken.statedEndOf("b").isEmpty());
  }

  /** The plain twin. */
  @Test
  void completeAnswer_countsAsItSays() {
    final BulkResponseParser complete = parser(STATES + "{\"id\":\"c\",\"state\":\"no_more\"}]");
    assertEquals(MessageDisposition.OVER, complete.outcomeOf("a").disposition());
    assertEquals(AttemptResult.DELIVERED, complete.outcomeOf("b").result());
    assertEquals(MessageDisposition.NO_FURTHER_ATTEMPT, complete.outcomeOf("c").disposition());
    assertEquals(AttemptResult.NOT_SENT, complete.outcomeOf("c").result());
  }
}

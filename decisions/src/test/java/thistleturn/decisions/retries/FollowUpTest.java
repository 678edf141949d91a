package thistleturn.decisions.retries;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static thistleturn.decisions.model.Idempotence.IDEMPOTENT;
import static thistleturn.decisions.model.Idempotence.IDEMPOTENT_BY_KEY;
import static thistleturn.decisions.model.Idempotence.NON_IDEMPOTENT;
import static thistleturn.decisions.retries.FollowUp.CALL;
import static thistleturn.decisions.retries.FollowUp.NOTICE_DEFERRED;
import static thistleturn.decisions.retries.FollowUp.NOTICE_UNDELIVERABLE;
import static thistleturn.decisions.retries.FollowUp.WAIT;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/** Each cell of the table: every kind of evidence, effect of a class, and time left. */
final class FollowUpTest {
  private static final MessageClass SAFE = messageClass(IDEMPOTENT, false);
  private static final MessageClass KEYED = messageClass(IDEMPOTENT_BY_KEY, false);
  private static final MessageClass KEYED_IN_ZONE = messageClass(IDEMPOTENT_BY_KEY, true);
  private static final MessageClass ONCE = messageClass(NON_IDEMPOTENT, false);

  private static MessageClass messageClass(final Idempotence effect, final boolean zone) {
    return new MessageClass("class", effect, zone, false, 1, 1, 1, 1, 1);
  }

  /** What follows for the four kinds of classes. */
  private static List<FollowUp> row(final Evidence evidence, final TimeLeft timeLeft) {
    return List.of(
        FollowUp.of(evidence, SAFE, timeLeft),
        FollowUp.of(evidence, KEYED, timeLeft),
        FollowUp.of(evidence, KEYED_IN_ZONE, timeLeft),
        FollowUp.of(evidence, ONCE, timeLeft));
  }

  private static List<FollowUp> all(final FollowUp each) {
    return List.of(each, each, each, each);
  }

  private static List<FollowUp> noticeByClass() {
    return List.of(NOTICE_DEFERRED, NOTICE_DEFERRED, NOTICE_UNDELIVERABLE, NOTICE_UNDELIVERABLE);
  }

  @ParameterizedTest
  @EnumSource
  void withTimeForCall(final Evidence evidence) {
    final List<FollowUp> expected =
        switch (evidence) {
          case NEVER_RAN -> all(CALL);
          case MAY_HAVE_RUN, MAY_BE_DELIVERED -> List.of(CALL, CALL, CALL, NOTICE_UNDELIVERABLE);
          case MAY_STILL_RUN -> all(WAIT);
          case HAD_ALL_ATTEMPTS -> all(NOTICE_DEFERRED);
          case MAY_BE_OVER -> noticeByClass();
        };
    assertEquals(expected, row(evidence, TimeLeft.FOR_CALL));
  }

  @ParameterizedTest
  @EnumSource
  void withTimeForNoticeAlone(final Evidence evidence) {
    final List<FollowUp> expected =
        switch (evidence) {
          case NEVER_RAN, HAD_ALL_ATTEMPTS -> all(NOTICE_DEFERRED);
          case MAY_HAVE_RUN, MAY_STILL_RUN, MAY_BE_DELIVERED, MAY_BE_OVER -> noticeByClass();
        };
    assertEquals(expected, row(evidence, TimeLeft.FOR_NOTICE));
  }

  /** Guards against a call of a message that an endpoint has stated to be over. */
  @Test
  void messageThatMayBeOver_isNeverSent() {
    for (final TimeLeft timeLeft : TimeLeft.values()) {
      row(Evidence.MAY_BE_OVER, timeLeft).forEach(each -> assertNotEquals(CALL, each));
      row(Evidence.HAD_ALL_ATTEMPTS, timeLeft).forEach(each -> assertNotEquals(CALL, each));
    }
  }
}

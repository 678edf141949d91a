package thistleturn.courier.http;

import java.nio.charset.StandardCharsets;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;

/** An attempt of a message whose id is also its key and its body. */
record TestAttempt(StoredMessage message, long timeoutUs, long latestSendUs, long messageDeadlineUs)
    implements Dispatcher.Attempt {

  @Override
  public boolean isRepeatable() {
    return true;
  }

  /** An attempt that may be sent until its message expires. */
  static TestAttempt of(final String id, final long timeoutUs, final long messageDeadlineUs) {
    final StoredMessage message =
        new StoredMessage(
            id,
            "keyed",
            id,
            DispatcherFixture.DESTINATION,
            messageDeadlineUs,
            id.getBytes(StandardCharsets.UTF_8));
    return new TestAttempt(message, timeoutUs, Long.MAX_VALUE, messageDeadlineUs);
  }

  /** The same attempt with a latest time for its first byte. */
  TestAttempt withLatestSendUs(final long limitUs) {
    return new TestAttempt(message, timeoutUs, limitUs, messageDeadlineUs);
  }
}

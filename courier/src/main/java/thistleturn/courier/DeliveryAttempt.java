package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.Idempotence;

/**
 * One message's attempt in a call.
 *
 * @param timeoutUs how long to wait for its answer, in microseconds
 * @param latestSendUs the latest time at which its first byte may be sent, in microseconds of the
 *     loop's clock
 */
record DeliveryAttempt(PendingDelivery delivery, long timeoutUs, long latestSendUs)
    implements Dispatcher.Attempt {
  @Override
  public StoredMessage message() {
    return delivery.message();
  }

  @Override
  public boolean isRepeatable() {
    return delivery.messageClass() != null
        && delivery.messageClass().idempotence() != Idempotence.NON_IDEMPOTENT;
  }

  @Override
  public long messageDeadlineUs() {
    return delivery.deadlineUs();
  }
}

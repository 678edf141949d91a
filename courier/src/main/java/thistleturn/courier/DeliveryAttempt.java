package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;

/**
 * One message's attempt in a call.
 *
 * @param timeoutUs how long its answer is awaited, in microseconds
 * @param latestSendUs when its first byte may go at the latest, in microseconds of the loop's clock
 */
record DeliveryAttempt(PendingDelivery delivery, long timeoutUs, long latestSendUs)
    implements Dispatcher.Attempt {
  @Override
  public StoredMessage message() {
    return delivery.message();
  }

  @Override
  public long messageDeadlineUs() {
    return delivery.deadlineUs();
  }
}

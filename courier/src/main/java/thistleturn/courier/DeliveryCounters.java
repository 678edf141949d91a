package thistleturn.courier;

import java.util.List;
import thistleturn.courier.operator.CourierMetrics;

/** Counts final outcomes by message class, and messages written to endpoints. */
final class DeliveryCounters {
  private final MessageClasses classes;
  private final long[] delivered;
  private final long[] rejected;
  private final long[] failed;
  private long messagesWritten;

  DeliveryCounters(final MessageClasses classes) {
    this.classes = classes;
    this.delivered = new long[classes.size()];
    this.rejected = new long[classes.size()];
    this.failed = new long[classes.size()];
  }

  /** Continues from the counts of another loop of this process. */
  void continueFrom(final DeliveryCounters previous) {
    System.arraycopy(previous.delivered, 0, delivered, 0, delivered.length);
    System.arraycopy(previous.rejected, 0, rejected, 0, rejected.length);
    System.arraycopy(previous.failed, 0, failed, 0, failed.length);
    messagesWritten = previous.messagesWritten;
  }

  void countDelivered(final String className) {
    delivered[classes.indexOf(className)]++;
  }

  void countRejected(final String className) {
    rejected[classes.indexOf(className)]++;
  }

  void countFailed(final String className) {
    failed[classes.indexOf(className)]++;
  }

  void addMessagesWritten(final int count) {
    messagesWritten += count;
  }

  /** Returns the counts together with the given gauges. */
  CourierMetrics metrics(
      final long inFlight, final long endpointsKnown, final long endpointsExcluded) {
    final List<CourierMetrics.ClassOutcomes> outcomes =
        classes.all().stream().map(messageClass -> outcomesOf(messageClass.name())).toList();
    return new CourierMetrics(
        outcomes, messagesWritten, inFlight, endpointsKnown, endpointsExcluded);
  }

  private CourierMetrics.ClassOutcomes outcomesOf(final String className) {
    final int index = classes.indexOf(className);
    return new CourierMetrics.ClassOutcomes(
        className, delivered[index], rejected[index], failed[index]);
  }
}

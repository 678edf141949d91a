package thistleturn.courier.port;

import java.util.List;
import thistleturn.courier.runtime.CourierConfig;

/**
 * Reports to the platform the final outcomes of accepted messages that were not delivered, and
 * repeats each report until the platform confirms it. All methods run on the event loop's thread.
 */
public interface OutcomeNotifier {
  /** Receives confirmations. */
  interface Listener {
    /** The platform confirmed the outcomes of these messages; nothing is left to do for them. */
    void onConfirmed(List<StoredMessage> messages);
  }

  /**
   * Adds a message whose final outcome the store holds; it is reported with the next {@link
   * #flush}.
   */
  void enqueue(StoredMessage message);

  /** Reports the enqueued outcomes, unless a report is already in progress. */
  void flush();

  /** Returns true when nothing is left to report. */
  boolean isEmpty();

  /** Applies the parts of a new configuration that concern the reports. */
  void reload(CourierConfig fresh);
}

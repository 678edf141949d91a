package thistleturn.courier.port;

import java.util.List;
import thistleturn.courier.runtime.CourierConfig;

/**
 * Reports to the platform how messages ended that were accepted and not delivered, again and again
 * until it confirms that. All methods run on the event loop's thread.
 */
public interface OutcomeNotifier {
  /** Receives confirmations. */
  interface Listener {
    /** The platform knows the outcomes of these messages; nothing more is owed for them. */
    void onConfirmed(List<StoredMessage> messages);
  }

  /**
   * Adds a message whose final outcome the store holds; it goes out with the next {@link #flush}.
   */
  void enqueue(StoredMessage message);

  /** Reports what is to be reported, unless a report is under way already. */
  void flush();

  /** Returns true when nothing is left to report. */
  boolean isEmpty();

  /** Applies a new configuration, as far as it concerns the reports. */
  void reload(CourierConfig fresh);
}

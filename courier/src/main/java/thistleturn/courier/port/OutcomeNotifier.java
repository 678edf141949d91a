package thistleturn.courier.port;

import java.util.List;
import thistleturn.courier.runtime.CourierConfig;

/**
 * Where it is told how messages ended that were taken on and not delivered; again until that is
 * confirmed. All methods run on the event loop's thread.
 */
public interface OutcomeNotifier {
  /** Who is told that ends are confirmed. */
  interface Listener {
    /** The platform knows these ends; nothing more is owed for them. */
    void onConfirmed(List<StoredMessage> messages);
  }

  /** Adds an end that the store holds; it goes out with the next {@link #flush}. */
  void enqueue(StoredMessage held);

  /** Tells what is to be told, unless a telling is under way already. */
  void flush();

  /** True when nothing is left to tell. */
  boolean isEmpty();

  /** A new configuration counts from now on, as far as it concerns the telling. */
  void reload(CourierConfig fresh);
}

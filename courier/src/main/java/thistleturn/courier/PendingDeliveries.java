package thistleturn.courier;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import thistleturn.courier.port.Dispatcher;

/** The messages that have not ended, by id, in the order accepted. */
final class PendingDeliveries {
  private final Map<String, PendingDelivery> byId = new LinkedHashMap<>();

  void add(final PendingDelivery delivery) {
    byId.put(delivery.id(), delivery);
  }

  /** Returns the delivery of a message, or null. */
  PendingDelivery get(final String messageId) {
    return byId.get(messageId);
  }

  /** Returns true if the message was pending. */
  boolean remove(final String messageId) {
    return byId.remove(messageId) != null;
  }

  /** Removes every message that is in no call: those that another process delivers from now on. */
  void removeNotInFlight() {
    byId.values().removeIf(delivery -> delivery.call() == null);
  }

  boolean contains(final String messageId) {
    return byId.containsKey(messageId);
  }

  /** Returns true if some message is in this call. */
  boolean isInFlight(final Dispatcher.Call call) {
    return byId.values().stream().anyMatch(delivery -> delivery.call() == call);
  }

  Collection<PendingDelivery> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  int size() {
    return byId.size();
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }
}

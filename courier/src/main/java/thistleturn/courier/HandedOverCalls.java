package thistleturn.courier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;

/**
 * The calls that were in flight when a newer process took over, with the numbers that the newer
 * process uses for them. This process completes them.
 */
final class HandedOverCalls {
  private final Map<Long, Dispatcher.Call> callsByNumber = new HashMap<>();
  private final IdentityHashMap<Dispatcher.Call, Long> numbersByCall = new IdentityHashMap<>();

  /** Numbers the calls that carry pending messages and describes them for the newer process. */
  List<HandoverSnapshot.InFlightRemoteCall> register(final PendingDeliveries pending) {
    final IdentityHashMap<Dispatcher.Call, List<String>> messageIdsByCall = new IdentityHashMap<>();
    for (final PendingDelivery delivery : pending.all()) {
      messageIdsByCall
          .computeIfAbsent(delivery.call(), unused -> new ArrayList<>())
          .add(delivery.id());
    }
    final List<HandoverSnapshot.InFlightRemoteCall> described = new ArrayList<>();
    messageIdsByCall.forEach(
        (call, messageIds) -> {
          final long number = numberFor(call);
          final long destination = pending.get(messageIds.get(0)).message().destination();
          described.add(
              new HandoverSnapshot.InFlightRemoteCall(
                  number, call.endpoint(), destination, call.preparedUs(), messageIds));
        });
    return described;
  }

  private long numberFor(final Dispatcher.Call call) {
    final long number = numbersByCall.computeIfAbsent(call, unused -> numbersByCall.size() + 1L);
    callsByNumber.put(number, call);
    return number;
  }

  /** Returns the call of that number, or null. */
  Dispatcher.Call get(final long number) {
    return callsByNumber.get(number);
  }

  /** Returns the number of a call, or null if it was not handed over. */
  Long numberOf(final Dispatcher.Call call) {
    return numbersByCall.get(call);
  }
}

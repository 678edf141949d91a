package thistleturn.courier.http;

import java.util.ArrayDeque;
import java.util.Deque;

/** The complete requests of one connection that wait for the response to an earlier one. */
final class RequestQueue {
  private final Deque<QueuedRequest> requests = new ArrayDeque<>(1);
  private int heldBytes;

  void add(final QueuedRequest request) {
    requests.add(request);
    heldBytes += request.heldBytes();
  }

  /** Removes and returns the next request. */
  QueuedRequest next() {
    final QueuedRequest request = requests.remove();
    heldBytes -= request.heldBytes();
    return request;
  }

  void clear() {
    requests.clear();
    heldBytes = 0;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  int size() {
    return requests.size();
  }

  /** About how much memory the waiting requests take. */
  int heldBytes() {
    return heldBytes;
  }
}

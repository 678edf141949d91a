package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;

/**
 * An endpoint's script that holds the first copy of some messages and answers everything else. It
 * notes each copy of a message with how the first one's connection stood when it came.
 */
final class EndpointCopies {
  private static final Pattern BULK_ID = Pattern.compile("\"id\":\"([^\"]+)\"");

  private final Set<String> heldIds;
  private final List<Copy> copies = new CopyOnWriteArrayList<>();
  private final Map<String, FakeHttpServer.Connection> heldConnections = new ConcurrentHashMap<>();

  /**
   * A copy of a message that the endpoint received.
   *
   * @param heldHasEnded whether the message's first copy was held and its connection had ended when
   *     this copy arrived
   */
  record Copy(String id, long receivedNs, boolean heldHasEnded) {}

  EndpointCopies(final String... heldIds) {
    this.heldIds = Set.of(heldIds);
  }

  /** The script for {@link FakeHttpServer}. */
  void answer(final FakeHttpServer.Request request, final FakeHttpServer.Connection connection) {
    final List<String> ids = ids(request);
    final List<String> toHold =
        ids.stream()
            .filter(id -> heldIds.contains(id) && !heldConnections.containsKey(id))
            .toList();
    toHold.forEach(id -> heldConnections.put(id, connection));
    for (final String id : ids) {
      final boolean heldHasEnded = isHeldByEarlierCopy(id, toHold) && hasHeldEnded(id);
      copies.add(new Copy(id, request.receivedNs(), heldHasEnded));
    }
    if (!toHold.isEmpty()) {
      return;
    }
    connection.respond(200, isBulk(request) ? acceptedStates(ids) : "");
  }

  private boolean isHeldByEarlierCopy(final String id, final List<String> heldNow) {
    return heldConnections.containsKey(id) && !heldNow.contains(id);
  }

  private static boolean isBulk(final FakeHttpServer.Request request) {
    return request.requestLine().contains("/bulk");
  }

  private static List<String> ids(final FakeHttpServer.Request request) {
    if (!isBulk(request)) {
      return List.of(request.header("X-Request-ID"));
    }
    final List<String> ids = new ArrayList<>();
    BULK_ID.matcher(request.text()).results().forEach(match -> ids.add(match.group(1)));
    return ids;
  }

  private static String acceptedStates(final List<String> ids) {
    return ids.stream()
        .map(id -> "{\"id\":\"" + id + "\",\"state\":\"accepted\"}")
        .toList()
        .toString();
  }

  /** Returns the copies of a message, the first one first. */
  List<Copy> of(final String id) {
    return copies.stream().filter(copy -> copy.id().equals(id)).toList();
  }

  /** Returns whether the kernel reports that the connection of a message's held copy has ended. */
  boolean hasHeldEnded(final String id) {
    return heldConnections.get(id).hasPeerEnded();
  }
}

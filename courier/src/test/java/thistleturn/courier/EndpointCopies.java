package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;

/**
 * An endpoint's script that holds the first copy of one message and answers everything else. It
 * notes each copy of a message with how the first one's connection stood when it came.
 */
final class EndpointCopies {
  private static final Pattern BULK_ID = Pattern.compile("\"id\":\"([^\"]+)\"");

  private final String heldId;
  private final List<Copy> copies = new CopyOnWriteArrayList<>();
  private volatile FakeHttpServer.Connection heldConnection;

  /**
   * A copy of a message that has come.
   *
   * @param heldHasEnded whether the connection of the held copy had ended by then
   */
  record Copy(String id, long receivedNs, boolean heldHasEnded) {}

  EndpointCopies(final String heldId) {
    this.heldId = heldId;
  }

  /** The script for {@link FakeHttpServer}. */
  void answer(final FakeHttpServer.Request request, final FakeHttpServer.Connection connection) {
    final List<String> ids = ids(request);
    if (heldConnection == null && ids.contains(heldId)) {
      heldConnection = connection;
      copies.add(new Copy(heldId, request.receivedNs(), false));
      return;
    }
    final boolean heldHasEnded = heldConnection != null && heldConnection.hasPeerEnded();
    ids.forEach(id -> copies.add(new Copy(id, request.receivedNs(), heldHasEnded)));
    connection.respond(200, isBulk(request) ? acceptedStates(ids) : "");
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

  /** Returns whether the held copy's connection has ended, as the system has it now. */
  boolean hasHeldEnded() {
    return heldConnection.hasPeerEnded();
  }
}

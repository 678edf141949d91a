package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The messages that a test endpoint received, alone or several in a call. */
final class SentMessages {
  private static final String BULK_PATH = "/inbox/bulk";
  private static final Pattern BULK_ID = Pattern.compile("\"id\":\"([^\"]+)\"");

  private SentMessages() {}

  /** Returns the ids of all messages that were received, with duplicates. */
  static List<String> ids(final FakeHttpServer endpoint) {
    final List<String> ids = new ArrayList<>();
    endpoint.requests.forEach(request -> ids.addAll(ids(request)));
    return ids;
  }

  private static List<String> ids(final FakeHttpServer.Request request) {
    if (!request.requestLine().contains(BULK_PATH)) {
      return List.of(request.header("X-Request-ID"));
    }
    final List<String> ids = new ArrayList<>();
    final Matcher matcher = BULK_ID.matcher(request.text());
    while (matcher.find()) {
      ids.add(matcher.group(1));
    }
    return ids;
  }

  /** Responds to a call that all its messages are delivered. */
  static void deliver(
      final FakeHttpServer.Request request, final FakeHttpServer.Connection connection) {
    if (!request.requestLine().contains(BULK_PATH)) {
      connection.respond(200, "");
      return;
    }
    final List<String> states =
        ids(request).stream().map(id -> "{\"id\":\"" + id + "\",\"state\":\"accepted\"}").toList();
    connection.respond(200, "[" + String.join(",", states) + "]");
  }
}

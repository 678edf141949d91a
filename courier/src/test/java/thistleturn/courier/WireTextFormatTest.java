package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The exact bytes of responses to clients and operators, and of the request for the endpoint list.
 */
@Timeout(120)
final class WireTextFormatTest {
  @TempDir private Path folder;
  private CourierHarness harness;

  @BeforeEach
  void createHarness() throws IOException {
    harness = new CourierHarness(folder);
    harness.operatorPortEnabled = true;
  }

  @AfterEach
  void closeHarness() throws IOException {
    harness.close();
  }

  /** Sends a request and returns all bytes that arrive until the courier closes the connection. */
  private String exchange(final String request) throws IOException {
    try (Socket socket = harness.connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static String withConnectionClose(final String request) {
    return request.replaceFirst("\r\n", "\r\nConnection: close\r\n");
  }

  private static String emptyResponse(final String status) {
    return "HTTP/1.1 " + status + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
  }

  @Test
  void acceptedMessage_getsExactResponse() throws IOException {
    harness.start();
    final String expected = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    try (Socket socket = harness.connect()) {
      socket
          .getOutputStream()
          .write(CourierHarness.submitRequest("m1", "safe").getBytes(StandardCharsets.ISO_8859_1));
      assertEquals(
          expected,
          new String(
              socket.getInputStream().readNBytes(expected.length()), StandardCharsets.ISO_8859_1));
    }
    assertEquals(
        emptyResponse("202 Accepted"),
        exchange(withConnectionClose(CourierHarness.submitRequest("m2", "safe"))));
  }

  @Test
  void unservableRequests_getExactResponses() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    assertEquals(
        emptyResponse("200 OK"),
        exchange(withConnectionClose("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
    assertEquals(
        emptyResponse("404 Not Found"), exchange("GET /unknown HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertEquals(
        emptyResponse("405 Method Not Allowed"), exchange("GET /safe HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertEquals(
        emptyResponse("400 Bad Request"),
        exchange("POST /safe HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(
        emptyResponse("404 Not Found"),
        exchange(CourierHarness.submitRequest("m1", "safe").replace("dest=7", "dest=8")));
  }

  @Test
  void idOfPendingMessage_getsExactResponse() throws IOException {
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    assertEquals(
        emptyResponse("409 Conflict"), exchange(CourierHarness.submitRequest("m1", "safe")));
  }

  @Test
  void fullStore_getsExactResponse() throws IOException {
    harness.maxOpenConnections = 1;
    harness.firstEndpoint.script((request, connection) -> {});
    harness.start();
    assertEquals(202, harness.submit("m1", "safe").status());
    final String response =
        exchange(withConnectionClose(CourierHarness.submitRequest("m2", "safe")));
    assertTrue(
        response.matches(
            "HTTP/1\\.1 (503 Service Unavailable|429 Too Many Requests)\r\ncontent-length: 0\r\n"
                + "retry-after: \\d+\\.\\d{3}\r\nconnection: close\r\n\r\n"),
        response);
  }

  @Test
  void operatorRequests_getExactResponses() throws IOException {
    harness.start();
    assertEquals(
        operatorResponse("200 OK", "ready"), harness.sendOperatorRequest("GET", "/-/ready"));
    assertEquals(
        operatorResponse("404 Not Found", "no such call"),
        harness.sendOperatorRequest("GET", "/-/nothing"));
    assertEquals(
        operatorResponse("405 Method Not Allowed", "asked by GET"),
        harness.sendOperatorRequest("POST", "/-/metrics"));
    assertEquals(
        operatorResponse("405 Method Not Allowed", "asked by POST"),
        harness.sendOperatorRequest("GET", "/-/endpoints/e1/disable"));
    assertEquals(
        operatorResponse("200 OK", "left out"),
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/disable"));
    assertEquals(
        operatorResponse("200 OK", "may serve"),
        harness.sendOperatorRequest("POST", "/-/endpoints/e1/enable"));
    assertEquals(
        operatorResponse("404 Not Found", "no endpoint of that name was ever listed"),
        harness.sendOperatorRequest("POST", "/-/endpoints/e9/disable"));
  }

  private static String operatorResponse(final String status, final String text) {
    return "HTTP/1.1 "
        + status
        + "\r\ncontent-type: text/plain; version=0.0.4; charset=utf-8\r\ncontent-length: "
        + (text.length() + 1)
        + "\r\nconnection: close\r\n\r\n"
        + text
        + "\n";
  }

  @Test
  void endpointListPoll_sendsExactRequest() throws IOException {
    harness.start();
    harness.await("the watch", () -> harness.watchConnections.size() == 1);
    final FakeHttpServer.Request poll = harness.platform.requests.get(0);
    assertEquals("GET /discovery/hosts?watch=1&after=41 HTTP/1.1", poll.requestLine());
    assertEquals(Map.of("host", "127.0.0.1"), poll.headers());
    assertEquals("", poll.text());
  }
}

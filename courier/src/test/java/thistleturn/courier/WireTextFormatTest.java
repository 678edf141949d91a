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

/** The exact bytes of answers to clients and operators, and of the poll for the endpoint list. */
@Timeout(120)
final class WireTextFormatTest {
  @TempDir private Path folder;
  private CourierHarness rig;

  @BeforeEach
  void build() throws IOException {
    rig = new CourierHarness(folder);
    rig.operatorPortEnabled = true;
  }

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  private String answer(final String request) throws IOException {
    try (Socket socket = rig.connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static String closing(final String request) {
    return request.replaceFirst("\r\n", "\r\nConnection: close\r\n");
  }

  private static String empty(final String status) {
    return "HTTP/1.1 " + status + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
  }

  @Test
  void acceptedMessageIsAnsweredByTheseBytes() throws IOException {
    rig.start();
    final String expected = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    try (Socket socket = rig.connect()) {
      socket
          .getOutputStream()
          .write(CourierHarness.submitRequest("m1", "safe").getBytes(StandardCharsets.ISO_8859_1));
      assertEquals(
          expected,
          new String(
              socket.getInputStream().readNBytes(expected.length()), StandardCharsets.ISO_8859_1));
    }
    assertEquals(
        empty("202 Accepted"), answer(closing(CourierHarness.submitRequest("m2", "safe"))));
  }

  @Test
  void requestsThatCannotBeServedAreAnsweredByTheseBytes() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    assertEquals(empty("200 OK"), answer(closing("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
    assertEquals(empty("404 Not Found"), answer("GET /unknown HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertEquals(empty("405 Method Not Allowed"), answer("GET /safe HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertEquals(
        empty("400 Bad Request"),
        answer("POST /safe HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(
        empty("404 Not Found"),
        answer(CourierHarness.submitRequest("m1", "safe").replace("dest=7", "dest=8")));
  }

  @Test
  void messageOfAnIdInUseIsAnsweredByTheseBytes() throws IOException {
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    assertEquals(empty("409 Conflict"), answer(CourierHarness.submitRequest("m1", "safe")));
  }

  @Test
  void messageWithoutRoomIsAnsweredByTheseBytes() throws IOException {
    rig.maxOpenConnections = 1;
    rig.firstEndpoint.script((request, connection) -> {});
    rig.start();
    assertEquals(202, rig.submit("m1", "safe").status());
    final String said = answer(closing(CourierHarness.submitRequest("m2", "safe")));
    assertTrue(
        said.matches(
            "HTTP/1\\.1 (503 Service Unavailable|429 Too Many Requests)\r\ncontent-length: 0\r\n"
                + "retry-after: \\d+\\.\\d{3}\r\nconnection: close\r\n\r\n"),
        said);
  }

  @Test
  void operatorsAreAnsweredByTheseBytes() throws IOException {
    rig.start();
    assertEquals(operatorAnswer("200 OK", "ready"), rig.sendOperatorRequest("GET", "/-/ready"));
    assertEquals(
        operatorAnswer("404 Not Found", "no such call"),
        rig.sendOperatorRequest("GET", "/-/nothing"));
    assertEquals(
        operatorAnswer("405 Method Not Allowed", "asked by GET"),
        rig.sendOperatorRequest("POST", "/-/metrics"));
    assertEquals(
        operatorAnswer("405 Method Not Allowed", "asked by POST"),
        rig.sendOperatorRequest("GET", "/-/endpoints/e1/disable"));
    assertEquals(
        operatorAnswer("200 OK", "left out"),
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/disable"));
    assertEquals(
        operatorAnswer("200 OK", "may serve"),
        rig.sendOperatorRequest("POST", "/-/endpoints/e1/enable"));
    assertEquals(
        operatorAnswer("404 Not Found", "no endpoint of that name was ever listed"),
        rig.sendOperatorRequest("POST", "/-/endpoints/e9/disable"));
  }

  private static String operatorAnswer(final String status, final String text) {
    return "HTTP/1.1 "
        + status
        + "\r\ncontent-type: text/plain; version=0.0.4; charset=utf-8\r\ncontent-length: "
        + (text.length() + 1)
        + "\r\nconnection: close\r\n\r\n"
        + text
        + "\n";
  }

  @Test
  void endpointListIsPolledByThisRequest() throws IOException {
    rig.start();
    rig.await("the watch", () -> rig.watchConnections.size() == 1);
    final FakeHttpServer.Request poll = rig.platform.requests.get(0);
    assertEquals("GET /discovery/hosts?watch=1&after=41 HTTP/1.1", poll.requestLine());
    assertEquals(Map.of("host", "127.0.0.1"), poll.headers());
    assertEquals("", poll.text());
  }
}

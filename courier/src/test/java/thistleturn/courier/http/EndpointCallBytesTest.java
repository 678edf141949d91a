package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;

/** Pins the exact bytes of the requests that are sent to endpoints. */
final class EndpointCallBytesTest {
  private static final StoredMessage KEYED =
      new StoredMessage("m1", "keyed", "key-1", 57, 9_000_000, new byte[] {'h', 'i', (byte) 0xFF});
  private static final StoredMessage UNKEYED =
      new StoredMessage("m2", "safe", null, 57, 9_000_000, new byte[0]);

  /** The attempt of one message in a call that times out after two and a half seconds. */
  private record MessageAttempt(StoredMessage message) implements Dispatcher.Attempt {
    @Override
    public boolean isRepeatable() {
      return true;
    }

    @Override
    public long messageDeadlineUs() {
      return message.deadlineUs();
    }

    @Override
    public long latestSendUs() {
      return Long.MAX_VALUE;
    }

    @Override
    public long timeoutUs() {
      return 2_500_000;
    }
  }

  private static String request(final StoredMessage... messages) {
    final Endpoint endpoint = new Endpoint(4, EndpointState.LISTED, "a", 2.5, 0, 57);
    final EndpointConnectionPool pool =
        new EndpointConnectionPool(endpoint, false, new InetSocketAddress("127.0.0.1", 9001));
    final HttpCall call =
        new HttpCall(
            pool, 4, List.of(messages).stream().map(MessageAttempt::new).toList(), 1_000_000);
    return CallRequestEncoder.encode(call, 1_500_000).toString(StandardCharsets.ISO_8859_1);
  }

  @Test
  void callWithOneKeyedMessage_hasExpectedBytes() {
    assertEquals(
        "POST /inbox HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Timeout-Ms: 2000\r\nX-Request-ID: m1\r\n"
            + "Idempotency-Key: key-1\r\nContent-Length: 3\r\n\r\nhi\u00ff",
        request(KEYED));
  }

  @Test
  void callWithOneUnkeyedMessage_hasExpectedBytes() {
    assertEquals(
        "POST /inbox HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Timeout-Ms: 2000\r\nX-Request-ID: m2\r\n"
            + "Content-Length: 0\r\n\r\n",
        request(UNKEYED));
  }

  @Test
  void callWithSeveralMessages_hasExpectedBytes() {
    assertEquals(
        "POST /inbox/bulk HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Timeout-Ms: 2000\r\n"
            + "Content-Type: application/json\r\nContent-Length: 63\r\n\r\n"
            + "[{\"id\":\"m1\",\"key\":\"key-1\",\"body\":\"aGn/\"},{\"id\":\"m2\",\"body\":\"\"}]",
        request(KEYED, UNKEYED));
  }
}

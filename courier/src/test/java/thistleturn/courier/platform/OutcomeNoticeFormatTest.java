package thistleturn.courier.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.PollTracker;

/** The exact request that reports the outcomes of messages to the platform. */
@Timeout(60)
final class OutcomeNoticeFormatTest {
  private final Clock clock = new Clock();
  private final PollTracker polls = new PollTracker(clock);
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), polls));

  @AfterEach
  void stopLoops() throws InterruptedException {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static StoredMessage ended(final String id, final StoredMessage.FinalOutcome outcome) {
    final StoredMessage message = new StoredMessage(id, "safe", null, 7, 5_000_000, new byte[] {1});
    message.end(outcome);
    return message;
  }

  @Test
  void reportOfThreeOutcomes_isThisRequest() throws Exception {
    final String expected =
        "POST /v1/outcomes HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: 116\r\n\r\n"
            + "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n"
            + "{\"id\":\"m2\",\"status\":\"deferred\",\"again_ms\":700}\n"
            + "{\"id\":\"m3\",\"status\":\"deferred\"}\n";
    final CompletableFuture<List<StoredMessage>> confirmed = new CompletableFuture<>();
    try (ServerSocket platform = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
      final HttpOutcomeNotifier notifier =
          new HttpOutcomeNotifier(
              new InetSocketAddress("127.0.0.1", platform.getLocalPort()),
              loops.next(),
              clock,
              polls,
              confirmed::complete);
      notifier.enqueue(ended("m1", new StoredMessage.FinalOutcome(true, 0)));
      notifier.enqueue(ended("m2", new StoredMessage.FinalOutcome(false, 700)));
      notifier.enqueue(ended("m3", new StoredMessage.FinalOutcome(false, 0)));
      loops.next().execute(notifier::flush);
      try (Socket connection = platform.accept()) {
        assertEquals(expected, read(connection, expected.length()));
        connection
            .getOutputStream()
            .write("HTTP/1.1 204 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(
            List.of("m1", "m2", "m3"),
            confirmed.get(20, TimeUnit.SECONDS).stream().map(StoredMessage::id).toList());
      }
    }
  }

  private static String read(final Socket connection, final int length) throws IOException {
    connection.setSoTimeout(20_000);
    final InputStream in = connection.getInputStream();
    return new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }
}

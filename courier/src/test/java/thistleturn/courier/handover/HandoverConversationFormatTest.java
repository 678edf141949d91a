package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.AttemptResult;

/**
 * The exact lines that the older and the newer process of a courier exchange during a handover,
 * over the real socket. The test acts as the other process.
 */
@Timeout(60)
final class HandoverConversationFormatTest {
  private static final long TIMEOUT_S = 20;
  private static final List<String> EMPTY_SNAPSHOT_LINES =
      List.of("{\"t\":\"classes\",\"trust\":1.0,\"mean\":[],\"samples\":[]}", "{\"t\":\"yours\"}");
  private static final String OFFER_FIELDS =
      "\"id\":\"m1\",\"class\":\"safe\",\"key\":null,\"dest\":57,\"valid\":5000000,"
          + "\"body\":\"AQ==\"}";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = loops.next();

  @TempDir private Path folder;

  @AfterEach
  void stopLoop() throws InterruptedException {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static HandoverSnapshot emptySnapshot() {
    return new HandoverSnapshot(
        List.of(), new LearnedState(new double[0], new int[0], 1, List.of(), List.of()), List.of());
  }

  private static void write(final SocketChannel to, final String... lines) throws IOException {
    final ByteBuffer bytes =
        ByteBuffer.wrap((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  }

  private static List<String> read(final BufferedReader from, final int count) throws IOException {
    final List<String> lines = new ArrayList<>();
    while (lines.size() < count) {
      lines.add(from.readLine());
    }
    return lines;
  }

  private static BufferedReader reader(final SocketChannel channel) {
    return new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
  }

  private static String nextEvent(final BlockingQueue<String> events) throws InterruptedException {
    return String.valueOf(events.poll(TIMEOUT_S, TimeUnit.SECONDS));
  }

  // ---------------------------------------------------------------- the newer process

  /** Gives each possible reply to one offer after another, and records the events it receives. */
  private static final class DecidingProcess implements HandoverClient.Listener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private int offers;

    @Override
    public void onMessageSubmitted(final StoredMessage message, final Ingress.Reply reply) {
      assertArrayEquals(new byte[] {1}, message.body());
      switch (offers++) {
        case 0 -> reply.accepted();
        case 1 -> reply.rejected(Ingress.RejectionReason.NO_ROOM, 1_000_000);
        case 2 -> reply.rejected(Ingress.RejectionReason.DECIDED, 0);
        case 3 -> reply.invalid(Ingress.InvalidReason.NO_DESTINATION);
        case 4 -> reply.invalid(Ingress.InvalidReason.HELD_ALREADY);
        default -> reply.failed();
      }
    }

    @Override
    public void withdraw(final Submission submission) {
      events.add("withdraw " + submission.messageId() + " " + submission.destination());
    }

    @Override
    public void onRemoteOutcome(final String messageId, final Dispatcher.DispatchOutcome outcome) {
      events.add("outcome " + messageId + " " + outcome.result().neverExecuted());
    }

    @Override
    public void onPredecessorDisconnected() {
      events.add("gone");
    }
  }

  @Test
  void newerProcess_sendsTheseLines() throws Exception {
    try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      server.bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
      final CompletableFuture<HandoverSnapshot> received = new CompletableFuture<>();
      final CompletableFuture<HandoverClient> client = new CompletableFuture<>();
      final Runnable failed =
          () -> received.completeExceptionally(new IOException("the handover failed"));
      loop.execute(
          () ->
              client.complete(
                  HandoverClient.requestHandover(loop, folder, received::complete, failed)));
      try (SocketChannel connection = server.accept();
          BufferedReader in = reader(connection)) {
        assertEquals(
            "{\"t\":\"hello\",\"version\":4,\"offers\":true,\"reloads\":true}", in.readLine());
        write(connection, EMPTY_SNAPSHOT_LINES.toArray(new String[0]));
        assertEquals(List.of(), received.get(TIMEOUT_S, TimeUnit.SECONDS).endpoints());

        final DecidingProcess deciding = new DecidingProcess();
        final HandoverClient predecessor = client.get(TIMEOUT_S, TimeUnit.SECONDS);
        loop.execute(
            () -> {
              predecessor.setListener(deciding);
              predecessor.announceListening();
              predecessor.abandonCall(11, AttemptResult.TIMED_OUT);
            });
        assertEquals(
            List.of(
                "{\"t\":\"listening\"}",
                "{\"t\":\"abandon\",\"call\":11,\"result\":\"TIMED_OUT\"}"),
            read(in, 2));

        for (int number = 1; number <= 6; number++) {
          write(connection, "{\"t\":\"offer\",\"number\":" + number + "," + OFFER_FIELDS);
        }
        assertEquals(
            List.of(
                "{\"t\":\"reply\",\"number\":1,\"kind\":\"accepted\",\"retry\":0}",
                "{\"t\":\"reply\",\"number\":2,\"kind\":\"refused\",\"retry\":1000000,"
                    + "\"why\":\"NO_ROOM\"}",
                "{\"t\":\"reply\",\"number\":3,\"kind\":\"refused\",\"retry\":0,"
                    + "\"why\":\"DECIDED\"}",
                "{\"t\":\"reply\",\"number\":4,\"kind\":\"unusable\",\"retry\":0,"
                    + "\"why\":\"NO_DESTINATION\"}",
                "{\"t\":\"reply\",\"number\":5,\"kind\":\"unusable\",\"retry\":0,"
                    + "\"why\":\"HELD_ALREADY\"}",
                "{\"t\":\"reply\",\"number\":6,\"kind\":\"failed\",\"retry\":0}"),
            read(in, 6));

        write(
            connection,
            "{\"t\":\"withdraw\",\"number\":1,\"id\":\"m1\",\"dest\":57}",
            "{\"t\":\"withdraw\",\"number\":1,\"id\":\"m1\",\"dest\":57}",
            "{\"t\":\"outcome\",\"call\":11,\"id\":\"m2\",\"result\":\"NOT_SENT\","
                + "\"over\":false,\"wait\":0}");
        assertEquals("withdraw m1 57", nextEvent(deciding.events));
        assertEquals("outcome m2 true", nextEvent(deciding.events));
      }
    }
  }

  // ---------------------------------------------------------------- the older process

  /** Hands over at once, and records what the newer process requests. */
  private static final class ServingProcess implements HandoverSource {
    private final CompletableFuture<Successor> successor = new CompletableFuture<>();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public HandoverSnapshot handOver(final Successor newer) {
      successor.complete(newer);
      return emptySnapshot();
    }

    @Override
    public void abandonCall(final long call, final AttemptResult result) {
      events.add("abandon " + call + " " + result.name());
    }

    @Override
    public void onSuccessorListening() {
      events.add("listening");
    }

    @Override
    public void onSuccessorGone() {
      events.add("gone");
    }
  }

  /** Records the reply to a client's message. */
  private record RecordedReply(BlockingQueue<String> events) implements Ingress.Reply {
    @Override
    public void accepted() {
      events.add("accepted");
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      events.add("rejected " + reason.name() + " " + retryAfterUs);
    }

    @Override
    public void failed() {
      events.add("failed");
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      events.add("invalid " + reason.name());
    }
  }

  private SocketChannel connectToOlderProcess() throws IOException {
    final UnixDomainSocketAddress address = UnixDomainSocketAddress.of(folder.resolve("handover"));
    final long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (true) {
      try {
        return SocketChannel.open(address);
      } catch (final IOException e) {
        assertTrue(System.nanoTime() < deadlineNs, "no process listens: " + e);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
      }
    }
  }

  @Test
  void olderProcess_sendsTheseLines() throws Exception {
    final ServingProcess serving = new ServingProcess();
    loop.execute(() -> new HandoverServer(serving).listen(loop, folder));
    try (SocketChannel connection = connectToOlderProcess();
        BufferedReader in = reader(connection)) {
      write(connection, "{\"t\":\"hello\",\"version\":4,\"offers\":true,\"reloads\":true}");
      assertEquals(EMPTY_SNAPSHOT_LINES, read(in, 2));

      final Successor successor = serving.successor.get(TIMEOUT_S, TimeUnit.SECONDS);
      final BlockingQueue<String> replies = new LinkedBlockingQueue<>();
      final StoredMessage message =
          new StoredMessage("m1", "safe", null, 57, 4_000_000, new byte[] {1});
      loop.execute(
          () -> {
            for (int offer = 1; offer <= 6; offer++) {
              successor.submit(message, 5_000_000, new RecordedReply(replies));
            }
            successor.withdraw(message.submission());
            successor.reportOutcome(
                11, "m2", new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, false, 0, null));
          });
      final List<String> expected = new ArrayList<>();
      for (int number = 1; number <= 6; number++) {
        expected.add("{\"t\":\"offer\",\"number\":" + number + "," + OFFER_FIELDS);
      }
      expected.add("{\"t\":\"withdraw\",\"number\":6,\"id\":\"m1\",\"dest\":57}");
      expected.add(
          "{\"t\":\"outcome\",\"call\":11,\"id\":\"m2\",\"result\":\"NOT_SENT\","
              + "\"over\":false,\"wait\":0}");
      assertEquals(expected, read(in, 8));

      write(
          connection,
          "{\"t\":\"reply\",\"number\":1,\"kind\":\"accepted\",\"retry\":0}",
          "{\"t\":\"reply\",\"number\":2,\"kind\":\"refused\",\"retry\":7,\"why\":\"NO_ROOM\"}",
          "{\"t\":\"reply\",\"number\":3,\"kind\":\"refused\",\"retry\":0,\"why\":\"DECIDED\"}",
          "{\"t\":\"reply\",\"number\":4,\"kind\":\"unusable\",\"why\":\"NO_DESTINATION\"}",
          "{\"t\":\"reply\",\"number\":5,\"kind\":\"unusable\",\"why\":\"HELD_ALREADY\"}",
          "{\"t\":\"reply\",\"number\":6,\"kind\":\"failed\",\"retry\":0}");
      for (final String reply :
          List.of(
              "accepted",
              "rejected NO_ROOM 7",
              "rejected DECIDED 0",
              "invalid NO_DESTINATION",
              "invalid HELD_ALREADY",
              "failed")) {
        assertEquals(reply, nextEvent(replies));
      }

      write(
          connection,
          "{\"t\":\"listening\"}",
          "{\"t\":\"abandon\",\"call\":11,\"result\":\"CANCELLED\"}");
      assertEquals("listening", nextEvent(serving.events));
      assertEquals("abandon 11 CANCELLED", nextEvent(serving.events));
    }
  }

  /** Guards against a line that the last release cannot read, and one that this one misses. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void olderProcess_passesReloadOnIfItIsUnderstood(final boolean understood) throws Exception {
    final ServingProcess serving = new ServingProcess();
    loop.execute(() -> new HandoverServer(serving).listen(loop, folder));
    try (SocketChannel connection = connectToOlderProcess();
        BufferedReader in = reader(connection)) {
      write(
          connection,
          "{\"t\":\"hello\",\"version\":4,\"offers\":true,\"reloads\":" + understood + "}");
      assertEquals(EMPTY_SNAPSHOT_LINES, read(in, 2));
      final Successor successor = serving.successor.get(TIMEOUT_S, TimeUnit.SECONDS);
      loop.execute(
          () -> {
            successor.reloadConfiguration();
            successor.reportOutcome(
                11, "m2", new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, false, 0, null));
          });
      if (understood) {
        assertEquals("{\"t\":\"reload\"}", in.readLine());
      }
      assertTrue(in.readLine().startsWith("{\"t\":\"outcome\""));
    }
  }

  /** Guards against a withdrawal by id alone before the last release has accepted the offer. */
  @Test
  void olderProcess_withdrawsFromLastReleaseOnceOfferIsAccepted() throws Exception {
    final ServingProcess serving = new ServingProcess();
    loop.execute(() -> new HandoverServer(serving).listen(loop, folder));
    try (SocketChannel connection = connectToOlderProcess();
        BufferedReader in = reader(connection)) {
      write(connection, "{\"t\":\"hello\",\"version\":4}");
      assertEquals(EMPTY_SNAPSHOT_LINES, read(in, 2));
      final Successor successor = serving.successor.get(TIMEOUT_S, TimeUnit.SECONDS);
      final List<StoredMessage> messages = new ArrayList<>();
      for (int number = 1; number <= 2; number++) {
        messages.add(new StoredMessage("m1", "safe", null, 57, 4_000_000, new byte[] {1}));
      }
      loop.execute(
          () -> {
            for (final StoredMessage message : messages) {
              successor.submit(message, 5_000_000, new RecordedReply(new LinkedBlockingQueue<>()));
              successor.withdraw(message.submission());
            }
          });
      read(in, 2);
      write(
          connection,
          "{\"t\":\"reply\",\"number\":1,\"kind\":\"unusable\",\"why\":\"HELD_ALREADY\"}",
          "{\"t\":\"reply\",\"number\":2,\"kind\":\"accepted\",\"retry\":0}");
      assertEquals("{\"t\":\"withdraw\",\"number\":2,\"id\":\"m1\",\"dest\":57}", in.readLine());
    }
  }

  /** Guards against a withdrawal of the last release that reaches more than its latest offer. */
  @Test
  void newerProcess_findsOfferOfLastReleaseById() {
    final ReceivedOffers offers = new ReceivedOffers();
    final List<PredecessorLine.Offer> sent = new ArrayList<>();
    for (long number = 1; number <= 2; number++) {
      sent.add(
          new PredecessorLine.Offer(
              number, new StoredMessage("m1", "safe", null, 57, 4_000_000, new byte[] {1}), 0));
    }
    sent.forEach(offers::add);
    final PredecessorLine.Withdrawal byId =
        new PredecessorLine.Withdrawal(PredecessorLine.Withdrawal.UNKNOWN_OFFER, "m1", 57);
    assertSame(sent.get(1).message().submission(), offers.remove(byId));
    final PredecessorLine.Withdrawal byNumber = new PredecessorLine.Withdrawal(1, "m1", 57);
    assertSame(sent.get(0).message().submission(), offers.remove(byNumber));
    assertNull(offers.remove(byNumber), "a withdrawal that comes again reaches nothing");
    assertNull(offers.remove(byId));
  }
}

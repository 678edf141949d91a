package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.LoadReport;

/**
 * The steps of a handover over the real socket, above all those that fail. One end is the real
 * implementation, the other a plain socket of this test.
 */
@Tag("operators")
@Timeout(60)
final class HandoverProtocolTest {
  private static final int TIMEOUT_S = 20;
  private static final String HELLO =
      "{\"t\":\"hello\",\"version\":4,\"offers\":true,\"reloads\":true}";
  private static final List<String> SNAPSHOT_LINES =
      List.of(
          "{\"t\":\"endpoint\",\"number\":4,\"name\":\"s-1\",\"condition\":\"DRAINING\","
              + "\"host\":\"127.0.0.1\",\"port\":9001,\"zone\":\"a\",\"weight\":2.5,"
              + "\"kind\":\"std\",\"dest\":57}",
          "{\"t\":\"classes\",\"trust\":1.0E7,\"mean\":[\"1000.0\",\"0.5\"],\"samples\":[7,0]}",
          "{\"t\":\"lane\",\"endpoint\":4,\"figures\":[\"3.0\",\"Infinity\"],\"moments\":[1,2]}",
          "{\"t\":\"node\",\"endpoint\":4,\"figures\":[\"0.5\"],"
              + "\"moments\":[9223372036854775807]}",
          "{\"t\":\"call\",\"number\":11,\"endpoint\":4,\"dest\":57,\"sent\":12345,"
              + "\"ids\":[\"m1\",\"m2\"]}",
          "{\"t\":\"yours\"}");

  @TempDir private Path folder;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static HandoverSnapshot snapshot() {
    return new HandoverSnapshot(
        List.of(
            new HandoverSnapshot.NumberedEndpoint(
                4,
                new EndpointDirectory.Entry(
                    "s-1",
                    EndpointState.DRAINING,
                    new InetSocketAddress("127.0.0.1", 9001),
                    "a",
                    2.5,
                    "std",
                    57))),
        new LearnedState(
            new double[] {1000, 0.5},
            new int[] {7, 0},
            1e7,
            List.of(
                new LearnedState.LearnedRoute(
                    4, new double[] {3, Double.POSITIVE_INFINITY}, new long[] {1, 2})),
            List.of(
                new LearnedState.LearnedEndpoint(
                    4, new double[] {0.5}, new long[] {Long.MAX_VALUE}))),
        List.of(new HandoverSnapshot.InFlightRemoteCall(11, 4, 57, 12_345, List.of("m1", "m2"))));
  }

  /** One end of a connection that the test reads and writes itself. */
  private static final class RawPeer implements AutoCloseable {
    private final SocketChannel channel;
    private final BufferedReader reader;

    RawPeer(final SocketChannel channel) {
      this.channel = channel;
      this.reader = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    void write(final String line) throws IOException {
      final ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
    }

    String readLine() throws IOException {
      return reader.readLine();
    }

    List<String> readLines(final int count) throws IOException {
      final List<String> lines = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        lines.add(readLine());
      }
      return lines;
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private UnixDomainSocketAddress address() {
    return UnixDomainSocketAddress.of(folder.resolve("handover"));
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  // ---------------------------------------------------------------- the older process

  /** A process that hands over the snapshot above and records what its successor requests. */
  private final class RecordingSource implements HandoverSource {
    private boolean handoverFails;

    @Override
    public HandoverSnapshot handOver(final Successor successor) throws IOException {
      if (handoverFails) {
        throw new IOException("not now");
      }
      return snapshot();
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

  private void startServer(final RecordingSource source) throws Exception {
    loop.submit(() -> new HandoverServer(source).listen(loop, folder)).get();
    // The server binds on the loop, so it is bound when the next task has run.
    loop.submit(() -> {}).get();
  }

  private RawPeer connectAsSuccessor() throws IOException {
    return new RawPeer(SocketChannel.open(address()));
  }

  @Test
  void helloOfSameVersion_returnsSnapshotLines() throws Exception {
    startServer(new RecordingSource());
    try (RawPeer successor = connectAsSuccessor()) {
      successor.write(HELLO);
      assertEquals(SNAPSHOT_LINES, successor.readLines(SNAPSHOT_LINES.size()));
    }
    assertEquals("gone", nextEvent());
  }

  @Test
  void helloOfOtherVersionOrOtherFirstLine_closesConnection() throws Exception {
    startServer(new RecordingSource());
    for (final String line :
        List.of("{\"t\":\"hello\",\"version\":3}", "{\"t\":\"listening\"}", "no JSON", "{}")) {
      try (RawPeer successor = connectAsSuccessor()) {
        successor.write(line);
        assertNull(successor.readLine(), line);
      }
    }
    try (RawPeer successor = connectAsSuccessor()) {
      successor.write(HELLO);
      assertNotNull(successor.readLine(), "the server still waits for a successor");
    }
  }

  @Test
  void sourceThatCannotHandOver_closesConnectionAndWaitsForNext() throws Exception {
    final RecordingSource source = new RecordingSource();
    source.handoverFails = true;
    startServer(source);
    try (RawPeer successor = connectAsSuccessor()) {
      successor.write(HELLO);
      assertNull(successor.readLine());
    }
    loop.submit(() -> source.handoverFails = false).get();
    try (RawPeer successor = connectAsSuccessor()) {
      successor.write(HELLO);
      assertEquals(SNAPSHOT_LINES, successor.readLines(SNAPSHOT_LINES.size()));
    }
  }

  @Test
  void secondSuccessorDuringHandover_isRejected() throws Exception {
    startServer(new RecordingSource());
    try (RawPeer second = connectAsSuccessor();
        RawPeer first = connectAsSuccessor()) {
      first.write(HELLO);
      first.readLines(SNAPSHOT_LINES.size());
      second.write(HELLO);
      assertNull(second.readLine());
    }
  }

  @Test
  void successorLines_reachTheSource() throws Exception {
    startServer(new RecordingSource());
    try (RawPeer successor = connectAsSuccessor()) {
      successor.write(HELLO);
      successor.readLines(SNAPSHOT_LINES.size());
      successor.write("{\"t\":\"listening\"}");
      successor.write("{\"t\":\"of a later version\"}");
      successor.write("{\"t\":\"abandon\",\"call\":11,\"result\":\"CANCELLED\"}");
      assertEquals("listening", nextEvent());
      assertEquals("abandon 11 CANCELLED", nextEvent());
    }
    assertEquals("gone", nextEvent());
  }

  // ---------------------------------------------------------------- the newer process

  /** Records what the older process reports. */
  private final class RecordingListener implements HandoverClient.Listener {
    @Override
    public void onMessageSubmitted(final StoredMessage message, final Ingress.Reply reply) {
      assertArrayEquals(new byte[] {0, -1, 7}, message.body());
      events.add(
          "offer "
              + message.id()
              + " "
              + message.className()
              + " "
              + message.idempotencyKey()
              + " "
              + message.destination()
              + " "
              + message.deadlineUs());
    }

    @Override
    public void withdraw(final Submission submission) {
      events.add("withdraw " + submission.messageId() + " " + submission.destination());
    }

    @Override
    public void onRemoteOutcome(final String messageId, final Dispatcher.DispatchOutcome outcome) {
      events.add("outcome " + messageId + " " + describe(outcome));
    }

    private String describe(final Dispatcher.DispatchOutcome outcome) {
      final LoadReport report = outcome.loadReport();
      return outcome.result().name()
          + " "
          + outcome.completed()
          + " "
          + outcome.retryAfterUs()
          + (report == null ? "" : " " + report.remainingShare() + " " + report.callsPerSecond());
    }

    @Override
    public void onPredecessorDisconnected() {
      events.add("gone");
    }
  }

  private ServerSocketChannel listenAsPredecessor() throws IOException {
    final ServerSocketChannel listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    listener.bind(address());
    return listener;
  }

  private HandoverClient requestHandover() throws Exception {
    return loop.submit(
            () ->
                HandoverClient.requestHandover(
                    loop,
                    folder,
                    received ->
                        events.add(
                            "snapshot "
                                + HandoverCodec.encodeSnapshot(received).equals(SNAPSHOT_LINES)),
                    () -> events.add("failed")))
        .get();
  }

  private void writeSnapshot(final RawPeer predecessor) throws IOException {
    for (final String line : SNAPSHOT_LINES) {
      predecessor.write(line);
    }
  }

  @Test
  void noListeningPredecessor_handoverFails() throws Exception {
    requestHandover();
    assertEquals("failed", nextEvent());
  }

  @Test
  void connectionClosedWithinSnapshot_handoverFails() throws Exception {
    try (ServerSocketChannel listener = listenAsPredecessor()) {
      requestHandover();
      try (RawPeer predecessor = new RawPeer(listener.accept())) {
        assertEquals(HELLO, predecessor.readLine());
        predecessor.write(SNAPSHOT_LINES.get(0));
      }
      assertEquals("failed", nextEvent());
    }
  }

  @Test
  void unknownSnapshotLine_handoverFails() throws Exception {
    try (ServerSocketChannel listener = listenAsPredecessor()) {
      requestHandover();
      try (RawPeer predecessor = new RawPeer(listener.accept())) {
        predecessor.write("{\"t\":\"of a later version\"}");
        assertEquals(HELLO, predecessor.readLine());
        assertNull(predecessor.readLine());
      }
      assertEquals("failed", nextEvent());
    }
  }

  @Test
  void linesBeforeAndAfterListenerIsSet_reachItInOrder() throws Exception {
    try (ServerSocketChannel listener = listenAsPredecessor()) {
      final HandoverClient client = requestHandover();
      final RecordingListener recording = new RecordingListener();
      try (RawPeer predecessor = new RawPeer(listener.accept())) {
        predecessor.readLine();
        writeSnapshot(predecessor);
        predecessor.write(
            "{\"t\":\"offer\",\"number\":1,\"id\":\"m1\",\"class\":\"safe\",\"key\":null,"
                + "\"dest\":57,\"valid\":1001,\"body\":\"AP8H\"}");
        predecessor.write("{\"t\":\"withdraw\",\"id\":\"m1\",\"dest\":57}");
        assertEquals("snapshot true", nextEvent());
        loop.submit(() -> client.setListener(recording)).get();
        predecessor.write(
            "{\"t\":\"outcome\",\"call\":11,\"id\":\"m2\",\"result\":\"REFUSED\",\"over\":true,"
                + "\"wait\":1500,\"left\":0.25,\"limit\":40.0}");
        predecessor.write(
            "{\"t\":\"outcome\",\"call\":11,\"id\":\"m1\",\"result\":\"TIMED_OUT\","
                + "\"over\":false,\"wait\":0}");
        assertEquals("offer m1 safe null 57 1001", nextEvent());
        assertEquals("withdraw m1 57", nextEvent());
        assertEquals("outcome m2 REFUSED true 1500 0.25 40.0", nextEvent());
        assertEquals("outcome m1 TIMED_OUT false 0", nextEvent());
      }
      assertEquals("gone", nextEvent());
    }
  }

  @Test
  void predecessorDisconnectedBeforeListenerIsSet_isReportedAfterItsLines() throws Exception {
    try (ServerSocketChannel listener = listenAsPredecessor()) {
      final HandoverClient client = requestHandover();
      try (RawPeer predecessor = new RawPeer(listener.accept())) {
        predecessor.readLine();
        writeSnapshot(predecessor);
        predecessor.write(
            "{\"t\":\"offer\",\"number\":1,\"id\":\"m1\",\"class\":\"safe\",\"key\":null,"
                + "\"dest\":57,\"valid\":1001,\"body\":\"AP8H\"}");
        predecessor.write("{\"t\":\"withdraw\",\"id\":\"m1\",\"dest\":57}");
      }
      assertEquals("snapshot true", nextEvent());
      loop.submit(() -> client.setListener(new RecordingListener())).get();
      assertEquals("offer m1 safe null 57 1001", nextEvent());
      assertEquals("withdraw m1 57", nextEvent());
      assertEquals("gone", nextEvent());
    }
  }
}

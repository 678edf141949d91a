package thistleturn.courier;

import io.netty.buffer.Unpooled;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverServer;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.StateLock;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;

/**
 * A process that shares a courier's state folder as another process of that courier does, through
 * the production classes, and closes its connection, releases its lock and exits in separate steps,
 * each on command. In a killed process all of these end within milliseconds, in an order that the
 * system chooses.
 *
 * <p>Reads commands from its standard input, one per line, and responds to each with a line on its
 * standard output; {@link ScriptedCourier} sends the commands. Exits at the end of its input.
 */
final class ScriptedCourierProcess {
  /** The prefix of the response to a command that succeeded. */
  static final String DONE = "done ";

  /** The prefix of the response to a command that failed. */
  static final String FAILED = "failed ";

  /** The prefix of lines that report an action of the other courier. */
  static final String EVENT = "event ";

  private static final long DISK_BYTES = 3_000_000;
  private static final long US_PER_MS = 1000;
  private static final String ZONE = "a";
  private static final String BODY = "hello";
  private static final int TOO_LONG_CHARS = 300_000;

  /** The response to a newer courier's handover request. */
  enum HandoverManner {
    /** Hands over as a courier does. */
    HAND_OVER,
    /** Refuses, and changes nothing. */
    REFUSE,
    /** Releases the journal and the lock, and closes the connection within the snapshot. */
    DROP_WITHIN_SNAPSHOT
  }

  /** Lines that the other courier cannot read. */
  enum UnreadableLine {
    NO_JSON,
    TOO_LONG
  }

  /** A message with the parameters of a command. */
  private record MessageToSend(String id, String className, long destination, long timeoutMs) {
    private static MessageToSend of(final String[] command) {
      return new MessageToSend(
          command[1], command[2], Long.parseLong(command[3]), Long.parseLong(command[4]));
    }
  }

  private final Path stateFolder;
  private final InetSocketAddress endpoint;
  private final Clock clock = new Clock();
  private final ConnectionTrackingEventLoop loop = new ConnectionTrackingEventLoop();
  private final ScriptedCalls calls;
  private StateLock lock;
  private Journal journal;

  private ScriptedCourierProcess(final Path stateFolder, final InetSocketAddress endpoint) {
    this.stateFolder = stateFolder;
    this.endpoint = endpoint;
    this.calls = new ScriptedCalls(endpoint);
  }

  /** Runs the process: the state folder, the endpoint's host and its port are the arguments. */
  public static void main(final String[] arguments) throws IOException {
    final InetSocketAddress endpoint =
        new InetSocketAddress(arguments[1], Integer.parseInt(arguments[2]));
    new ScriptedCourierProcess(Path.of(arguments[0]), endpoint).run();
    Runtime.getRuntime().halt(0);
  }

  static void print(final String line) {
    synchronized (System.out) {
      System.out.println(line);
      System.out.flush();
    }
  }

  private void run() throws IOException {
    final BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String command = commands.readLine(); command != null; command = commands.readLine()) {
      try {
        execute(command.split(" "));
        print(DONE + command);
      } catch (final IOException | ExecutionException | InterruptedException e) {
        print(FAILED + command + ": " + e);
      }
    }
  }

  private void execute(final String[] command)
      throws IOException, ExecutionException, InterruptedException {
    switch (command[0]) {
      case "lock" -> onLoop(this::lockFolder);
      case "accept" -> onLoop(() -> accept(MessageToSend.of(command)));
      case "call" -> onLoop(() -> call(MessageToSend.of(command)));
      case "listen" -> listen(HandoverManner.valueOf(command[1]));
      case "take-over" -> takeOver();
      case "close-connection" -> closeConnections();
      case "release-lock" -> releaseLockAsOnProcessExit();
      case "send-unreadable" -> sendUnreadable(UnreadableLine.valueOf(command[1]));
      case "assert-locked-by-other" -> onLoop(this::assertLockedByOther);
      default -> throw new IOException("unknown command");
    }
  }

  private <T> T onLoop(final Callable<T> step) throws ExecutionException, InterruptedException {
    return loop.submit(step).get();
  }

  /** Locks the folder and opens its journal. */
  private Void lockFolder() throws IOException {
    lock = StateLock.tryLock(stateFolder);
    if (lock == null) {
      throw new IOException("another process holds the folder");
    }
    journal = Journal.open(stateFolder, DISK_BYTES);
    lock.recordHolder();
    return null;
  }

  private StoredMessage accept(final MessageToSend toSend) throws IOException {
    final StoredMessage message =
        new StoredMessage(
            toSend.id(),
            toSend.className(),
            "key-" + toSend.id(),
            toSend.destination(),
            clock.nowUs() + toSend.timeoutMs() * US_PER_MS,
            BODY.getBytes(StandardCharsets.UTF_8));
    if (!journal.recordAccepted(message)) {
      throw new IOException("the journal did not accept the message");
    }
    flushJournal();
    return message;
  }

  private void flushJournal() throws IOException {
    if (journal.flush() != Journal.FlushResult.DURABLE) {
      throw new IOException("the journal cannot be written");
    }
  }

  /** Accepts a message and begins a call with it that only this process ends. */
  private Void call(final MessageToSend toSend) throws IOException {
    final String id = toSend.id();
    final StoredMessage message = accept(toSend);
    final long nowUs = clock.nowUs();
    journal.recordAttemptStarted(message, nowUs, ZONE);
    flushJournal();
    final Socket connection = new Socket(endpoint.getAddress(), endpoint.getPort());
    calls.add(id, nowUs, connection);
    final String request =
        "POST /inbox HTTP/1.1\r\nHost: e1\r\nX-Timeout-Ms: "
            + toSend.timeoutMs()
            + "\r\nX-Request-ID: "
            + id
            + "\r\nIdempotency-Key: key-"
            + id
            + "\r\nContent-Length: "
            + BODY.length()
            + "\r\n\r\n"
            + BODY;
    connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return null;
  }

  /** Listens for a newer courier. */
  private void listen(final HandoverManner manner) throws ExecutionException, InterruptedException {
    final HandoverServer server =
        new HandoverServer(
            new ScriptedHandoverSource(calls, () -> answerRequestToHandOver(manner)));
    onLoop(
        () -> {
          server.listen(loop, stateFolder);
          return null;
        });
    // It binds on the loop, so it is bound once the next task runs.
    onLoop(() -> null);
  }

  private HandoverSnapshot answerRequestToHandOver(final HandoverManner manner) throws IOException {
    if (manner == HandoverManner.REFUSE) {
      throw new IOException("not now");
    }
    journal.compactAndClose();
    lock.close();
    if (manner == HandoverManner.DROP_WITHIN_SNAPSHOT) {
      calls.snapshotLinesButLast().forEach(this::sendLine);
      throw new IOException("the connection is closed within the snapshot");
    }
    return calls.snapshot();
  }

  /** Takes over from the courier that serves. */
  private void takeOver() throws ExecutionException, InterruptedException {
    final CompletableFuture<Void> takeoverDone = new CompletableFuture<>();
    final CompletableFuture<HandoverClient> client = new CompletableFuture<>();
    onLoop(
        () ->
            client.complete(
                HandoverClient.requestHandover(
                    loop,
                    stateFolder,
                    snapshot -> {
                      client.join().setListener(new ScriptedSuccessorListener());
                      completeTakeover(takeoverDone);
                    },
                    () ->
                        takeoverDone.completeExceptionally(
                            new IOException("the other courier did not hand over")))));
    takeoverDone.get();
  }

  private void completeTakeover(final CompletableFuture<Void> takeoverDone) {
    try {
      lockFolder();
      takeoverDone.complete(null);
    } catch (final IOException e) {
      takeoverDone.completeExceptionally(e);
    }
  }

  private void closeConnections() throws InterruptedException {
    for (final NioDomainSocketChannel line : loop.openConnections()) {
      line.close().sync();
    }
  }

  /**
   * Releases the lock as the system does for a process that exits, without the cleanup of {@link
   * StateLock}: a killed process notifies no other process. Closing any descriptor of the file
   * releases the process's lock.
   */
  private void releaseLockAsOnProcessExit() throws IOException {
    FileChannel.open(stateFolder.resolve("lock"), StandardOpenOption.WRITE).close();
  }

  private void sendUnreadable(final UnreadableLine kind) {
    sendLine(kind == UnreadableLine.NO_JSON ? "{no JSON" : "x".repeat(TOO_LONG_CHARS));
  }

  private void sendLine(final String line) {
    for (final NioDomainSocketChannel open : loop.openConnections()) {
      open.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8));
    }
  }

  private Void assertLockedByOther() throws IOException {
    final StateLock taken = StateLock.tryLock(stateFolder);
    if (taken != null) {
      taken.close();
      throw new IOException("the folder is not locked");
    }
    return null;
  }
}

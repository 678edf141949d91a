package thistleturn.courier.handover;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Json;

/**
 * A newer process that takes each step of a takeover only on command, so that a test can kill it
 * after any of them. It runs as a separate process, reads commands from its standard input, one per
 * line, and answers each with one line once it is done. The protocol's lines, the lock and the
 * journal are those of the courier.
 */
public final class ScriptedSuccessor {
  /** The answer to a completed command that has no other result. */
  public static final String DONE = "done";

  private static final long RETRY_AFTER_US = 1_500_000;
  private static final String ZONE = "a";

  private final Path stateFolder;
  private final long diskBytes;
  private final Clock clock = new Clock();
  private final Map<String, PredecessorLine.Offer> offers = new HashMap<>();
  private SocketChannel connection;
  private StateLock lock;
  private Journal journal;

  private ScriptedSuccessor(final Path stateFolder, final long diskBytes) {
    this.stateFolder = stateFolder;
    this.diskBytes = diskBytes;
  }

  /** Carries out commands until its input ends: {@code STATE_FOLDER DISK_BYTES}. */
  public static void main(final String[] arguments) throws IOException {
    final ScriptedSuccessor successor =
        new ScriptedSuccessor(Path.of(arguments[0]), Long.parseLong(arguments[1]));
    final BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String command = commands.readLine(); command != null; command = commands.readLine()) {
      final String[] words = command.split(" ");
      System.out.println(successor.run(words[0], words.length > 1 ? words[1] : null));
      System.out.flush();
    }
  }

  private String run(final String command, final String messageId) throws IOException {
    switch (command) {
      case "hello" -> sendHello();
      case "read-byte" -> readByte();
      case "read-snapshot" -> readSnapshot();
      case "take-folder" -> lockFolder();
      case "announce-listening" -> send(new SuccessorLine.Listening().toText() + "\n");
      case "read-offer" -> {
        return readOffer();
      }
      case "close-connection" -> connection.close();
      default -> {
        return runOnMessage(command, messageId);
      }
    }
    return DONE;
  }

  private String runOnMessage(final String command, final String messageId) throws IOException {
    final PredecessorLine.Offer offer = offers.get(messageId);
    final StoredMessage message = offer.message();
    switch (command) {
      case "journal" -> accept(message);
      case "journal-shed" -> shed(message);
      case "journal-call" -> startCall(message);
      case "journal-delivery" -> complete(message);
      case "journal-end" -> end(message);
      case "trim-journal" -> trim();
      case "reply-accepted" -> send(accepted(offer) + "\n");
      case "reply-accepted-partly" -> send(accepted(offer));
      case "reply-rejected" -> send(rejected(offer) + "\n");
      case "reply-rejected-partly" -> send(rejected(offer));
      default -> throw new IOException("unknown command " + command);
    }
    return DONE;
  }

  // ---------------------------------------------------------------- the connection

  private void sendHello() throws IOException {
    connection = SocketChannel.open(UnixDomainSocketAddress.of(stateFolder.resolve("handover")));
    send(SuccessorLine.Hello.ofThisVersion().toText() + "\n");
  }

  private void send(final String text) throws IOException {
    final ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    while (bytes.hasRemaining()) {
      connection.write(bytes);
    }
  }

  /** Reads one byte: the first of a line whose rest has arrived and stays unread. */
  private byte readByte() throws IOException {
    final ByteBuffer one = ByteBuffer.allocate(1);
    if (connection.read(one) != 1) {
      throw new IOException("the connection has closed");
    }
    return one.get(0);
  }

  /** Reads one line and nothing after it. */
  private String readLine() throws IOException {
    final StringBuilder text = new StringBuilder();
    for (byte next = readByte(); next != '\n'; next = readByte()) {
      text.append((char) next);
    }
    return text.toString();
  }

  private void readSnapshot() throws IOException {
    SnapshotLine next = SnapshotLine.fromJson(Json.read(readLine()));
    while (!(next instanceof SnapshotLine.SnapshotComplete)) {
      next = SnapshotLine.fromJson(Json.read(readLine()));
    }
  }

  private String readOffer() throws IOException {
    final PredecessorLine next = PredecessorLine.fromJson(Json.read(readLine()));
    if (!(next instanceof PredecessorLine.Offer offer)) {
      throw new IOException("not an offer: " + next);
    }
    offers.put(offer.message().id(), offer);
    return offer.message().id();
  }

  private static String accepted(final PredecessorLine.Offer offer) {
    return new SuccessorLine.Accepted(offer.offerNumber()).toText();
  }

  private static String rejected(final PredecessorLine.Offer offer) {
    return new SuccessorLine.Rejected(
            offer.offerNumber(), Ingress.RejectionReason.DECIDED, RETRY_AFTER_US)
        .toText();
  }

  // ---------------------------------------------------------------- the journal

  private void lockFolder() throws IOException {
    lock = StateLock.tryLock(stateFolder);
    if (lock == null) {
      throw new IOException("the folder is in use");
    }
    journal = Journal.open(stateFolder, diskBytes);
    lock.recordHolder();
  }

  private void flush() throws IOException {
    if (journal.flush() != FlushResult.DURABLE) {
      throw new IOException("the journal cannot be written");
    }
  }

  private void accept(final StoredMessage message) throws IOException {
    if (!journal.recordAccepted(message)) {
      throw new IOException("the journal does not accept " + message.id());
    }
    flush();
  }

  /**
   * Writes the records of a round that sheds a message before its client has a reply: one batch.
   */
  private void shed(final StoredMessage message) throws IOException {
    journal.recordAccepted(message);
    journal.recordCompleted(message);
    flush();
  }

  private void startCall(final StoredMessage message) throws IOException {
    journal.recordAttemptStarted(message, clock.nowUs(), ZONE);
    flush();
  }

  private void complete(final StoredMessage message) throws IOException {
    journal.recordCompleted(message);
    flush();
  }

  private void end(final StoredMessage message) throws IOException {
    journal.recordFinalOutcome(message, new StoredMessage.FinalOutcome(false, 0));
    flush();
  }

  /** Removes the records of completed messages, as the compaction of a long journal does. */
  private void trim() throws IOException {
    journal.compactAndClose();
    journal = Journal.open(stateFolder, diskBytes);
  }
}

package thistleturn.courier.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The record of what this courier has accepted, in the folder that outlasts the process. Records
 * are collected in memory and written as one batch by {@link #flush}; a batch that cannot be
 * written is kept and goes with the next one. When the file has grown to its limit it is compacted:
 * the pending messages are written to a new file, which replaces the old one in one step.
 */
public final class Journal implements MessageStore, AutoCloseable {
  /** Share of the disk budget for one file: with its replacement, four fifths are used at most. */
  private static final double FILE_SHARE = 0.4;

  /** Share of a file that messages may fill: the rest is for their outcomes, which must fit. */
  private static final double ACCEPT_SHARE = 0.6;

  /** Space reserved for a message's attempts and its final outcome: they are few and short. */
  private static final int OUTCOME_RESERVE_BYTES = 256;

  private static final int RECORDS_PER_MESSAGE = 3;

  /** The longest encoding of a character that a header field may hold. */
  private static final int BYTES_PER_CHARACTER = 2;

  /** A compaction writes batches of about this size. */
  private static final int COMPACTION_BATCH_BYTES = 1 << 17;

  /**
   * Records kept in memory while the disk fails; beyond this they are dropped, and the next write
   * is a compaction.
   */
  private static final int MAX_UNWRITTEN_BYTES = 1 << 19;

  private final Path folder;
  private final long fileBytes;
  private final Clock clock;
  private final Map<String, StoredMessage> pendingMessages = new LinkedHashMap<>();
  private final RecordBuffer unwritten = new RecordBuffer();
  private JournalFile file;
  private long reservedTotalBytes;

  /** True if records were dropped, so that only a compaction brings the file up to date. */
  private boolean compactionDue;

  private boolean writable = true;
  private long unwritableSinceUs;

  private Journal(final Path folder, final long diskBytes, final Clock clock) {
    this.folder = folder;
    this.fileBytes = (long) (FILE_SHARE * diskBytes);
    this.clock = clock;
  }

  /** Opens or creates the journal of a folder, and reads the pending messages. */
  public static Journal open(final Path folder, final long diskBytes) throws IOException {
    Files.createDirectories(folder);
    final Journal journal = new Journal(folder, diskBytes, new Clock());
    journal.readFile();
    return journal;
  }

  private void readFile() throws IOException {
    final List<ByteBuffer> batches = new ArrayList<>();
    file = JournalFile.open(folder, batches::add);
    if (file == null) {
      LegacyJournalFormat.read(JournalFile.path(folder), pendingMessages, clock);
      compact();
    } else {
      final RecordReader reader = new RecordReader(pendingMessages, clockCorrection(batches));
      batches.forEach(reader::applyBatch);
    }
    reservedTotalBytes = pendingMessages.values().stream().mapToLong(Journal::reservedBytes).sum();
  }

  /**
   * Returns the conversion from recorded timestamps to this process's clock. Within one boot it is
   * the identity. If the machine was restarted and kept the folder, its monotonic clock was reset,
   * and the wall clock shows how long ago the last batch was written.
   */
  private LongUnaryOperator clockCorrection(final List<ByteBuffer> batches) {
    if (batches.isEmpty()) {
      return LongUnaryOperator.identity();
    }
    final BatchTimestamps last = BatchTimestamps.read(batches.get(batches.size() - 1));
    final long nowUs = clock.nowUs();
    if (nowUs >= last.monotonicUs()) {
      return LongUnaryOperator.identity();
    }
    final long passedUs = Math.max(0, clock.wallClockUs() - last.wallClockUs());
    Log.event(Event.JOURNAL_CLOCK_BEGAN_ANEW, "passed_us", passedUs);
    return us -> us - last.monotonicUs() - passedUs + nowUs;
  }

  /** Replaces the journal of a folder by one with these messages as they are. */
  public static void rewrite(
      final Path folder, final long diskBytes, final Collection<StoredMessage> messages)
      throws IOException {
    Files.createDirectories(folder);
    final Journal journal = new Journal(folder, diskBytes, new Clock());
    messages.forEach(message -> journal.pendingMessages.put(message.id(), message));
    journal.compact();
    journal.file.close();
  }

  @Override
  public Collection<StoredMessage> pendingMessages() {
    return List.copyOf(pendingMessages.values());
  }

  @Override
  public boolean contains(final String messageId) {
    return pendingMessages.containsKey(messageId);
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public boolean recordAccepted(final StoredMessage message) {
    if (!reserve(message)) {
      return false;
    }
    unwritten.addAccepted(message);
    return true;
  }

  @Override
  public boolean recordReopened(final StoredMessage message) {
    if (!reserve(message)) {
      return false;
    }
    unwritten.addSnapshot(message);
    return true;
  }

  /** Adds a message to the pending ones; returns false if it cannot be recorded now. */
  private boolean reserve(final StoredMessage message) {
    final long bytes = reservedBytes(message);
    if (!writable
        || pendingMessages.containsKey(message.id())
        || reservedTotalBytes + bytes > ACCEPT_SHARE * fileBytes) {
      return false;
    }
    pendingMessages.put(message.id(), message);
    reservedTotalBytes += bytes;
    return true;
  }

  @Override
  public void recordAttemptStarted(
      final StoredMessage message, final long nowUs, final String zone) {
    unwritten.addAttemptStarted(message.id(), nowUs, zone);
    message.startAttempt(nowUs, zone);
  }

  @Override
  public void recordAttemptOutcome(final StoredMessage message, final boolean neverRan) {
    message.endAttempt(neverRan);
    unwritten.addAttemptOutcome(message.id(), neverRan);
  }

  @Override
  public void recordPossibleExecution(
      final StoredMessage message, final long startedUs, final String zone) {
    message.recordPossibleExecution(startedUs, zone);
    if (pendingMessages.containsKey(message.id())) {
      unwritten.addSnapshot(message);
    }
  }

  @Override
  public void recordFinalOutcome(
      final StoredMessage message, final StoredMessage.FinalOutcome outcome) {
    final boolean counted = pendingMessages.containsKey(message.id());
    final long before = reservedBytes(message);
    message.end(outcome);
    reservedTotalBytes -= counted ? before - reservedBytes(message) : 0;
    unwritten.addFinalOutcome(message.id(), outcome);
  }

  @Override
  public void recordStatedOutcome(
      final StoredMessage message, final StoredMessage.FinalOutcome outcome) {
    message.noteStatedOutcome(outcome);
    if (pendingMessages.containsKey(message.id())) {
      unwritten.addFinalOutcome(message.id(), outcome);
    }
  }

  @Override
  public void recordCompleted(final StoredMessage message) {
    if (pendingMessages.remove(message.id()) != null) {
      reservedTotalBytes -= reservedBytes(message);
      unwritten.addCompleted(message.id());
    }
  }

  /** Returns the space that all records of a message take at most. */
  private static long reservedBytes(final StoredMessage message) {
    final String key = message.idempotencyKey();
    final int keyLength = key == null ? 0 : key.length();
    // Each of the message's records contains its id.
    final int characters =
        RECORDS_PER_MESSAGE * message.id().length() + keyLength + message.className().length();
    return message.body().length + (long) BYTES_PER_CHARACTER * characters + OUTCOME_RESERVE_BYTES;
  }

  @Override
  public FlushResult flush() {
    try {
      if (needsCompaction()) {
        compact();
      } else if (!unwritten.isEmpty()) {
        file.append(unwritten.toBatch(timestamps()));
        unwritten.clear();
      }
      onFlushed();
      return FlushResult.DURABLE;
    } catch (final JournalFile.UnknownOutcomeException e) {
      onFlushFailed(e);
      return FlushResult.UNKNOWN;
    } catch (final IOException e) {
      onFlushFailed(e);
      return FlushResult.FAILED;
    }
  }

  private boolean needsCompaction() {
    final boolean overflows = file.size() + unwritten.size() > fileBytes;
    return compactionDue || (!unwritten.isEmpty() && overflows);
  }

  private BatchTimestamps timestamps() {
    return new BatchTimestamps(clock.nowUs(), clock.wallClockUs());
  }

  private void onFlushed() {
    if (!writable) {
      writable = true;
      Log.event(
          Event.JOURNAL_WRITABLE,
          "after_us",
          clock.nowUs() - unwritableSinceUs,
          "holds",
          pendingMessages.size());
    }
  }

  private void onFlushFailed(final IOException cause) {
    Log.count(Event.JOURNAL_WRITE_FAILED);
    if (writable) {
      writable = false;
      unwritableSinceUs = clock.nowUs();
      Log.event(
          Event.JOURNAL_UNWRITABLE,
          "cause",
          cause.toString(),
          "holds",
          pendingMessages.size(),
          "pending",
          unwritten.size());
    }
    if (unwritten.size() > MAX_UNWRITTEN_BYTES) {
      // A compaction writes the same state from the messages in memory, within the file's limit.
      unwritten.clear();
      compactionDue = true;
    }
  }

  /** Writes the pending messages to a new file, which replaces the old one. */
  private void compact() throws IOException {
    final JournalFile fresh = JournalFile.replace(folder, snapshotBatches());
    if (file != null) {
      file.close();
    }
    file = fresh;
    unwritten.clear();
    compactionDue = false;
  }

  private List<ByteBuffer> snapshotBatches() {
    final List<ByteBuffer> batches = new ArrayList<>();
    RecordBuffer records = new RecordBuffer();
    for (final StoredMessage message : pendingMessages.values()) {
      records.addSnapshot(message);
      if (records.size() > COMPACTION_BATCH_BYTES) {
        batches.add(records.toBatch(timestamps()));
        records = new RecordBuffer();
      }
    }
    batches.add(records.toBatch(timestamps()));
    return batches;
  }

  @Override
  public void close() {
    if (flush() != FlushResult.DURABLE) {
      Log.event(Event.JOURNAL_CLOSED_UNWRITTEN, "pending", unwritten.size());
    }
    file.close();
  }

  /**
   * Compacts the journal, if that is possible, and closes it. The smaller file shortens the next
   * process's start, during which clients wait.
   */
  public void compactAndClose() {
    try {
      if (flush() == FlushResult.DURABLE) {
        compact();
      }
    } catch (final IOException e) {
      Log.event(Event.JOURNAL_NOT_TRIMMED, "cause", e.toString());
    }
    file.close();
  }
}

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
 * The record of what this courier has taken on, in the folder that outlasts the process. Records
 * are collected in memory and written as one batch by {@link #flush}; a batch that cannot be
 * written is kept and goes with the next one. When the file has grown to its bound, what is still
 * owed is written to a new file that takes its place in one step.
 */
public final class Journal implements MessageStore, AutoCloseable {
  /**
   * Share of the disk for one file: with the one that takes its place, four fifths are used at
   * most.
   */
  private static final double FILE_SHARE = 0.4;

  /**
   * Share of a file that messages may fill: the rest is for how they fare, which must always find
   * room.
   */
  private static final double ACCEPT_SHARE = 0.6;

  /** Room that is reckoned for how a message fares, and its notice: attempts are few and short. */
  private static final int OUTCOME_RESERVE_BYTES = 256;

  private static final int RECORDS_PER_MESSAGE = 3;

  /** A file is replaced by batches of about this size. */
  private static final int COMPACTION_BATCH_BYTES = 1 << 17;

  /**
   * Records that wait for a disk that fails; beyond that they are given up for what is known in
   * memory.
   */
  private static final int MAX_UNWRITTEN_BYTES = 1 << 19;

  private final Path folder;
  private final long fileBytes;
  private final Clock clock;
  private final Map<String, StoredMessage> pendingMessages = new LinkedHashMap<>();
  private final JournalRecords unwritten = new JournalRecords();
  private JournalFile file;
  private long reservedTotalBytes;

  /** What is written next is not a batch more, but all that is known. */
  private boolean compactionDue;

  private boolean writable = true;
  private long unwritableSinceUs;

  private Journal(final Path folder, final long diskBytes, final Clock clock) {
    this.folder = folder;
    this.fileBytes = (long) (FILE_SHARE * diskBytes);
    this.clock = clock;
  }

  /** Opens the journal of a folder, or begins it, and reads what the courier still owes. */
  public static Journal open(final Path folder, final long diskBytes) throws IOException {
    Files.createDirectories(folder);
    final Journal journal = new Journal(folder, diskBytes, new Clock());
    final List<ByteBuffer> batches = new ArrayList<>();
    journal.file = JournalFile.open(folder, batches::add);
    if (journal.file == null) {
      LegacyJournalFormat.read(JournalFile.path(folder), journal.pendingMessages, journal.clock);
      journal.compact();
    } else {
      final LongUnaryOperator moment = journal.clockCorrection(batches);
      batches.forEach(batch -> JournalRecords.apply(batch, journal.pendingMessages, moment));
    }
    journal.reservedTotalBytes =
        journal.pendingMessages.values().stream().mapToLong(Journal::reservedBytes).sum();
    return journal;
  }

  /**
   * Moments of processes of this boot are this process's. Should the machine have been started anew
   * with its folder kept, its monotonic clock has begun anew as well, and the wall clock tells how
   * long ago the last batch was written.
   */
  private LongUnaryOperator clockCorrection(final List<ByteBuffer> batches) {
    if (batches.isEmpty()) {
      return LongUnaryOperator.identity();
    }
    final JournalRecords.BatchTimestamps last =
        JournalRecords.readTimestamps(batches.get(batches.size() - 1));
    final long nowUs = clock.nowUs();
    if (nowUs >= last.monotonicUs()) {
      return LongUnaryOperator.identity();
    }
    final long passedUs = Math.max(0, clock.wallClockUs() - last.wallUs());
    Log.event(Event.JOURNAL_CLOCK_BEGAN_ANEW, "passed_us", passedUs);
    return us -> us - last.monotonicUs() - passedUs + nowUs;
  }

  /**
   * Makes the journal of a folder anew, with these messages as they stand; what was there before is
   * gone.
   */
  public static void rewrite(
      final Path folder, final long diskBytes, final Collection<StoredMessage> messages)
      throws IOException {
    Files.createDirectories(folder);
    final Journal journal = new Journal(folder, diskBytes, new Clock());
    messages.forEach(held -> journal.pendingMessages.put(held.id(), held));
    journal.compact();
    journal.file.close();
  }

  @Override
  public Collection<StoredMessage> pendingMessages() {
    return List.copyOf(pendingMessages.values());
  }

  @Override
  public boolean contains(final String id) {
    return pendingMessages.containsKey(id);
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public boolean recordAccepted(final StoredMessage held) {
    final long bytes = reservedBytes(held);
    if (!writable
        || pendingMessages.containsKey(held.id())
        || reservedTotalBytes + bytes > ACCEPT_SHARE * fileBytes) {
      return false;
    }
    unwritten.addAccepted(held);
    pendingMessages.put(held.id(), held);
    reservedTotalBytes += bytes;
    return true;
  }

  @Override
  public void recordAttemptStarted(final StoredMessage held, final long nowUs, final String zone) {
    unwritten.addAttemptStarted(held.id(), nowUs, zone);
    held.startAttempt(nowUs, zone);
  }

  @Override
  public void recordAttemptOutcome(final StoredMessage held, final boolean neverRan) {
    held.endAttempt(neverRan);
    unwritten.addAttemptOutcome(held.id(), neverRan);
  }

  @Override
  public void recordFinalOutcome(
      final StoredMessage held, final StoredMessage.FinalOutcome notice) {
    final boolean counted = pendingMessages.containsKey(held.id());
    final long before = reservedBytes(held);
    held.end(notice);
    reservedTotalBytes -= counted ? before - reservedBytes(held) : 0;
    unwritten.addFinalOutcome(held.id(), notice);
  }

  @Override
  public void recordCompleted(final StoredMessage held) {
    if (pendingMessages.remove(held.id()) != null) {
      reservedTotalBytes -= reservedBytes(held);
      unwritten.addCompleted(held.id());
    }
  }

  private static long reservedBytes(final StoredMessage held) {
    final int keyChars = held.idempotencyKey() == null ? 0 : held.idempotencyKey().length();
    // Two bytes a character at most, for what a header may hold; each of a message's records names
    // its id.
    return held.body().length
        + 2L * (RECORDS_PER_MESSAGE * held.id().length() + keyChars + held.className().length())
        + OUTCOME_RESERVE_BYTES;
  }

  // ---------------------------------------------------------------- writing

  @Override
  public FlushResult flush() {
    try {
      if (compactionDue || (!unwritten.isEmpty() && file.size() + unwritten.size() > fileBytes)) {
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

  private JournalRecords.BatchTimestamps timestamps() {
    return new JournalRecords.BatchTimestamps(clock.nowUs(), clock.wallClockUs());
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
      // What is known in memory says it all, with no more bytes than the file may have.
      unwritten.clear();
      compactionDue = true;
    }
  }

  /** Writes what is owed to a new file, which takes the place of the old one. */
  private void compact() throws IOException {
    final List<ByteBuffer> batches = new ArrayList<>();
    JournalRecords records = new JournalRecords();
    for (final StoredMessage held : pendingMessages.values()) {
      records.addSnapshot(held);
      if (records.size() > COMPACTION_BATCH_BYTES) {
        batches.add(records.toBatch(timestamps()));
        records = new JournalRecords();
      }
    }
    batches.add(records.toBatch(timestamps()));
    final JournalFile fresh = JournalFile.replace(folder, batches);
    if (file != null) {
      file.close();
    }
    file = fresh;
    unwritten.clear();
    compactionDue = false;
  }

  @Override
  public void close() {
    if (flush() != FlushResult.DURABLE) {
      Log.event(Event.JOURNAL_CLOSED_UNWRITTEN, "pending", unwritten.size());
    }
    file.close();
  }

  /**
   * Closes it, if it can be with nothing in its file but what is owed: who reads it next is waited
   * for.
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

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
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The record of what this courier has taken on, in the folder that outlasts the process. Records
 * are collected in memory and written as one batch by {@link #flush}; a batch that cannot be
 * written is kept and goes with the next one. When the file has grown to its bound, what is still
 * owed is written to a new file that takes its place in one step.
 */
public final class Journal implements Store, AutoCloseable {
  /**
   * Share of the disk for one file: with the one that takes its place, four fifths are used at
   * most.
   */
  private static final double FILE_SHARE = 0.4;

  /**
   * Share of a file that messages may fill: the rest is for how they fare, which must always find
   * room.
   */
  private static final double TAKE_SHARE = 0.6;

  /** Room that is reckoned for how a message fares, and its notice: attempts are few and short. */
  private static final int FATE_BYTES = 256;

  private static final int RECORDS_A_MESSAGE = 3;

  /** A file is replaced by batches of about this size. */
  private static final int BATCH_BYTES = 1 << 17;

  /**
   * Records that wait for a disk that fails; beyond that they are given up for what is known in
   * memory.
   */
  private static final int MOST_PENDING_BYTES = 1 << 19;

  private final Path folder;
  private final long fileBytes;
  private final Clock clock;
  private final Map<String, Held> live = new LinkedHashMap<>();
  private final Records pending = new Records();
  private JournalFile file;
  private long liveBytes;

  /** What is written next is not a batch more, but all that is known. */
  private boolean replacesFile;

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
      EarlierFormat.read(JournalFile.path(folder), journal.live, journal.clock);
      journal.replace();
    } else {
      final LongUnaryOperator moment = journal.moment(batches);
      batches.forEach(batch -> Records.apply(batch, journal.live, moment));
    }
    journal.liveBytes = journal.live.values().stream().mapToLong(Journal::bytes).sum();
    return journal;
  }

  /**
   * Moments of processes of this boot are this process's. Should the machine have been started anew
   * with its folder kept, its monotonic clock has begun anew as well, and the wall clock tells how
   * long ago the last batch was written.
   */
  private LongUnaryOperator moment(final List<ByteBuffer> batches) {
    if (batches.isEmpty()) {
      return LongUnaryOperator.identity();
    }
    final Records.Stamp last = Records.stamp(batches.get(batches.size() - 1));
    final long nowUs = clock.nowUs();
    if (nowUs >= last.monotonicUs()) {
      return LongUnaryOperator.identity();
    }
    final long passedUs = Math.max(0, clock.wallUs() - last.wallUs());
    Log.event(Event.JOURNAL_CLOCK_BEGAN_ANEW, "passed_us", passedUs);
    return us -> us - last.monotonicUs() - passedUs + nowUs;
  }

  /**
   * Makes the journal of a folder anew, with these messages as they stand; what was there before is
   * gone.
   */
  public static void write(final Path folder, final long diskBytes, final Collection<Held> messages)
      throws IOException {
    Files.createDirectories(folder);
    final Journal journal = new Journal(folder, diskBytes, new Clock());
    messages.forEach(held -> journal.live.put(held.id(), held));
    journal.replace();
    journal.file.close();
  }

  @Override
  public Collection<Held> live() {
    return List.copyOf(live.values());
  }

  @Override
  public boolean holds(final String id) {
    return live.containsKey(id);
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public boolean take(final Held held) {
    final long bytes = bytes(held);
    if (!writable || live.containsKey(held.id()) || liveBytes + bytes > TAKE_SHARE * fileBytes) {
      return false;
    }
    pending.taken(held);
    live.put(held.id(), held);
    liveBytes += bytes;
    return true;
  }

  @Override
  public void begin(final Held held, final long nowUs, final String zone) {
    pending.begun(held.id(), nowUs, zone);
    held.begin(nowUs, zone);
  }

  @Override
  public void settle(final Held held, final boolean neverRan) {
    held.settle(neverRan);
    pending.settled(held.id(), neverRan);
  }

  @Override
  public void owe(final Held held, final Held.Notice notice) {
    final boolean counted = live.containsKey(held.id());
    final long before = bytes(held);
    held.owe(notice);
    liveBytes -= counted ? before - bytes(held) : 0;
    pending.owed(held.id(), notice);
  }

  @Override
  public void over(final Held held) {
    if (live.remove(held.id()) != null) {
      liveBytes -= bytes(held);
      pending.over(held.id());
    }
  }

  private static long bytes(final Held held) {
    final int keyChars = held.idempotencyKey() == null ? 0 : held.idempotencyKey().length();
    // Two bytes a character at most, for what a header may hold; each of a message's records names
    // its id.
    return held.body().length
        + 2L * (RECORDS_A_MESSAGE * held.id().length() + keyChars + held.className().length())
        + FATE_BYTES;
  }

  // ---------------------------------------------------------------- writing

  @Override
  public Flush flush() {
    try {
      if (replacesFile || (!pending.isEmpty() && file.size() + pending.size() > fileBytes)) {
        replace();
      } else if (!pending.isEmpty()) {
        file.append(pending.batch(stamp()));
        pending.clear();
      }
      succeeded();
      return Flush.SAFE;
    } catch (final JournalFile.UnknownOutcomeException e) {
      failed(e);
      return Flush.UNKNOWN;
    } catch (final IOException e) {
      failed(e);
      return Flush.FAILED;
    }
  }

  private Records.Stamp stamp() {
    return new Records.Stamp(clock.nowUs(), clock.wallUs());
  }

  private void succeeded() {
    if (!writable) {
      writable = true;
      Log.event(
          Event.JOURNAL_WRITABLE,
          "after_us",
          clock.nowUs() - unwritableSinceUs,
          "holds",
          live.size());
    }
  }

  private void failed(final IOException cause) {
    Log.count(Event.JOURNAL_WRITE_FAILED);
    if (writable) {
      writable = false;
      unwritableSinceUs = clock.nowUs();
      Log.event(
          Event.JOURNAL_UNWRITABLE,
          "cause",
          cause.toString(),
          "holds",
          live.size(),
          "pending",
          pending.size());
    }
    if (pending.size() > MOST_PENDING_BYTES) {
      // What is known in memory says it all, with no more bytes than the file may have.
      pending.clear();
      replacesFile = true;
    }
  }

  /** Writes what is owed to a new file, which takes the place of the old one. */
  private void replace() throws IOException {
    final List<ByteBuffer> batches = new ArrayList<>();
    Records records = new Records();
    for (final Held held : live.values()) {
      records.whole(held);
      if (records.size() > BATCH_BYTES) {
        batches.add(records.batch(stamp()));
        records = new Records();
      }
    }
    batches.add(records.batch(stamp()));
    final JournalFile fresh = JournalFile.replace(folder, batches);
    if (file != null) {
      file.close();
    }
    file = fresh;
    pending.clear();
    replacesFile = false;
  }

  @Override
  public void close() {
    if (flush() != Flush.SAFE) {
      Log.event(Event.JOURNAL_CLOSED_UNWRITTEN, "pending", pending.size());
    }
    file.close();
  }

  /**
   * Closes it, if it can be with nothing in its file but what is owed: who reads it next is waited
   * for.
   */
  public void closeTrimmed() {
    try {
      if (flush() == Flush.SAFE) {
        replace();
      }
    } catch (final IOException e) {
      Log.event(Event.JOURNAL_NOT_TRIMMED, "cause", e.toString());
    }
    file.close();
  }
}

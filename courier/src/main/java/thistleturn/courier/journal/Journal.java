package thistleturn.courier.journal;

import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store;
import thistleturn.courier.runtime.Log;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The record of what this courier has taken on, in the folder that outlasts the process. A file of records, each with
 * its length and CRC32C ahead; what a kill cut off at its end is dropped. When the file has grown to its bound, what is
 * still owed is written to a new file that takes its place at once. Nothing is synced: the folder outlasts the process,
 * and a machine that is lost loses the folder as well.
 */
public final class Journal implements Store, AutoCloseable {
    private static final String FILE = "journal";
    private static final String NEXT_FILE = "journal.next";
    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MOST_RECORD_BYTES = 1 << 17;
    /** Share of the disk for one file: with the one that takes its place, four fifths are used at most. */
    private static final double FILE_SHARE = 0.4;
    /** Share of a file that messages may fill: the rest is for how they fare, which must always find room. */
    private static final double TAKE_SHARE = 0.6;
    /** Room that is reckoned for how a message fares, and its notice: attempts are few and short. */
    private static final int FATE_BYTES = 256;
    private static final int RECORDS = 3;

    private static final byte TAKEN = 1;
    private static final byte BEGUN = 2;
    private static final byte SETTLED = 3;
    private static final byte OWED = 4;
    private static final byte OVER = 5;

    private final Path folder;
    private final long fileBytes;
    private final Map<String, Held> live = new LinkedHashMap<>();
    private final Scratch scratch = new Scratch();
    private final DataOutputStream out = new DataOutputStream(scratch);
    /** Records that are not written yet. */
    private final ByteBuffer pending = ByteBuffer.allocateDirect(MOST_RECORD_BYTES + HEAD_BYTES);
    private FileChannel file;
    private long size;
    private long liveBytes;
    /** A record could not be written: the file lacks it until what is known here is written anew. */
    private boolean behind;

    private Journal(final Path folder, final long diskBytes) {
        this.folder = folder;
        this.fileBytes = (long) (FILE_SHARE * diskBytes);
    }

    /** Opens the journal of a folder, or begins it, and reads what the courier still owes. */
    public static Journal open(final Path folder, final long diskBytes) throws IOException {
        final Journal journal = new Journal(folder, diskBytes);
        Files.createDirectories(folder);
        // A kill in the middle of a compaction leaves this; the old file is still the whole truth.
        Files.deleteIfExists(folder.resolve(NEXT_FILE));
        journal.file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        journal.load();
        return journal;
    }

    /** Makes the journal of a folder anew, with these messages as they stand; what was there before is gone. */
    public static void write(final Path folder, final long diskBytes, final Collection<Held> messages)
            throws IOException {
        Files.createDirectories(folder);
        final Journal journal = new Journal(folder, diskBytes);
        messages.forEach(held -> journal.live.put(held.id(), held));
        journal.file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        journal.compact();
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
    public boolean take(final Held held) {
        final long bytes = bytes(held);
        if (live.containsKey(held.id()) || liveBytes + bytes > TAKE_SHARE * fileBytes || !append(TAKEN, held.id(), taken(held))) {
            return false;
        }
        live.put(held.id(), held);
        liveBytes += bytes;
        return true;
    }

    @Override
    public boolean begin(final Held held, final long wallUs, final String zone) {
        if (!append(BEGUN, held.id(), out -> {
            out.writeLong(wallUs);
            out.writeUTF(zone);
        })) {
            return false;
        }
        held.begin(wallUs, zone);
        return true;
    }

    @Override
    public void settle(final Held held, final boolean neverRan) {
        held.settle(neverRan);
        append(SETTLED, held.id(), out -> out.writeBoolean(neverRan));
    }

    @Override
    public void owe(final Held held, final Held.Notice notice) {
        final boolean counted = live.containsKey(held.id());
        final long before = bytes(held);
        held.owe(notice);
        liveBytes -= counted ? before - bytes(held) : 0;
        append(OWED, held.id(), owed(held));
    }

    @Override
    public void over(final Held held) {
        if (live.remove(held.id()) != null) {
            liveBytes -= bytes(held);
            append(OVER, held.id(), out -> { });
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        file.close();
    }

    /** Closes it, if it can be with nothing in its file but what is owed: who reads it next is waited for. */
    public void closeTrimmed() throws IOException {
        try {
            if (flush()) {
                compact();
            }
        } catch (final IOException e) {
            Log.info("journal: not trimmed, and whole all the same: " + e.getMessage());
        }
        file.close();
    }

    private static long bytes(final Held held) {
        final int keyChars = held.idempotencyKey() == null ? 0 : held.idempotencyKey().length();
        // Two bytes a character at most, for what a header may hold; each of a message's records names its id.
        return held.body().length + 2L * (RECORDS * held.id().length() + keyChars + held.className().length()) + FATE_BYTES;
    }

    // ---------------------------------------------------------------- writing

    /** Writes the rest of a record. */
    private interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    /** Bytes that are written again and again to the same place in memory. */
    private static final class Scratch extends ByteArrayOutputStream {
        private byte[] bytes() {
            return buf;
        }
    }

    /** Makes a record: its head goes in front once its content is known. */
    private void encode(final byte type, final String id, final Content content) {
        scratch.reset();
        try {
            out.writeByte(type);
            out.writeUTF(id);
            content.write(out);
        } catch (final IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /** Adds the record that was made last to what is to be written. */
    private void put(final ByteBuffer to) {
        final CRC32C crc = new CRC32C();
        crc.update(scratch.bytes(), 0, scratch.size());
        to.putInt(scratch.size()).putInt((int) crc.getValue()).put(scratch.bytes(), 0, scratch.size());
    }

    /** A message with all that became of it, so that one record is enough after a compaction. */
    private static Content taken(final Held held) {
        return out -> {
            out.writeUTF(held.className());
            out.writeBoolean(held.idempotencyKey() != null);
            out.writeUTF(held.idempotencyKey() == null ? "" : held.idempotencyKey());
            out.writeLong(held.destination());
            out.writeLong(held.validUntilWallUs());
            out.writeInt(held.body().length);
            out.write(held.body());
            out.writeInt(held.attempts() - (held.isOut() ? 1 : 0));
            out.writeLong(held.firstRunWallUs());
            out.writeUTF(held.runZone());
        };
    }

    private static Content owed(final Held held) {
        return out -> {
            out.writeBoolean(held.notice().failed());
            out.writeLong(held.notice().againMs());
        };
    }

    private boolean append(final byte type, final String id, final Content content) {
        encode(type, id, content);
        final int bytes = HEAD_BYTES + scratch.size();
        try {
            if (behind || size + pending.position() + bytes > fileBytes) {
                compact();
                encode(type, id, content);
            }
            if (bytes > pending.remaining()) {
                writePending();
            }
            put(pending);
            return true;
        } catch (final IOException e) {
            fallBehind(e);
            return false;
        }
    }

    @Override
    public boolean flush() {
        try {
            if (behind) {
                compact();
            }
            writePending();
            return true;
        } catch (final IOException e) {
            fallBehind(e);
            return false;
        }
    }

    private void fallBehind(final IOException cause) {
        if (!behind) {
            Log.info("journal: cannot write: " + cause.getMessage());
        }
        behind = true;
        pending.clear();
    }

    private void writePending() throws IOException {
        final int bytes = pending.position();
        if (bytes > 0) {
            write(file, pending.flip(), size);
            size += bytes;
            pending.clear();
        }
    }

    private static void write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            position += to.write(record, position);
        }
    }

    /** Writes what is owed to a new file and puts it in the place of the old one in one step. */
    private void compact() throws IOException {
        final Path next = folder.resolve(NEXT_FILE);
        final FileChannel fresh = FileChannel.open(next, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long written = 0;
        // What was still to be written is part of what is owed, or of no use any more.
        pending.clear();
        try {
            for (final Held held : live.values()) {
                written = copy(fresh, TAKEN, held.id(), taken(held), written);
                if (held.isOut()) {
                    written = copy(fresh, BEGUN, held.id(), out -> {
                        out.writeLong(held.outWallUs());
                        out.writeUTF(held.outZone());
                    }, written);
                }
                if (held.notice() != null) {
                    written = copy(fresh, OWED, held.id(), owed(held), written);
                }
            }
            written = drain(fresh, written);
            Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            fresh.close();
            throw e;
        }
        file.close();
        file = fresh;
        size = written;
        behind = false;
    }

    private long copy(final FileChannel to, final byte type, final String id, final Content content, final long at)
            throws IOException {
        encode(type, id, content);
        final long from = HEAD_BYTES + scratch.size() > pending.remaining() ? drain(to, at) : at;
        put(pending);
        return from;
    }

    private long drain(final FileChannel to, final long at) throws IOException {
        final int bytes = pending.position();
        write(to, pending.flip(), at);
        pending.clear();
        return at + bytes;
    }

    // ---------------------------------------------------------------- reading

    private void load() throws IOException {
        final ByteBuffer all = ByteBuffer.allocate((int) file.size());
        while (all.hasRemaining() && file.read(all) >= 0) {
            continue;
        }
        all.flip();
        while (all.remaining() >= HEAD_BYTES) {
            final int length = all.getInt(all.position());
            final int start = all.position() + HEAD_BYTES;
            if (length <= 0 || length > MOST_RECORD_BYTES || length > all.limit() - start) {
                break;
            }
            final CRC32C crc = new CRC32C();
            crc.update(all.array(), start, length);
            if ((int) crc.getValue() != all.getInt(all.position() + Integer.BYTES)) {
                break;
            }
            apply(new DataInputStream(new ByteArrayInputStream(all.array(), start, length)));
            all.position(start + length);
        }
        size = all.position();
        // A kill in the middle of a write leaves half a record; nothing was answered or sent on its strength.
        if (size < file.size()) {
            Log.info("journal: cut " + (file.size() - size) + " bytes of a torn tail at " + size);
            file.truncate(size);
        }
        liveBytes = live.values().stream().mapToLong(Journal::bytes).sum();
    }

    private void apply(final DataInputStream in) throws IOException {
        final byte type = in.readByte();
        final String id = in.readUTF();
        final Held held = live.get(id);
        if (type == TAKEN) {
            final String className = in.readUTF();
            final boolean keyed = in.readBoolean();
            final String key = in.readUTF();
            final long destination = in.readLong();
            final long validUntilWallUs = in.readLong();
            final byte[] body = in.readNBytes(in.readInt());
            final Held taken = new Held(id, className, keyed ? key : null, destination, validUntilWallUs, body);
            taken.restore(in.readInt(), in.readLong(), in.readUTF());
            live.put(id, taken);
        } else if (held != null) {
            switch (type) {
                case BEGUN -> held.begin(in.readLong(), in.readUTF());
                case SETTLED -> held.settle(in.readBoolean());
                case OWED -> held.owe(new Held.Notice(in.readBoolean(), in.readLong()));
                case OVER -> live.remove(id);
                default -> Log.info("journal: unknown record " + type);
            }
        }
    }
}

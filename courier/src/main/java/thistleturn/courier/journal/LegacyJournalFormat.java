package thistleturn.courier.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.zip.CRC32C;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;

/**
 * The journal as versions up to 0.2 wrote it: single records, each preceded by its length and its
 * CRC32C, with timestamps of the wall clock. It is read once, by the first process of a newer
 * version in that folder.
 */
final class LegacyJournalFormat {
  private static final int RECORD_HEADER_BYTES = 2 * Integer.BYTES;
  private static final int MAX_RECORD_BYTES = 1 << 17;

  private LegacyJournalFormat() {}

  /**
   * Reads the messages in such a file, up to a record that a kill cut off at the end; reads nothing
   * if there is no file.
   */
  static void read(final Path file, final Map<String, StoredMessage> messages, final Clock clock)
      throws IOException {
    if (Files.notExists(file)) {
      return;
    }
    final ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
    final long wallClockToMonotonicUs = clock.nowUs() - clock.wallClockUs();
    final RecordReader reader =
        new RecordReader(messages, wallClockUs -> wallClockUs + wallClockToMonotonicUs);
    while (all.remaining() >= RECORD_HEADER_BYTES) {
      final int length = all.getInt();
      final int checksum = all.getInt();
      final boolean complete =
          length > 0 && length <= MAX_RECORD_BYTES && length <= all.remaining();
      if (!complete || checksum(all, length) != checksum) {
        return;
      }
      reader.applyRecord(
          new DataInputStream(new ByteArrayInputStream(all.array(), all.position(), length)));
      all.position(all.position() + length);
    }
  }

  private static int checksum(final ByteBuffer all, final int length) {
    final CRC32C crc = new CRC32C();
    crc.update(all.slice(all.position(), length));
    return (int) crc.getValue();
  }
}

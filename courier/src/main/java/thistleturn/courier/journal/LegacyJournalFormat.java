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
 * The journal as versions up to 0.2 wrote it: single records, each with length and CRC32C ahead,
 * and moments of the wall clock. It is read once, by the first process of a newer version in that
 * folder.
 */
final class LegacyJournalFormat {
  private static final int RECORD_HEADER_BYTES = 2 * Integer.BYTES;
  private static final int MAX_RECORD_BYTES = 1 << 17;

  private LegacyJournalFormat() {}

  /**
   * Reads what such a file holds, up to what a kill cut off at its end; nothing if there is no
   * file.
   */
  static void read(final Path file, final Map<String, StoredMessage> live, final Clock clock)
      throws IOException {
    if (Files.notExists(file)) {
      return;
    }
    final ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
    final long behindUs = clock.nowUs() - clock.wallClockUs();
    while (all.remaining() >= RECORD_HEADER_BYTES) {
      final int length = all.getInt();
      final int checksum = all.getInt();
      if (length <= 0 || length > MAX_RECORD_BYTES || length > all.remaining()) {
        return;
      }
      final CRC32C crc = new CRC32C();
      crc.update(all.array(), all.position(), length);
      if ((int) crc.getValue() != checksum) {
        return;
      }
      JournalRecords.apply(
          new DataInputStream(new ByteArrayInputStream(all.array(), all.position(), length)),
          live,
          wallUs -> wallUs + behindUs);
      all.position(all.position() + length);
    }
  }
}

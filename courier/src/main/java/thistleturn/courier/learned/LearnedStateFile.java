package thistleturn.courier.learned;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import thistleturn.courier.handover.HandoverCodec;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.LearnedStateSource;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.LearnedState;

/**
 * What the decisions had learnt, on disk, for the process that starts after this one has died. A
 * file of lines: a head (version, classes, the monotonic clock), what {@link HandoverCodec} says of
 * endpoints and memory, and a checksum of all before it. It is put in place by a rename, so that it
 * is whole or the one before; a torn, old or foreign one is not used. Nothing of any rule hangs on
 * it: losing it costs what a new courier costs.
 */
public final class LearnedStateFile {
  /**
   * Bytes at most: some two thousand endpoints, and a twentieth of the disk, since it is written
   * beside the one before.
   */
  private static final int MAX_FILE_BYTES = 1 << 20;

  private static final int DISK_DIVISOR = 20;
  private static final String TRAILER_PREFIX = "{\"t\":\"end\",\"crc\":";

  private final Path file;
  private final String classes;
  private final long maxBytes;

  /**
   * Where it is kept, how large the disk is, and the names of the classes in their order: what was
   * learnt of others means nothing.
   */
  public LearnedStateFile(
      final Path folder, final int shard, final List<String> classes, final long diskBytes) {
    this.maxBytes = Math.min(MAX_FILE_BYTES, diskBytes / DISK_DIVISOR);
    this.file = folder.resolve(shard == 0 ? "learnt" : "learnt-" + shard);
    this.classes = String.join(" ", classes);
  }

  /**
   * What was learnt, and when that was.
   *
   * @param snapshot its moments are those of the monotonic clock
   * @param capturedUs when it was put down, us
   */
  public record StoredState(HandoverSnapshot snapshot, long capturedUs)
      implements LearnedStateSource {
    @Override
    public List<HandoverSnapshot.NumberedEndpoint> endpoints() {
      return snapshot.endpoints();
    }

    /** Its process has died: what it had learnt is as old as that. */
    @Override
    public LearnedState learnedState(final Map<Long, Long> numbers, final Clock clock) {
      return snapshot.learnedState(numbers, clock).aged(capturedUs, clock.nowUs());
    }
  }

  /** The bytes of a file that tells what was learnt by now; null if it would be too large. */
  byte[] encode(final HandoverSnapshot learnt, final long nowUs) {
    final StringBuilder text =
        new StringBuilder(
                Json.toText(
                    JsonNodeFactory.instance
                        .objectNode()
                        .put("t", "learnt")
                        .put("version", LearnedState.VERSION)
                        .put("classes", classes)
                        .put("taken", nowUs)))
            .append('\n');
    HandoverCodec.encodeSnapshot(learnt).forEach(line -> text.append(line).append('\n'));
    final byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
    if (body.length > maxBytes) {
      return null;
    }
    return text.append(TRAILER_PREFIX)
        .append(checksum(body, body.length))
        .append("}\n")
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  long maxBytes() {
    return maxBytes;
  }

  /** Puts a file in the place of the one before. */
  void replace(final byte[] bytes) throws IOException {
    final Path fresh = file.resolveSibling(file.getFileName() + ".new");
    Files.write(fresh, bytes);
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /**
   * What the process before had learnt, if that can be trusted now; else null, with a line in the
   * log unless there is none.
   */
  public StoredState read(final long nowUs) {
    try {
      if (Files.size(file) > maxBytes + TRAILER_PREFIX.length() + Long.SIZE) {
        throw new IOException("more than " + maxBytes + " bytes");
      }
      return parse(Files.readAllBytes(file), nowUs);
    } catch (final NoSuchFileException e) {
      return null;
    } catch (final IOException | RuntimeException e) {
      Log.info(file + " is not used: " + e.getMessage());
      return null;
    }
  }

  private StoredState parse(final byte[] bytes, final long nowUs) throws IOException {
    final String text = new String(bytes, StandardCharsets.UTF_8);
    final int last = text.lastIndexOf(TRAILER_PREFIX);
    final int bodyBytes =
        last < 0 ? 0 : text.substring(0, last).getBytes(StandardCharsets.UTF_8).length;
    if (last < 0
        || !text.substring(last).equals(TRAILER_PREFIX + checksum(bytes, bodyBytes) + "}\n")) {
      throw new IOException("torn, or changed since it was written");
    }
    final List<String> lines = new ArrayList<>(text.substring(0, last).lines().toList());
    final JsonNode head = Json.read(lines.remove(0));
    if (head.path("version").asInt() != LearnedState.VERSION
        || !head.path("classes").asText().equals(classes)) {
      throw new IOException("written by another version, or for other classes");
    }
    final long takenUs = head.path("taken").asLong();
    final long ageUs = nowUs - takenUs;
    if (ageUs < 0 || ageUs > LearnedState.MAX_AGE_US) {
      throw new IOException(
          ageUs < 0
              ? "the machine was started anew since it was written"
              : "it is " + ageUs / 1_000_000 + " s old");
    }
    return new StoredState(HandoverCodec.decodeSnapshot(lines), takenUs);
  }

  private static long checksum(final byte[] bytes, final int length) {
    final CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return crc.getValue();
  }
}

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
 * The learned state of one shard on disk, for the process that starts after this one has ended.
 *
 * <p>The file consists of lines: a header (version, classes, monotonic time), the lines of a
 * {@linkplain HandoverCodec snapshot}, and a trailer with a checksum of all bytes before it. It is
 * replaced by a rename, so a reader finds either the new file or the previous one. A file that is
 * truncated, corrupt, expired, or of another version or configuration is ignored. No delivery
 * guarantee depends on it: a courier that loses it learns again from its calls.
 */
public final class LearnedStateFile {
  private static final String FILE_NAME = "learnt";

  /** Enough for about 2,000 endpoints. */
  private static final int MAX_FILE_BYTES = 1 << 20;

  /**
   * The file may take one part in 20 of the disk budget: little, since its replacement is written
   * beside it.
   */
  private static final int DISK_DIVISOR = 20;

  private static final String HEADER_TYPE = "learnt";
  private static final String TRAILER_PREFIX = "{\"t\":\"end\",\"crc\":";
  private static final String TRAILER_SUFFIX = "}\n";
  private static final long US_PER_S = 1_000_000;

  private final Path file;
  private final String classNames;
  private final long maxBytes;

  /**
   * Describes the file of a shard.
   *
   * @param stateFolder the folder that outlasts the process
   * @param shard the index of the shard
   * @param classNames the names of the message classes, in order: state that was learned with other
   *     classes cannot be used
   * @param diskBudgetBytes the part of the disk that this shard may use
   */
  public LearnedStateFile(
      final Path stateFolder,
      final int shard,
      final List<String> classNames,
      final long diskBudgetBytes) {
    this.maxBytes = Math.min(MAX_FILE_BYTES, diskBudgetBytes / DISK_DIVISOR);
    this.file = stateFolder.resolve(shard == 0 ? FILE_NAME : FILE_NAME + "-" + shard);
    this.classNames = String.join(" ", classNames);
  }

  /**
   * What was read from a file.
   *
   * @param snapshot its timestamps are those of the monotonic clock
   * @param capturedUs when it was captured
   */
  public record StoredState(HandoverSnapshot snapshot, long capturedUs)
      implements LearnedStateSource {
    @Override
    public List<HandoverSnapshot.NumberedEndpoint> endpoints() {
      return snapshot.endpoints();
    }

    /** {@inheritDoc} Its process has ended, so the state is as old as the file. */
    @Override
    public LearnedState learnedState(final Map<Long, Long> endpointNumbers, final Clock clock) {
      return snapshot.learnedState(endpointNumbers, clock).aged(capturedUs, clock.nowUs());
    }
  }

  /** Returns the bytes of a file with this snapshot, or null if they exceed the limit. */
  byte[] encode(final HandoverSnapshot snapshot, final long capturedUs) {
    final StringBuilder text = new StringBuilder(header(capturedUs)).append('\n');
    HandoverCodec.encodeSnapshot(snapshot).forEach(line -> text.append(line).append('\n'));
    final byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
    if (body.length > maxBytes) {
      return null;
    }
    text.append(trailer(body, body.length));
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private String header(final long capturedUs) {
    return Json.toText(
        JsonNodeFactory.instance
            .objectNode()
            .put("t", HEADER_TYPE)
            .put("version", LearnedState.VERSION)
            .put("classes", classNames)
            .put("taken", capturedUs));
  }

  private static String trailer(final byte[] bytes, final int bodyLength) {
    return TRAILER_PREFIX + checksum(bytes, bodyLength) + TRAILER_SUFFIX;
  }

  /** Returns the largest size of the file without its trailer, in bytes. */
  long maxBytes() {
    return maxBytes;
  }

  /** Replaces the file. */
  void replace(final byte[] bytes) throws IOException {
    final Path replacement = file.resolveSibling(file.getFileName() + ".new");
    Files.write(replacement, bytes);
    Files.move(
        replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /**
   * Reads what the previous process had learned.
   *
   * @return the state, or null if there is no file or it is not valid now; the latter is logged
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
    final List<String> lines = new ArrayList<>(checkedBody(bytes).lines().toList());
    final JsonNode header = Json.read(lines.remove(0));
    if (header.path("version").asInt() != LearnedState.VERSION
        || !header.path("classes").asText().equals(classNames)) {
      throw new IOException("written by another version, or for other classes");
    }
    final long capturedUs = header.path("taken").asLong();
    checkAge(nowUs - capturedUs);
    return new StoredState(HandoverCodec.decodeSnapshot(lines), capturedUs);
  }

  /** Returns the text before the trailer, whose checksum must match. */
  private static String checkedBody(final byte[] bytes) throws IOException {
    final String text = new String(bytes, StandardCharsets.UTF_8);
    final int trailerStart = text.lastIndexOf(TRAILER_PREFIX);
    if (trailerStart >= 0) {
      final String body = text.substring(0, trailerStart);
      final int bodyLength = body.getBytes(StandardCharsets.UTF_8).length;
      if (text.substring(trailerStart).equals(trailer(bytes, bodyLength))) {
        return body;
      }
    }
    throw new IOException("truncated, or changed since it was written");
  }

  private static void checkAge(final long ageUs) throws IOException {
    if (ageUs < 0) {
      throw new IOException("the machine was restarted since it was written");
    }
    if (ageUs > LearnedState.MAX_AGE_US) {
      throw new IOException("it is " + ageUs / US_PER_S + " s old");
    }
  }

  private static long checksum(final byte[] bytes, final int length) {
    final CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return crc.getValue();
  }
}

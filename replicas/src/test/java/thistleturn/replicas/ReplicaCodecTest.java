package thistleturn.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.ReplicationProtocol;
import thistleturn.decisions.replicas.WriterId;

/**
 * Messages are read back as they were written, with entries dated by their age. Malformed messages
 * are errors; unknown message types are ignored, and unknown fields are skipped or kept.
 */
@Tag("replicas")
final class ReplicaCodecTest {
  private static final long NOW = 5_000_000;
  private static final WriterId WRITER =
      new WriterId("n".repeat(WriterId.MAX_NAME_LENGTH), Long.MAX_VALUE);
  private static final WriterId OTHER = new WriterId("b", 2);

  private final ReplicaCodec codec = new ReplicaCodec();

  private static Entry entry(final int typeCode, final Object... fields) {
    return new Entry(typeCode, "e1", WRITER, 7, 1_000_000, NOW - 250_000, List.of(fields));
  }

  private static List<ReplicationMessage> everyMessage() {
    final List<Delta> deltas =
        List.of(
            new Delta(
                WRITER,
                3,
                9,
                List.of(
                    entry(EntryType.OUTAGE.code(), true),
                    entry(EntryType.MAINTENANCE.code(), false, "operator at n1", "b", 2L, 8L),
                    entry(EntryType.LIMIT.code(), 4.25),
                    entry(99, "of a later version", -3L, 1.5, false))),
            new Delta(OTHER, 0, 0, List.of()));
    return List.of(
        new ReplicationMessage.EntryBroadcast(deltas),
        new ReplicationMessage.Checksum(Long.MIN_VALUE, 12),
        new ReplicationMessage.DeltaBatch(1, 3, deltas, true),
        new ReplicationMessage.Digest(2, 5, Map.of(WRITER, 4L, OTHER, Long.MAX_VALUE), true));
  }

  @Test
  void writtenMessages_areReadBackEqual() throws IOException {
    for (final ReplicationMessage message : everyMessage()) {
      assertEquals(message, codec.read(codec.write(message, NOW), NOW));
    }
  }

  @Test
  void entries_areSentWithTheirAge() throws IOException {
    final ReplicationMessage.EntryBroadcast read =
        (ReplicationMessage.EntryBroadcast)
            codec.read(codec.write(everyMessage().get(0), NOW), 77_000_000);
    assertEquals(77_000_000 - 250_000, read.deltas().get(0).entries().get(0).createdUs());
  }

  @Test
  void fullDeltaMessage_fitsOneDatagram() {
    final List<Delta> deltas = new ArrayList<>();
    int bytes = 0;
    for (long version = 1; bytes < ReplicationProtocol.MAX_DATAGRAM_BYTES - 200; version++) {
      final Delta delta =
          new Delta(
              WRITER,
              version - 1,
              version,
              List.of(
                  new Entry(
                      EntryType.WAIT.code(),
                      "123456789012345678",
                      WRITER,
                      version,
                      EntryType.WAIT.maxTtlUs(),
                      0,
                      List.of())));
      deltas.add(delta);
      bytes += delta.estimatedBytes();
    }
    final int written =
        codec.write(new ReplicationMessage.EntryBroadcast(deltas), Long.MAX_VALUE / 2).length;
    assertTrue(written <= bytes + 40, written + " bytes, estimated as " + bytes);
  }

  @Test
  void damagedMessage_isErrorOrAnotherValidMessage() {
    final Random random = new Random(7);
    int errors = 0;
    for (int round = 0; round < 20_000; round++) {
      final byte[] payload = codec.write(everyMessage().get(round % 4), NOW);
      final int damage = random.nextInt(3);
      byte[] damaged = payload.clone();
      if (damage == 0) {
        damaged = Arrays.copyOf(payload, random.nextInt(payload.length));
      } else if (damage == 1) {
        damaged[random.nextInt(payload.length)] = (byte) random.nextInt(256);
      } else {
        damaged = new byte[random.nextInt(200)];
        random.nextBytes(damaged);
      }
      try {
        codec.read(damaged, NOW);
      } catch (final IOException | IllegalArgumentException e) {
        errors++;
      }
    }
    assertTrue(errors > 10_000, "errors: " + errors);
  }

  @Test
  void unknownMessageTypeOrTrailingFields_areSkipped() throws IOException {
    assertNull(codec.read(array(9, 77, "whatever"), NOW));
    assertEquals(
        new ReplicationMessage.Checksum(5, 6), codec.read(array(2, 2, 5, 6, "new", 7), NOW));
    assertThrows(
        IOException.class, () -> codec.read(array(0, 2, 5, 6), NOW), "a version below the minimum");
  }

  private static byte[] array(final Object... values) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (CBORGenerator out = new CBORFactory().createGenerator(bytes)) {
      out.writeStartArray();
      for (final Object value : values) {
        if (value instanceof Integer number) {
          out.writeNumber(number);
        } else {
          out.writeString((String) value);
        }
      }
      out.writeEndArray();
    }
    return bytes.toByteArray();
  }
}

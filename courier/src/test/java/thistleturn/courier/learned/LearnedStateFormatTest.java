package thistleturn.courier.learned;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.EndpointState;

/**
 * Pins the exact text of the file in which a courier keeps its learned state: the next version of
 * the courier reads it.
 */
final class LearnedStateFormatTest {
  private static final long CAPTURED_US = 5_000_000_000L;
  private static final long DISK_BYTES = 3 << 20;
  private static final List<String> CLASSES = List.of("safe", "once");
  private static final String TEXT =
      """
      {"t":"learnt","version":3,"classes":"safe once","taken":5000000000}
      {"t":"endpoint","number":4,"name":"e-1","condition":"LISTED","host":"127.0.0.1",\
      "port":9001,"zone":"a","weight":2.5,"kind":"std","dest":57}
      {"t":"classes","trust":1.0E7,"mean":["1000.0","2000.0"],"samples":[7,8]}
      {"t":"lane","endpoint":4,"figures":["3.0","Infinity"],"moments":[1,2]}
      {"t":"node","endpoint":4,"figures":["0.5"],"moments":[9223372036854775807]}
      {"t":"yours"}
      {"t":"end","crc":2335449110}
      """;

  @TempDir private Path folder;

  private LearnedStateFile file(final int shard) {
    return new LearnedStateFile(folder, shard, CLASSES, DISK_BYTES);
  }

  private static HandoverSnapshot learnedSnapshot() {
    final EndpointDirectory.Entry entry =
        new EndpointDirectory.Entry(
            "e-1",
            EndpointState.LISTED,
            new InetSocketAddress("127.0.0.1", 9001),
            "a",
            2.5,
            "std",
            57);
    return new HandoverSnapshot(
        List.of(new HandoverSnapshot.NumberedEndpoint(4, entry)),
        new LearnedState(
            new double[] {1000, 2000},
            new int[] {7, 8},
            1e7,
            List.of(
                new LearnedState.LearnedRoute(
                    4, new double[] {3, Double.POSITIVE_INFINITY}, new long[] {1, 2})),
            List.of(
                new LearnedState.LearnedEndpoint(
                    4, new double[] {0.5}, new long[] {Long.MAX_VALUE}))),
        List.of());
  }

  @Test
  void learnedState_isWrittenAsPinnedText() {
    assertEquals(
        TEXT, new String(file(0).encode(learnedSnapshot(), CAPTURED_US), StandardCharsets.UTF_8));
  }

  @Test
  void fileWithPinnedText_isReadBack() throws IOException {
    Files.writeString(folder.resolve("learnt"), TEXT);
    final LearnedStateFile.StoredState found = file(0).read(CAPTURED_US + 1);
    assertNotNull(found);
    assertEquals(CAPTURED_US, found.capturedUs());
    assertEquals(learnedSnapshot().endpoints(), found.snapshot().endpoints());
    final LearnedState state = found.snapshot().learnedState();
    assertArrayEquals(new double[] {1000, 2000}, state.classMeanUs());
    assertArrayEquals(new int[] {7, 8}, state.classSamples());
    assertArrayEquals(new double[] {3, Double.POSITIVE_INFINITY}, state.routes().get(0).figures());
    assertArrayEquals(new long[] {Long.MAX_VALUE}, state.endpoints().get(0).moments());
  }

  @Test
  void filesOfShards_havePinnedNames() throws IOException {
    file(0).replace(new byte[] {1});
    file(2).replace(new byte[] {1});
    assertTrue(Files.exists(folder.resolve("learnt")));
    assertTrue(Files.exists(folder.resolve("learnt-2")));
  }
}

package thistleturn.courier.learned;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.EndpointState;

/**
 * A file that is truncated, corrupt, expired, of another configuration, or from before a reboot is
 * ignored.
 */
@Tag("noise")
final class LearnedStateFileTest {
  private static final long CAPTURED_US = 5_000_000_000L;
  private static final long SECOND = 1_000_000;
  private static final long DISK_BYTES = 3 << 20;
  private static final List<String> CLASSES = List.of("safe", "once");

  @TempDir private Path folder;
  private LearnedStateFile file;

  private static HandoverSnapshot learnedSnapshot() {
    return new HandoverSnapshot(
        List.of(
            new HandoverSnapshot.NumberedEndpoint(
                4,
                new EndpointDirectory.Entry(
                    "s-1",
                    EndpointState.LISTED,
                    new InetSocketAddress("127.0.0.1", 9001),
                    "a",
                    2.5,
                    "std",
                    57))),
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

  @BeforeEach
  void write() throws IOException {
    file = new LearnedStateFile(folder, 0, CLASSES, DISK_BYTES);
    file.replace(file.encode(learnedSnapshot(), CAPTURED_US));
  }

  private LearnedStateFile.StoredState readAfter(final long us) {
    return file.read(CAPTURED_US + us);
  }

  @Test
  void writtenState_isReadBack() {
    final LearnedStateFile.StoredState found = readAfter(SECOND);
    assertEquals(CAPTURED_US, found.capturedUs());
    assertEquals(learnedSnapshot().endpoints(), found.snapshot().endpoints());
    final LearnedState.LearnedRoute route = found.snapshot().learnedState().routes().get(0);
    assertEquals(
        "[3.0, Infinity] [1, 2]",
        Arrays.toString(route.figures()) + " " + Arrays.toString(route.moments()));
  }

  @Test
  void truncatedOrCorruptedFile_isIgnored() throws IOException {
    final Path path = folder.resolve("learnt");
    final byte[] complete = Files.readAllBytes(path);
    for (int length = 0; length < complete.length; length++) {
      Files.write(path, Arrays.copyOf(complete, length));
      assertNull(readAfter(SECOND), "cut to " + length);
    }
    for (int at = 0; at < complete.length; at++) {
      final byte[] flipped = complete.clone();
      flipped[at] ^= 4;
      Files.write(path, flipped);
      assertNull(readAfter(SECOND), "flipped at " + at);
    }
    Files.write(path, complete);
    assertNotNull(readAfter(SECOND));
  }

  @Test
  void expiredFile_isIgnored() {
    assertNotNull(readAfter(LearnedState.MAX_AGE_US));
    assertNull(readAfter(LearnedState.MAX_AGE_US + 1));
    assertNull(readAfter(3600 * SECOND));
  }

  @Test
  void fileFromBeforeReboot_isIgnored() {
    assertNull(file.read(CAPTURED_US - 1));
    assertNull(file.read(SECOND));
  }

  @Test
  void fileForOtherClassesOrShard_isIgnored() {
    assertNull(
        new LearnedStateFile(folder, 0, List.of("once", "safe"), DISK_BYTES).read(CAPTURED_US));
    assertNull(
        new LearnedStateFile(folder, 1, CLASSES, DISK_BYTES).read(CAPTURED_US), "another shard's");
  }

  @Test
  void oversizedState_isNeitherWrittenNorRead() throws IOException {
    final LearnedState.LearnedEndpoint endpoint =
        new LearnedState.LearnedEndpoint(4, new double[100], new long[100]);
    final LearnedState large =
        new LearnedState(
            new double[2], new int[2], 1, List.of(), Collections.nCopies(2000, endpoint));
    assertNull(file.encode(new HandoverSnapshot(List.of(), large, List.of()), CAPTURED_US));
    Files.write(folder.resolve("learnt"), new byte[4 << 20]);
    assertNull(readAfter(SECOND));
  }
}

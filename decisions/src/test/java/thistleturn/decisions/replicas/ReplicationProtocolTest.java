package thistleturn.decisions.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** One courier's part: what it says when, and how it takes what it cannot trust. */
@Tag("replicas")
final class ReplicationProtocolTest {
  private static final long SECOND_US = 1_000_000;
  private static final long START_US = 1000 * SECOND_US;
  private static final WriterId SELF = new WriterId("n0", 5);
  private static final WriterId OTHER = new WriterId("n1", 3);
  private static final ReplicationSettings SETTINGS = ReplicationSettings.defaults();

  private record SentMessage(String to, ReplicationMessage message) {}

  private final List<SentMessage> sent = new ArrayList<>();
  private final List<String> changed = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final ReplicationProtocol replicas =
      new ReplicationProtocol(
          SETTINGS,
          SELF,
          1,
          START_US,
          new ReplicationActions() {
            @Override
            public void send(final String to, final ReplicationMessage message) {
              sent.add(new SentMessage(to, message));
            }

            @Override
            public void sendOverConnection(final String to, final ReplicationMessage message) {
              sent.add(new SentMessage(to, message));
            }

            @Override
            public void onSubjectChanged(final EntryType kind, final String subject) {
              changed.add(kind + " " + subject);
            }

            @Override
            public void onEvent(final String text) {
              events.add(text);
            }
          });
  private long nowUs = START_US;

  private void advance(final long us) {
    for (final long untilUs = nowUs + us; nowUs < untilUs; ) {
      nowUs += SETTINGS.tickIntervalUs();
      replicas.tick(nowUs);
    }
  }

  private static Entry disableEntry(
      final WriterId writer, final long version, final boolean out, final long madeUs) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        "e1",
        writer,
        version,
        0,
        madeUs,
        new DisableEntry(out, "o", Map.of()).toFields());
  }

  private void receive(final Entry entry) {
    replicas.onMessage(
        "n1",
        new ReplicationMessage.EntryBroadcast(
            List.of(
                new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry)))),
        nowUs);
  }

  @Test
  void ownEntry_isVisibleAndBroadcastImmediately() {
    replicas.setReachablePeers(List.of("n1", "n2"));
    replicas.setEndpointDisabled("e1", true, "o", nowUs);
    assertEquals(List.of("MAINTENANCE e1"), changed);
    assertEquals("left out", replicas.mergedValue(EntryType.MAINTENANCE, "e1").state());
    advance(2 * SETTINGS.tickIntervalUs());
    for (final String to : List.of("n1", "n2")) {
      assertEquals(
          2,
          sent.stream()
              .filter(
                  one ->
                      one.to().equals(to)
                          && one.message() instanceof ReplicationMessage.EntryBroadcast)
              .count(),
          "twice, for one may be lost");
    }
    advance(2 * SECOND_US);
    assertEquals(
        4,
        sent.stream()
            .filter(one -> one.message() instanceof ReplicationMessage.EntryBroadcast)
            .count(),
        "and no more");
    assertTrue(
        sent.stream().anyMatch(one -> one.message() instanceof ReplicationMessage.Checksum),
        "what is lost is found by comparing");
  }

  @Test
  void informedOperator_supersedesEarlierEntry() {
    receive(disableEntry(OTHER, 1, true, nowUs));
    replicas.setEndpointDisabled("e1", false, "o", nowUs);
    assertEquals("may serve", replicas.mergedValue(EntryType.MAINTENANCE, "e1").state());
    assertFalse(replicas.mergedValue(EntryType.MAINTENANCE, "e1").conflict());
    receive(disableEntry(OTHER, 1, true, nowUs));
    assertEquals(
        "may serve",
        replicas.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "told again, it is still the older one");
    receive(disableEntry(OTHER, 2, true, nowUs));
    assertEquals("left out", replicas.mergedValue(EntryType.MAINTENANCE, "e1").state());
    assertTrue(
        replicas.mergedValue(EntryType.MAINTENANCE, "e1").conflict(),
        "that one did not know of this one");
  }

  @Test
  void shorterWait_writesNoEntry() {
    replicas.recordWait("7", nowUs + 5 * SECOND_US, nowUs);
    replicas.recordWait("7", nowUs + 4 * SECOND_US, nowUs);
    replicas.recordWait("7", nowUs - 1, nowUs);
    assertEquals(1, replicas.entries(EntryType.WAIT, "7").get(0).version());
    replicas.recordWait("7", nowUs + 6 * SECOND_US, nowUs);
    assertEquals(2, replicas.entries(EntryType.WAIT, "7").get(0).version());
    replicas.recordWait("8", Long.MAX_VALUE, nowUs);
    assertEquals(
        nowUs + EntryType.WAIT.maxTtlUs(),
        replicas.mergedValue(EntryType.WAIT, "8").untilUs(),
        "a wait of centuries is an hour");
    advance(7 * SECOND_US);
    assertEquals("nothing", replicas.mergedValue(EntryType.WAIT, "7").state());
  }

  @Test
  void equalStores_exchangeOnlyChecksums() {
    replicas.setReachablePeers(List.of("n1"));
    advance(10 * SECOND_US);
    assertTrue(sent.stream().allMatch(one -> one.message() instanceof ReplicationMessage.Checksum));
    assertTrue(sent.size() <= 60, "marks in 10 s: " + sent.size());
    replicas.onMessage("n1", new ReplicationMessage.Checksum(replicas.checksum(), 0), nowUs);
    assertTrue(replicas.isCaughtUp());
  }

  @Test
  void digestFlood_isAnsweredWithinByteRate() {
    for (int number = 1; number <= 20_000; number++) {
      replicas.recordRateLimit(String.valueOf(number), 5, nowUs);
    }
    advance(SECOND_US);
    sent.clear();
    final long fromUs = nowUs;
    for (int turn = 0; turn < 2000; turn++) {
      replicas.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(), false), nowUs);
    }
    advance(SECOND_US);
    for (int turn = 0; turn < 2000; turn++) {
      replicas.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(), false), nowUs);
    }
    final long bytes =
        sent.stream()
            .filter(one -> one.message() instanceof ReplicationMessage.DeltaBatch)
            .mapToLong(one -> one.message().estimatedBytes())
            .sum();
    final double seconds = 1 + (nowUs - fromUs) / (double) SECOND_US;
    assertTrue(
        bytes
            <= seconds * SETTINGS.batchBytesPerSecond() + 2.0 * ReplicationProtocol.MAX_BATCH_BYTES,
        bytes + " bytes in " + seconds + " s");
    assertTrue(
        sent.stream()
            .allMatch(
                one ->
                    one.message().estimatedBytes() <= ReplicationProtocol.MAX_BATCH_BYTES + 1000));
  }

  @Test
  void longSeparation_adoptsStateOfOthers() {
    replicas.restore(
        List.of(
            new Delta(
                OTHER,
                0,
                1,
                List.of(
                    disableEntry(
                        OTHER, 1, true, nowUs - SETTINGS.maxSeparationUs() - 10 * SECOND_US)))),
        nowUs - SETTINGS.maxSeparationUs() - SECOND_US,
        nowUs);
    assertEquals(
        "left out",
        replicas.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "as long as nobody says otherwise");
    replicas.setEndpointDisabled("e2", true, "o", nowUs);
    replicas.onMessage("n1", new ReplicationMessage.Checksum(0, 0), nowUs);
    assertEquals(
        "nothing",
        replicas.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "others have forgotten why that was taken back");
    assertEquals(
        "left out",
        replicas.mergedValue(EntryType.MAINTENANCE, "e2").state(),
        "what was said here meanwhile stands");
    assertNotEquals(SELF, replicas.self());
    assertEquals(1, events.size());
  }

  @Test
  void foreignWritesUnderOwnName_startNewStore() {
    replicas.recordWait("7", nowUs + SECOND_US, nowUs);
    replicas.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(SELF, 9L), false), nowUs);
    assertNotEquals(SELF, replicas.self());
    assertEquals(1, events.size(), events::toString);
  }

  @Test
  void invalidDigests_areCounted() {
    final long before = replicas.rejectedInputs();
    replicas.onMessage("n1", new ReplicationMessage.Digest(3, 2, Map.of(), true), nowUs);
    replicas.onMessage("n1", new ReplicationMessage.Digest(0, 1 << 30, Map.of(), true), nowUs);
    replicas.onMessage("n1", new ReplicationMessage.Digest(-1, 4, Map.of(), true), nowUs);
    assertEquals(before + 3, replicas.rejectedInputs());
    assertEquals(List.of(), sent);
  }
}

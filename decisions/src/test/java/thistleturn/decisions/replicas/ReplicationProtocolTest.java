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

/**
 * The protocol at one courier: which messages it sends when, and how it handles invalid, excessive
 * or contradicting input.
 */
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
  private final ReplicationProtocol protocol =
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
            public void onSubjectChanged(final EntryType type, final String subject) {
              changed.add(type + " " + subject);
            }

            @Override
            public void onEvent(final String message) {
              events.add(message);
            }
          });
  private long nowUs = START_US;

  private void advance(final long us) {
    for (final long untilUs = nowUs + us; nowUs < untilUs; ) {
      nowUs += SETTINGS.tickIntervalUs();
      protocol.tick(nowUs);
    }
  }

  private static Entry disableEntry(
      final WriterId writer, final long version, final boolean disabled, final long createdUs) {
    return new Entry(
        EntryType.MAINTENANCE.code(),
        "e1",
        writer,
        version,
        0,
        createdUs,
        new DisableEntry(disabled, "o", Map.of()).toFields());
  }

  private void receive(final Entry entry) {
    protocol.onMessage(
        "n1", new ReplicationMessage.EntryBroadcast(List.of(Delta.single(entry))), nowUs);
  }

  @Test
  void ownEntry_isVisibleAndBroadcastImmediately() {
    protocol.setReachablePeers(List.of("n1", "n2"));
    protocol.setEndpointDisabled("e1", true, "o", nowUs);
    assertEquals(List.of("MAINTENANCE e1"), changed);
    assertEquals("left out", protocol.mergedValue(EntryType.MAINTENANCE, "e1").state());
    advance(2 * SETTINGS.tickIntervalUs());
    for (final String to : List.of("n1", "n2")) {
      assertEquals(
          2,
          sent.stream()
              .filter(
                  sentMessage ->
                      sentMessage.to().equals(to)
                          && sentMessage.message() instanceof ReplicationMessage.EntryBroadcast)
              .count(),
          "sent twice, since one may be lost");
    }
    advance(2 * SECOND_US);
    assertEquals(
        4,
        sent.stream()
            .filter(
                sentMessage -> sentMessage.message() instanceof ReplicationMessage.EntryBroadcast)
            .count(),
        "sent no more often");
    assertTrue(
        sent.stream()
            .anyMatch(sentMessage -> sentMessage.message() instanceof ReplicationMessage.Checksum),
        "lost entries are detected by comparing checksums");
  }

  @Test
  void decisionMadeWithKnowledgeOfAnother_supersedesIt() {
    receive(disableEntry(OTHER, 1, true, nowUs));
    protocol.setEndpointDisabled("e1", false, "o", nowUs);
    assertEquals("may serve", protocol.mergedValue(EntryType.MAINTENANCE, "e1").state());
    assertFalse(protocol.mergedValue(EntryType.MAINTENANCE, "e1").conflict());
    receive(disableEntry(OTHER, 1, true, nowUs));
    assertEquals(
        "may serve",
        protocol.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "an entry received again is still superseded");
    receive(disableEntry(OTHER, 2, true, nowUs));
    assertEquals("left out", protocol.mergedValue(EntryType.MAINTENANCE, "e1").state());
    assertTrue(
        protocol.mergedValue(EntryType.MAINTENANCE, "e1").conflict(),
        "neither decision knew of the other");
  }

  @Test
  void shorterWait_writesNoEntry() {
    protocol.recordWait("7", nowUs + 5 * SECOND_US, nowUs);
    protocol.recordWait("7", nowUs + 4 * SECOND_US, nowUs);
    protocol.recordWait("7", nowUs - 1, nowUs);
    assertEquals(1, protocol.entries(EntryType.WAIT, "7").get(0).version());
    protocol.recordWait("7", nowUs + 6 * SECOND_US, nowUs);
    assertEquals(2, protocol.entries(EntryType.WAIT, "7").get(0).version());
    protocol.recordWait("8", Long.MAX_VALUE, nowUs);
    assertEquals(
        nowUs + EntryType.WAIT.maxTtlUs(),
        protocol.mergedValue(EntryType.WAIT, "8").untilUs(),
        "waits are limited to an hour");
    advance(7 * SECOND_US);
    assertEquals("nothing", protocol.mergedValue(EntryType.WAIT, "7").state());
  }

  @Test
  void equalStores_exchangeOnlyChecksums() {
    protocol.setReachablePeers(List.of("n1"));
    advance(10 * SECOND_US);
    assertTrue(
        sent.stream()
            .allMatch(sentMessage -> sentMessage.message() instanceof ReplicationMessage.Checksum));
    assertTrue(sent.size() <= 60, "checksums in 10 s: " + sent.size());
    protocol.onMessage("n1", new ReplicationMessage.Checksum(protocol.checksum(), 0), nowUs);
    assertTrue(protocol.isCaughtUp());
  }

  @Test
  void digestFlood_isAnsweredWithinByteRate() {
    for (int number = 1; number <= 20_000; number++) {
      protocol.recordRateLimit(String.valueOf(number), 5, nowUs);
    }
    advance(SECOND_US);
    sent.clear();
    final long fromUs = nowUs;
    for (int round = 0; round < 2000; round++) {
      protocol.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(), false), nowUs);
    }
    advance(SECOND_US);
    for (int round = 0; round < 2000; round++) {
      protocol.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(), false), nowUs);
    }
    final long bytes =
        sent.stream()
            .filter(sentMessage -> sentMessage.message() instanceof ReplicationMessage.DeltaBatch)
            .mapToLong(sentMessage -> sentMessage.message().estimatedBytes())
            .sum();
    final double seconds = 1 + (nowUs - fromUs) / (double) SECOND_US;
    assertTrue(
        bytes
            <= seconds * SETTINGS.batchBytesPerSecond() + 2.0 * ReplicationProtocol.MAX_BATCH_BYTES,
        bytes + " bytes in " + seconds + " s");
    assertTrue(
        sent.stream()
            .allMatch(
                sentMessage ->
                    sentMessage.message().estimatedBytes()
                        <= ReplicationProtocol.MAX_BATCH_BYTES + 1000));
  }

  @Test
  void longSeparation_adoptsStateOfOthers() {
    protocol.restore(
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
        protocol.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "until a message of another courier arrives");
    protocol.setEndpointDisabled("e2", true, "o", nowUs);
    protocol.onMessage("n1", new ReplicationMessage.Checksum(0, 0), nowUs);
    assertEquals(
        "nothing",
        protocol.mergedValue(EntryType.MAINTENANCE, "e1").state(),
        "others may have dropped the entry that superseded it");
    assertEquals(
        "left out",
        protocol.mergedValue(EntryType.MAINTENANCE, "e2").state(),
        "a decision made here during the separation is kept");
    assertNotEquals(SELF, protocol.self());
    assertEquals(1, events.size());
  }

  @Test
  void foreignWritesUnderOwnName_startNewStore() {
    protocol.recordWait("7", nowUs + SECOND_US, nowUs);
    protocol.onMessage("n1", new ReplicationMessage.Digest(0, 1, Map.of(SELF, 9L), false), nowUs);
    assertNotEquals(SELF, protocol.self());
    assertEquals(1, events.size(), events::toString);
  }

  @Test
  void invalidDigests_areCounted() {
    final long before = protocol.rejectedInputs();
    protocol.onMessage("n1", new ReplicationMessage.Digest(3, 2, Map.of(), true), nowUs);
    protocol.onMessage("n1", new ReplicationMessage.Digest(0, 1 << 30, Map.of(), true), nowUs);
    protocol.onMessage("n1", new ReplicationMessage.Digest(-1, 4, Map.of(), true), nowUs);
    assertEquals(before + 3, protocol.rejectedInputs());
    assertEquals(List.of(), sent);
  }
}

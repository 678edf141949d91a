package thistleturn.lab.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.WriterId;

/**
 * Mutation tests of the checks: the check of random scenarios detects each fault planted in the
 * messages or the incarnations of replicas.
 */
@Tag("replicas")
final class PlantedReplicasFaultsTest {
  private static final int SCENARIOS = 40;

  /** The faults to plant. */
  enum PlantedFault {
    /** Disable entries do not name the entries that they supersede. */
    NOTHING_SUPERSEDED,
    /** Disable entries claim to supersede all entries of all writers. */
    ALL_SUPERSEDED,
    /** Deltas claim to start at version 0, which hides gaps. */
    GAP_IGNORED,
    /** Batches lack their last entry but claim to be complete. */
    LAST_ENTRY_LOST,
    /** Checksums are never compared. */
    NEVER_COMPARED,
    /** Batches are never delivered. */
    NEVER_SERVED,
    /** A restarted courier reuses its incarnation and versions. */
    INCARNATION_REUSED,
    /** Broadcast versions are one too high. */
    VERSION_SHIFTED,
    /** The flag of broadcast disable entries is inverted. */
    FLAG_INVERTED,
    /** Broadcast entries name another writer. */
    WRITER_REPLACED
  }

  private static ReplicationMessage changeDeltas(
      final ReplicationMessage message, final UnaryOperator<Delta> change) {
    if (message instanceof ReplicationMessage.EntryBroadcast broadcast) {
      return new ReplicationMessage.EntryBroadcast(
          broadcast.deltas().stream().map(change).toList());
    }
    return message instanceof ReplicationMessage.DeltaBatch batch
        ? new ReplicationMessage.DeltaBatch(
            batch.partition(),
            batch.partitionCount(),
            batch.deltas().stream().map(change).toList(),
            batch.hasMore())
        : message;
  }

  private static Delta changeEntries(final Delta delta, final UnaryOperator<Entry> change) {
    return new Delta(
        delta.writer(),
        delta.afterVersion(),
        delta.upToVersion(),
        delta.entries().stream().map(change).toList());
  }

  private static Entry changeFields(final Entry entry, final UnaryOperator<List<Object>> change) {
    return entry.typeCode() != EntryType.MAINTENANCE.code()
        ? entry
        : new Entry(
            entry.typeCode(),
            entry.subject(),
            entry.writer(),
            entry.version(),
            entry.ttlUs(),
            entry.createdUs(),
            change.apply(entry.fields()));
  }

  private static ReplicationMessage applyFault(
      final PlantedFault fault, final ReplicationMessage message) {
    return switch (fault) {
      case NOTHING_SUPERSEDED ->
          changeDeltas(
              message,
              delta ->
                  changeEntries(
                      delta, entry -> changeFields(entry, all -> List.copyOf(all.subList(0, 2)))));
      case ALL_SUPERSEDED ->
          changeDeltas(
              message,
              delta ->
                  changeEntries(
                      delta,
                      entry ->
                          changeFields(
                              entry,
                              all -> {
                                final List<Object> more = new ArrayList<>(all);
                                for (int place = 4; place < more.size(); place += 3) {
                                  more.set(place, Long.MAX_VALUE / 4);
                                }
                                return List.copyOf(more);
                              })));
      case GAP_IGNORED ->
          changeDeltas(
              message, delta -> new Delta(delta.writer(), 0, delta.upToVersion(), delta.entries()));
      case LAST_ENTRY_LOST ->
          message instanceof ReplicationMessage.DeltaBatch
              ? changeDeltas(
                  message,
                  delta ->
                      new Delta(
                          delta.writer(),
                          delta.afterVersion(),
                          delta.upToVersion(),
                          delta.entries().isEmpty()
                              ? delta.entries()
                              : delta.entries().subList(0, delta.entries().size() - 1)))
              : message;
      case NEVER_COMPARED ->
          message instanceof ReplicationMessage.Checksum
              ? new ReplicationMessage.EntryBroadcast(List.of())
              : message;
      case NEVER_SERVED ->
          message instanceof ReplicationMessage.DeltaBatch
              ? new ReplicationMessage.EntryBroadcast(List.of())
              : message;
      case INCARNATION_REUSED -> message;
      case VERSION_SHIFTED ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changeDeltas(
                  message,
                  delta ->
                      changeEntries(
                          delta,
                          entry ->
                              new Entry(
                                  entry.typeCode(),
                                  entry.subject(),
                                  entry.writer(),
                                  entry.version() + 1,
                                  entry.ttlUs(),
                                  entry.createdUs(),
                                  entry.fields())))
              : message;
      case FLAG_INVERTED ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changeDeltas(
                  message,
                  delta ->
                      changeEntries(
                          delta,
                          entry ->
                              changeFields(
                                  entry,
                                  all -> {
                                    final List<Object> inverted = new ArrayList<>(all);
                                    inverted.set(0, !(Boolean) all.get(0));
                                    return List.copyOf(inverted);
                                  })))
              : message;
      case WRITER_REPLACED ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changeDeltas(
                  message,
                  delta -> {
                    final WriterId other = new WriterId(delta.writer().name(), 1);
                    return new Delta(
                        other,
                        delta.afterVersion(),
                        delta.upToVersion(),
                        delta.entries().stream()
                            .map(
                                entry ->
                                    new Entry(
                                        entry.typeCode(),
                                        entry.subject(),
                                        other,
                                        entry.version(),
                                        entry.ttlUs(),
                                        entry.createdUs(),
                                        entry.fields()))
                            .toList());
                  })
              : message;
    };
  }

  @ParameterizedTest
  @EnumSource(PlantedFault.class)
  void plantedFault_isDetected(final PlantedFault fault) {
    int detected = 0;
    for (long seed = 1; seed <= SCENARIOS && detected == 0; seed++) {
      final ReplicationScenario scenario =
          ReplicationScenario.random(seed, 3 + (int) (seed % 5), 0.1);
      scenario.world().transformingMessages(message -> applyFault(fault, message));
      if (fault == PlantedFault.INCARNATION_REUSED) {
        scenario.world().reusingIncarnations();
      }
      detected += scenario.play().isEmpty() ? 0 : 1;
    }
    assertTrue(detected > 0, "not detected in " + SCENARIOS + " scenarios: " + fault);
  }

  @Test
  void withoutPlantedFault_noViolation() {
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      assertEquals(
          "", ReplicationScenario.random(seed, 3 + (int) (seed % 5), 0.1).play(), "seed " + seed);
    }
  }
}

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
 * Faults that are planted in what copies say and keep: the judge of random days finds each of them.
 */
@Tag("replicas")
final class PlantedReplicasFaultsTest {
  private static final int DAYS = 40;

  /** What is done wrongly. */
  enum Planted {
    /** Words do not say which words they take the place of. */
    NOTHING_SEEN,
    /** They claim to take the place of everything of everybody. */
    ALL_SEEN,
    /** A gap is passed over as if nothing were lacking. */
    GAP_CLAIMED,
    /** Pieces are told without their last entry, as if they were whole. */
    LAST_ENTRY_LOST,
    /** Nothing is ever compared. */
    NEVER_COMPARED,
    /** Pieces are never told. */
    NEVER_SERVED,
    /** A life that starts again writes on under versions that were used. */
    BIRTH_KEPT,
    /** Versions are told one too high. */
    VERSION_SHIFTED,
    /** What leaves out is told as what lets serve. */
    FLAG_TURNED,
    /** Words of one writer are told as those of another. */
    WRITER_MIXED_UP
  }

  private static ReplicationMessage changed(
      final ReplicationMessage message, final UnaryOperator<Delta> how) {
    if (message instanceof ReplicationMessage.EntryBroadcast news) {
      return new ReplicationMessage.EntryBroadcast(news.deltas().stream().map(how).toList());
    }
    return message instanceof ReplicationMessage.DeltaBatch piece
        ? new ReplicationMessage.DeltaBatch(
            piece.partition(),
            piece.partitionCount(),
            piece.deltas().stream().map(how).toList(),
            piece.hasMore())
        : message;
  }

  private static Delta entries(final Delta delta, final UnaryOperator<Entry> how) {
    return new Delta(
        delta.writer(),
        delta.afterVersion(),
        delta.upToVersion(),
        delta.entries().stream().map(how).toList());
  }

  private static Entry fields(final Entry entry, final UnaryOperator<List<Object>> how) {
    return entry.typeCode() != EntryType.MAINTENANCE.code()
        ? entry
        : new Entry(
            entry.typeCode(),
            entry.subject(),
            entry.writer(),
            entry.version(),
            entry.ttlUs(),
            entry.createdUs(),
            how.apply(entry.fields()));
  }

  private static ReplicationMessage plant(final Planted planted, final ReplicationMessage message) {
    return switch (planted) {
      case NOTHING_SEEN ->
          changed(
              message,
              delta ->
                  entries(delta, entry -> fields(entry, all -> List.copyOf(all.subList(0, 2)))));
      case ALL_SEEN ->
          changed(
              message,
              delta ->
                  entries(
                      delta,
                      entry ->
                          fields(
                              entry,
                              all -> {
                                final List<Object> more = new ArrayList<>(all);
                                for (int place = 4; place < more.size(); place += 3) {
                                  more.set(place, Long.MAX_VALUE / 4);
                                }
                                return List.copyOf(more);
                              })));
      case GAP_CLAIMED ->
          changed(
              message, delta -> new Delta(delta.writer(), 0, delta.upToVersion(), delta.entries()));
      case LAST_ENTRY_LOST ->
          message instanceof ReplicationMessage.DeltaBatch
              ? changed(
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
      case BIRTH_KEPT -> message;
      case VERSION_SHIFTED ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changed(
                  message,
                  delta ->
                      entries(
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
      case FLAG_TURNED ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changed(
                  message,
                  delta ->
                      entries(
                          delta,
                          entry ->
                              fields(
                                  entry,
                                  all -> {
                                    final List<Object> turned = new ArrayList<>(all);
                                    turned.set(0, !(Boolean) all.get(0));
                                    return List.copyOf(turned);
                                  })))
              : message;
      case WRITER_MIXED_UP ->
          message instanceof ReplicationMessage.EntryBroadcast
              ? changed(
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
  @EnumSource(Planted.class)
  void eachIsFound(final Planted planted) {
    int found = 0;
    for (long seed = 1; seed <= DAYS && found == 0; seed++) {
      final ReplicasDay day = ReplicasDay.random(seed, 3 + (int) (seed % 5), 0.1);
      day.world().saying(message -> plant(planted, message));
      if (planted == Planted.BIRTH_KEPT) {
        day.world().keepingBirths();
      }
      found += day.play().isEmpty() ? 0 : 1;
    }
    assertTrue(found > 0, "not found on " + DAYS + " days: " + planted);
  }

  @Test
  void withoutAnyNothingIsFound() {
    for (long seed = 1; seed <= DAYS; seed++) {
      assertEquals("", ReplicasDay.random(seed, 3 + (int) (seed % 5), 0.1).play(), "seed " + seed);
    }
  }
}

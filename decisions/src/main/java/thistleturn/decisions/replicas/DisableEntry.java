package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An operator's decision to disable an endpoint, or to enable it. It states which decisions on the
 * same endpoint were known where it was made: it supersedes these, and no others. So "later" means
 * "knowing of", whatever any clock shows; of two decisions that did not know of each other, both
 * stand.
 *
 * @param disabled true: the endpoint is disabled; false: it may serve again
 * @param operator who decided, and where
 * @param supersededVersions the decisions that it supersedes: the highest version of each writer
 */
public record DisableEntry(
    boolean disabled, String operator, Map<WriterId, Long> supersededVersions) {
  private static final int DISABLED_FIELD = 0;
  private static final int OPERATOR_FIELD = 1;
  private static final int FIRST_SUPERSEDED_FIELD = 2;
  private static final int FIELDS_PER_SUPERSEDED = 3;

  /** Writers of whom a decision can supersede entries; each endpoint has few. */
  public static final int MAX_SUPERSEDED =
      (Entry.MAX_FIELDS - FIRST_SUPERSEDED_FIELD) / FIELDS_PER_SUPERSEDED;

  /**
   * Returns a decision that supersedes all these, and all that these superseded: a courier that
   * still holds one of the latter may never hear of the former. Where that is too many, those of
   * the oldest stores are left out.
   */
  static DisableEntry superseding(
      final Collection<Entry> entries,
      final WriterId self,
      final boolean disabled,
      final String operator) {
    final Map<WriterId, Long> superseded = new TreeMap<>();
    for (final Entry entry : entries) {
      fromEntry(entry)
          .supersededVersions
          .forEach((writer, version) -> superseded.merge(writer, version, Math::max));
      superseded.merge(entry.writer(), entry.version(), Math::max);
    }
    superseded.remove(self);
    while (superseded.size() > MAX_SUPERSEDED) {
      superseded.remove(
          superseded.keySet().stream()
              .min(Comparator.comparingLong(WriterId::epoch))
              .orElseThrow());
    }
    return new DisableEntry(disabled, operator, superseded);
  }

  /** Returns the decision that an entry states; null if it cannot be one. */
  static DisableEntry fromEntry(final Entry entry) {
    final List<Object> fields = entry.fields();
    if (fields.size() < FIRST_SUPERSEDED_FIELD || !(fields.get(OPERATOR_FIELD) instanceof String)) {
      return null;
    }
    final Map<WriterId, Long> superseded = new TreeMap<>();
    for (int first = FIRST_SUPERSEDED_FIELD;
        hasSupersededAt(fields, first);
        first += FIELDS_PER_SUPERSEDED) {
      final WriterId writer = new WriterId(entry.textField(first), entry.longField(first + 1));
      superseded.put(writer, entry.longField(first + 2));
    }
    return new DisableEntry(
        entry.booleanField(DISABLED_FIELD), entry.textField(OPERATOR_FIELD), superseded);
  }

  /** A later version may have something else from some field on. */
  private static boolean hasSupersededAt(final List<Object> fields, final int first) {
    return first + FIELDS_PER_SUPERSEDED <= fields.size()
        && fields.get(first) instanceof String
        && fields.get(first + 1) instanceof Long
        && fields.get(first + 2) instanceof Long;
  }

  /** Returns the fields of an entry that states this. */
  List<Object> toFields() {
    final List<Object> fields = new ArrayList<>(List.of(disabled, operator));
    supersededVersions.forEach(
        (writer, version) -> fields.addAll(List.of(writer.name(), writer.epoch(), version)));
    return List.copyOf(fields);
  }

  /** Returns true if this decision supersedes that entry. */
  boolean supersedes(final Entry entry) {
    return supersededVersions.getOrDefault(entry.writer(), 0L) >= entry.version();
  }
}

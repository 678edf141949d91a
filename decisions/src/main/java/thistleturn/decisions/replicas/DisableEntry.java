package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An operator's decision to disable or enable an endpoint. It lists the decisions on the same
 * endpoint that were known where it was made, and supersedes exactly these. The order of decisions
 * is thus causal and does not depend on clocks; two decisions made without knowledge of each other
 * are both in force.
 *
 * @param disabled true: the endpoint is disabled; false: it may serve again
 * @param operator who made the decision, and at which courier
 * @param supersededVersions the superseded decisions, as the highest version of each writer
 */
public record DisableEntry(
    boolean disabled, String operator, Map<WriterId, Long> supersededVersions) {
  private static final int DISABLED_FIELD = 0;
  private static final int OPERATOR_FIELD = 1;
  private static final int FIRST_SUPERSEDED_FIELD = 2;
  private static final int FIELDS_PER_SUPERSEDED = 3;

  /** Maximum number of writers whose entries a decision can supersede; each endpoint has few. */
  public static final int MAX_SUPERSEDED =
      (Entry.MAX_FIELDS - FIRST_SUPERSEDED_FIELD) / FIELDS_PER_SUPERSEDED;

  /**
   * Returns a decision that supersedes the given entries and all that these superseded, since a
   * courier that still stores one of the latter may never receive the former. If there are too
   * many, those with the oldest epochs are omitted.
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

  /** Returns the decision in an entry; null if its fields are not those of a decision. */
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

  /** Returns true if a superseded version follows; a later version may append other fields. */
  private static boolean hasSupersededAt(final List<Object> fields, final int first) {
    return first + FIELDS_PER_SUPERSEDED <= fields.size()
        && fields.get(first) instanceof String
        && fields.get(first + 1) instanceof Long
        && fields.get(first + 2) instanceof Long;
  }

  /** Returns the fields of an entry with this decision. */
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

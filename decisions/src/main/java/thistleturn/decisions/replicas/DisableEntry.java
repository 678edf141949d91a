package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An operator's word on an endpoint. It says which words on the same endpoint were known where it
 * was given: it takes the place of these, and of no others. So "later" means "knowing of", whatever
 * any clock shows; of two words that did not know of each other both stand.
 *
 * @param disabled true: the endpoint is left out; false: it may serve again
 * @param operator who gave it, and where
 * @param supersededVersions the words that it takes the place of: the highest version of each
 *     writer
 */
public record DisableEntry(
    boolean disabled, String operator, Map<WriterId, Long> supersededVersions) {
  private static final int FIRST_SUPERSEDED_FIELD = 2;
  private static final int FIELDS_PER_SUPERSEDED = 3;

  /** Writers' words that one can take the place of; each endpoint has few. */
  public static final int MAX_SUPERSEDED =
      (Entry.MAX_FIELDS - FIRST_SUPERSEDED_FIELD) / FIELDS_PER_SUPERSEDED;

  /**
   * A word that takes the place of all these, and of all those of which these took the place:
   * whoever still holds one of the latter may never hear of the former. Where that is too many,
   * those of the stores that began first are left out.
   */
  static DisableEntry superseding(
      final Collection<Entry> words,
      final WriterId self,
      final boolean out,
      final String operator) {
    final Map<WriterId, Long> seen = new TreeMap<>();
    for (final Entry word : words) {
      fromEntry(word)
          .supersededVersions
          .forEach((writer, version) -> seen.merge(writer, version, Math::max));
      seen.merge(word.writer(), word.version(), Math::max);
    }
    seen.remove(self);
    while (seen.size() > MAX_SUPERSEDED) {
      seen.remove(
          seen.keySet().stream().min(Comparator.comparingLong(WriterId::epoch)).orElseThrow());
    }
    return new DisableEntry(out, operator, seen);
  }

  /** Reads an entry; null, if it cannot be meant. */
  static DisableEntry fromEntry(final Entry entry) {
    final List<Object> fields = entry.fields();
    if (fields.size() < FIRST_SUPERSEDED_FIELD || !(fields.get(1) instanceof String)) {
      return null;
    }
    final Map<WriterId, Long> seen = new TreeMap<>();
    for (int place = FIRST_SUPERSEDED_FIELD;
        place + FIELDS_PER_SUPERSEDED <= fields.size();
        place += FIELDS_PER_SUPERSEDED) {
      if (!(fields.get(place) instanceof String)
          || !(fields.get(place + 1) instanceof Long)
          || !(fields.get(place + 2) instanceof Long)) {
        // Of a later version, which has something else here.
        break;
      }
      seen.put(
          new WriterId(entry.textField(place), entry.longField(place + 1)),
          entry.longField(place + 2));
    }
    return new DisableEntry(entry.booleanField(0), entry.textField(1), seen);
  }

  /** The fields of an entry that says so. */
  List<Object> toFields() {
    final List<Object> fields = new ArrayList<>(List.of(disabled, operator));
    supersededVersions.forEach(
        (writer, version) -> fields.addAll(List.of(writer.name(), writer.epoch(), version)));
    return List.copyOf(fields);
  }

  /** True if it takes the place of that word. */
  boolean supersedes(final Entry word) {
    return supersededVersions.getOrDefault(word.writer(), 0L) >= word.version();
  }
}

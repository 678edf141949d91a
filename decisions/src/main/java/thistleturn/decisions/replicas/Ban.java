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
 * @param out true: the endpoint is left out; false: it may serve again
 * @param operator who gave it, and where
 * @param seen the words that it takes the place of: the highest version of each writer
 */
public record Ban(boolean out, String operator, Map<Writer, Long> seen) {
  private static final int FIRST_SEEN = 2;
  private static final int SEEN_FIELDS = 3;

  /** Writers' words that one can take the place of; each endpoint has few. */
  public static final int MOST_SEEN = (Entry.MOST_FIELDS - FIRST_SEEN) / SEEN_FIELDS;

  /**
   * A word that takes the place of all these, and of all those of which these took the place:
   * whoever still holds one of the latter may never hear of the former. Where that is too many,
   * those of the stores that began first are left out.
   */
  static Ban after(
      final Collection<Entry> words, final Writer self, final boolean out, final String operator) {
    final Map<Writer, Long> seen = new TreeMap<>();
    for (final Entry word : words) {
      of(word).seen.forEach((writer, version) -> seen.merge(writer, version, Math::max));
      seen.merge(word.writer(), word.version(), Math::max);
    }
    seen.remove(self);
    while (seen.size() > MOST_SEEN) {
      seen.remove(
          seen.keySet().stream().min(Comparator.comparingLong(Writer::birth)).orElseThrow());
    }
    return new Ban(out, operator, seen);
  }

  /** Reads an entry; null, if it cannot be meant. */
  static Ban of(final Entry entry) {
    final List<Object> fields = entry.fields();
    if (fields.size() < FIRST_SEEN || !(fields.get(1) instanceof String)) {
      return null;
    }
    final Map<Writer, Long> seen = new TreeMap<>();
    for (int place = FIRST_SEEN; place + SEEN_FIELDS <= fields.size(); place += SEEN_FIELDS) {
      if (!(fields.get(place) instanceof String)
          || !(fields.get(place + 1) instanceof Long)
          || !(fields.get(place + 2) instanceof Long)) {
        // Of a later version, which has something else here.
        break;
      }
      seen.put(new Writer(entry.text(place), entry.whole(place + 1)), entry.whole(place + 2));
    }
    return new Ban(entry.flag(0), entry.text(1), seen);
  }

  /** The fields of an entry that says so. */
  List<Object> fields() {
    final List<Object> fields = new ArrayList<>(List.of(out, operator));
    seen.forEach(
        (writer, version) -> fields.addAll(List.of(writer.name(), writer.birth(), version)));
    return List.copyOf(fields);
  }

  /** True if it takes the place of that word. */
  boolean covers(final Entry word) {
    return seen.getOrDefault(word.writer(), 0L) >= word.version();
  }
}

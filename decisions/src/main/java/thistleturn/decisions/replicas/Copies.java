package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import thistleturn.decisions.index.TimeHeap;

/**
 * One courier's copy of all entries. Entries of a writer are ordered by version, and a copy knows
 * of each writer up to which version it lacks nothing; so what another lacks is found by one number
 * a writer (Scuttlebutt: van Renesse, Dumitriu, Gough, Thomas, LADIS 2008). Taking over is a
 * maximum by writer and subject: any order and any doubling end in the same.
 */
final class Copies {
  /** An entry's place: one writer has one word on a subject. */
  private record Place(int kind, String subject) {}

  /** An entry where it is held; due when its time is up. */
  private static final class Slot extends TimeHeap.Entry {
    private final Place place;
    private final Entry entry;

    private Slot(final Place place, final Entry entry) {
      this.place = place;
      this.entry = entry;
    }
  }

  /** What is kept of one writer. */
  private static final class Shelf {
    /** Up to here nothing is lacking. */
    private long known;

    /** The latest of those that are held; 0: none is. */
    private final NavigableMap<Long, Slot> entries = new TreeMap<>();

    private long emptyUs = Long.MAX_VALUE;

    private long last() {
      return entries.isEmpty() ? 0 : entries.lastKey();
    }
  }

  private static final int DELTA_BYTES = 30;
  private final ReplicaRules rules;
  private final Map<Place, Map<Writer, Slot>> places = new HashMap<>();
  private final NavigableMap<Writer, Shelf> shelves = new TreeMap<>();
  private TimeHeap<Slot> due = new TimeHeap<>();
  private int size;
  private long sum;
  private long turnedDown;

  Copies(final ReplicaRules rules) {
    this.rules = rules;
  }

  // ---------------------------------------------------------------- what is held

  int size() {
    return size;
  }

  /** Equal where the same entries are held, whenever they are thought to have been made. */
  long sum() {
    return sum;
  }

  /** Entries that were not taken over since they cannot be meant, or there is no room for them. */
  long turnedDown() {
    return turnedDown;
  }

  /** All writers of a part, and up to where each is known. */
  Map<Writer, Long> known(final int part, final int parts) {
    final Map<Writer, Long> known = new TreeMap<>();
    shelves.forEach(
        (writer, shelf) -> {
          if (partOf(writer, parts) == part && shelf.known > 0) {
            known.put(writer, shelf.known);
          }
        });
    return known;
  }

  /** The words on a subject, one a writer. */
  List<Entry> words(final Kind kind, final String subject) {
    return words(new Place(kind.code(), subject));
  }

  private List<Entry> words(final Place place) {
    final Map<Writer, Slot> slots = places.get(place);
    return slots == null ? List.of() : slots.values().stream().map(slot -> slot.entry).toList();
  }

  /** A writer's own word on a subject, or null. */
  Entry word(final Kind kind, final String subject, final Writer writer) {
    final Slot slot = places.getOrDefault(new Place(kind.code(), subject), Map.of()).get(writer);
    return slot == null ? null : slot.entry;
  }

  /** All subjects of a kind on which there is a word. */
  Set<String> subjects(final Kind kind) {
    final Set<String> subjects = new LinkedHashSet<>();
    places
        .keySet()
        .forEach(
            place -> {
              if (place.kind == kind.code()) {
                subjects.add(place.subject);
              }
            });
    return subjects;
  }

  /** All entries, by writer and version. */
  List<Entry> all() {
    final List<Entry> all = new ArrayList<>(size);
    shelves.values().forEach(shelf -> shelf.entries.values().forEach(slot -> all.add(slot.entry)));
    return all;
  }

  /** Some entries after one, by writer and version. */
  List<Entry> slice(final Entry after, final int most) {
    final List<Entry> slice = new ArrayList<>();
    final NavigableMap<Writer, Shelf> from =
        after == null ? shelves : shelves.tailMap(after.writer(), true);
    for (final Map.Entry<Writer, Shelf> one : from.entrySet()) {
      final boolean begun = after != null && one.getKey().equals(after.writer());
      for (final Slot slot :
          (begun ? one.getValue().entries.tailMap(after.version(), false) : one.getValue().entries)
              .values()) {
        if (slice.size() >= most) {
          return slice;
        }
        slice.add(slot.entry);
      }
    }
    return slice;
  }

  static int partOf(final Writer writer, final int parts) {
    return parts <= 1 ? 0 : (int) Math.floorMod(writer.lot(), (long) parts);
  }

  // ---------------------------------------------------------------- taking over

  /** Takes over what somebody tells of a writer; subjects on which something changed are added. */
  void merge(final Delta delta, final long nowUs, final Set<Changed> changed) {
    if (!delta.writer().isUsable()
        || delta.from() < 0
        || delta.to() < delta.from()
        || delta.to() >= Entry.MOST_VERSION) {
      turnedDown++;
      return;
    }
    final Shelf shelf = shelves.computeIfAbsent(delta.writer(), unused -> new Shelf());
    for (final Entry entry : delta.entries()) {
      if (entry.writer().equals(delta.writer()) && entry.isUsable(nowUs)) {
        put(shelf, entry, nowUs, changed);
      } else {
        turnedDown++;
      }
    }
    if (delta.from() <= shelf.known) {
      shelf.known = Math.max(shelf.known, delta.to());
    }
    if (shelf.entries.isEmpty() && shelf.emptyUs == Long.MAX_VALUE) {
      shelf.emptyUs = nowUs;
    }
  }

  private void put(
      final Shelf shelf, final Entry entry, final long nowUs, final Set<Changed> changed) {
    final Place place = new Place(entry.kind(), entry.subject());
    final Slot before = places.getOrDefault(place, Map.of()).get(entry.writer());
    if (before != null && before.entry.version() >= entry.version()) {
      if (before.entry.version() == entry.version() && entry.madeUs() < before.entry.madeUs()) {
        // The same one, which was less long on its way: it ends as much sooner.
        hold(shelf, place, before.entry.madeAt(entry.madeUs()), before);
      }
      return;
    }
    if (entry.endUs() <= nowUs || entry.version() <= shelf.known || isCovered(entry, place)) {
      return;
    }
    if (before == null
        && (size >= rules.mostEntries() || shelf.entries.size() >= rules.mostPerWriter())) {
      turnedDown++;
      return;
    }
    hold(shelf, place, entry, before);
    changed.add(new Changed(entry.kind(), entry.subject()));
    dropCovered(place, entry);
  }

  /** True if a word that is held knew of this one: it can only come from a copy that is behind. */
  private boolean isCovered(final Entry entry, final Place place) {
    if (entry.kind() != Kind.MAINTENANCE.code()) {
      return false;
    }
    for (final Entry other : words(place)) {
      if (!other.writer().equals(entry.writer()) && Ban.of(other).covers(entry)) {
        return true;
      }
    }
    return false;
  }

  private void dropCovered(final Place place, final Entry by) {
    if (by.kind() == Kind.MAINTENANCE.code()) {
      final Ban ban = Ban.of(by);
      for (final Slot other : List.copyOf(places.get(place).values())) {
        if (!other.entry.writer().equals(by.writer()) && ban.covers(other.entry)) {
          drop(other);
        }
      }
    }
  }

  private void hold(final Shelf shelf, final Place place, final Entry entry, final Slot before) {
    if (before != null) {
      drop(before);
    }
    final Slot slot = new Slot(place, entry);
    places.computeIfAbsent(place, unused -> new TreeMap<>()).put(entry.writer(), slot);
    shelf.entries.put(entry.version(), slot);
    shelf.emptyUs = Long.MAX_VALUE;
    size++;
    sum += mark(entry);
    due.schedule(slot, entry.endUs());
  }

  private void drop(final Slot slot) {
    final Map<Writer, Slot> words = places.get(slot.place);
    words.remove(slot.entry.writer());
    if (words.isEmpty()) {
      places.remove(slot.place);
    }
    shelves.get(slot.entry.writer()).entries.remove(slot.entry.version());
    size--;
    sum -= mark(slot.entry);
    due.remove(slot);
  }

  /** What an entry adds to the sum: which one it is, not when it is thought to have been made. */
  private static long mark(final Entry entry) {
    return mix(
        entry.version() + mix(entry.writer().lot() + entry.subject().hashCode() + entry.kind()));
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
  private static long mix(final long value) {
    long bits = (value + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return bits ^ bits >>> 31;
  }

  // ---------------------------------------------------------------- time

  /** Drops entries whose time is up. */
  void expire(final long nowUs, final Set<Changed> changed) {
    for (Slot slot = due.poll(nowUs); slot != null; slot = due.poll(nowUs)) {
      drop(slot);
      changed.add(new Changed(slot.place.kind, slot.place.subject));
    }
  }

  /**
   * Drops words by which an endpoint may serve again that are so old that nobody can still lack
   * them; and empty writers.
   */
  void forget(final long nowUs) {
    for (final String subject : subjects(Kind.MAINTENANCE)) {
      final List<Slot> words =
          List.copyOf(places.get(new Place(Kind.MAINTENANCE.code(), subject)).values());
      if (words.size() == 1
          && !words.get(0).entry.flag(0)
          && nowUs - words.get(0).entry.madeUs() > rules.tombUs()) {
        drop(words.get(0));
      }
    }
    shelves
        .values()
        .forEach(
            shelf -> {
              if (!shelf.entries.isEmpty()) {
                shelf.emptyUs = Long.MAX_VALUE;
              } else if (shelf.emptyUs == Long.MAX_VALUE) {
                shelf.emptyUs = nowUs;
              }
            });
    shelves
        .values()
        .removeIf(shelf -> shelf.entries.isEmpty() && nowUs - shelf.emptyUs > Kind.WAIT.mostUs());
  }

  /** Forgets all; what was told so far can be told again. */
  void clear() {
    places.clear();
    shelves.clear();
    due = new TimeHeap<>();
    size = 0;
    sum = 0;
  }

  // ---------------------------------------------------------------- what others lack

  /**
   * What another lacks of some writers' entries, the earliest first.
   *
   * @param theirs up to where the other knows each writer of that part
   * @param mostBytes about how many bytes that may be; one entry goes in any case
   * @param into gets what is lacking
   * @return true if there is more
   */
  boolean lacking(
      final Map<Writer, Long> theirs,
      final int part,
      final int parts,
      final int mostBytes,
      final long nowUs,
      final List<Delta> into) {
    int bytes = 0;
    for (final Map.Entry<Writer, Shelf> one : shelves.entrySet()) {
      final Writer writer = one.getKey();
      final Shelf shelf = one.getValue();
      final long from = theirs.getOrDefault(writer, 0L);
      if ((shelf.known <= from && shelf.last() <= from) || partOf(writer, parts) != part) {
        continue;
      }
      final List<Entry> entries = new ArrayList<>();
      for (final Slot slot : shelf.entries.tailMap(from, false).values()) {
        if (bytes >= mostBytes) {
          if (!entries.isEmpty()) {
            final long to = Math.min(shelf.known, entries.get(entries.size() - 1).version());
            into.add(new Delta(writer, Math.min(from, to), to, entries));
          }
          return true;
        }
        if (slot.entry.endUs() > nowUs) {
          entries.add(slot.entry);
          bytes += slot.entry.bytes();
        }
      }
      // One behind the gap that a lost writer left is told, too; it says nothing of what is
      // lacking.
      into.add(new Delta(writer, Math.min(from, shelf.known), shelf.known, entries));
      bytes += DELTA_BYTES;
    }
    return false;
  }
}

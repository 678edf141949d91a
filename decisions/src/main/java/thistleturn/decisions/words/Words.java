package thistleturn.decisions.words;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is said of one endpoint or destination, and what of it counts. It never changes: a further
 * word makes another one, so that whoever is spoken of by nobody costs one shared object. Where
 * more than {@link #MOST} speak, those whose words end first are forgotten.
 */
public final class Words {
  /** Nobody says anything. */
  public static final Words NONE = new Words(List.of());

  /** Words kept. */
  public static final int MOST = 64;

  private static final double SECOND_US = 1_000_000;

  private final List<Word> all;

  private Words(final List<Word> all) {
    this.all = all;
  }

  /**
   * The same with one word more: in the place of what its speaker said before of this kind. Words
   * that are over go.
   */
  public Words with(final Word word, final long nowUs) {
    final List<Word> next = new ArrayList<>(all.size() + 1);
    for (final Word one : all) {
      if (one.isInForce(nowUs) && !(one.kind() == word.kind() && one.by().equals(word.by()))) {
        next.add(one);
      }
    }
    if (word.isInForce(nowUs)) {
      next.add(word);
    }
    if (next.size() > MOST) {
      next.remove(next.stream().min(Comparator.comparingLong(Word::untilUs)).orElseThrow());
    }
    return next.isEmpty() ? NONE : new Words(List.copyOf(next));
  }

  /**
   * When the next call may go by these words, the last one having gone at {@code lastUs}; long ago,
   * if they allow it.
   */
  public long openAtUs(final long lastUs, final long atUs) {
    long openUs = Long.MIN_VALUE;
    for (int index = 0; index < all.size(); index++) {
      final Word word = all.get(index);
      if (word.isInForce(atUs)) {
        switch (word.kind()) {
          case EXCLUSION, WAIT -> openUs = Math.max(openUs, word.untilUs());
          case RATE ->
              openUs =
                  Math.max(
                      openUs,
                      Math.min(
                          word.untilUs(), lastUs + (long) Math.ceil(SECOND_US / word.value())));
          default -> {}
        }
      }
    }
    return openUs;
  }

  /** Calls in flight that are allowed; infinite, if nobody bounds them. */
  public double ceiling(final long nowUs) {
    return least(Word.Kind.CEILING, Double.POSITIVE_INFINITY, nowUs);
  }

  /** The part of the calls among endpoints that are alike; 1, if nobody says otherwise. */
  public double weight(final long nowUs) {
    return least(Word.Kind.WEIGHT, 1, nowUs);
  }

  private double least(final Word.Kind kind, final double without, final long nowUs) {
    double least = without;
    for (int index = 0; index < all.size(); index++) {
      final Word word = all.get(index);
      if (word.kind() == kind && word.isInForce(nowUs)) {
        least = Math.min(least, word.value());
      }
    }
    return least;
  }

  /** When the first of these words ends that holds now; never, if none does. */
  public long changesUs(final long nowUs) {
    long nextUs = Long.MAX_VALUE;
    for (int index = 0; index < all.size(); index++) {
      final Word word = all.get(index);
      nextUs = word.isInForce(nowUs) ? Math.min(nextUs, word.untilUs()) : nextUs;
    }
    return nextUs;
  }

  /** Those that hold now, as they were said. */
  public List<Word> inForce(final long nowUs) {
    return all.stream().filter(word -> word.isInForce(nowUs)).toList();
  }
}

package thistleturn.decisions.directives;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is said of one endpoint or destination, and what of it counts. It never changes: a further
 * word makes another one, so that whoever is spoken of by nobody costs one shared object. Where
 * more than {@link #MAX_DIRECTIVES} speak, those whose words end first are forgotten.
 */
public final class Directives {
  /** Nobody says anything. */
  public static final Directives NONE = new Directives(List.of());

  /** Words kept. */
  public static final int MAX_DIRECTIVES = 64;

  private static final double SECOND_US = 1_000_000;

  private final List<Directive> directives;

  private Directives(final List<Directive> all) {
    this.directives = all;
  }

  /**
   * The same with one word more: in the place of what its speaker said before of this kind. Words
   * that are over go.
   */
  public Directives with(final Directive word, final long nowUs) {
    final List<Directive> next = new ArrayList<>(directives.size() + 1);
    for (final Directive one : directives) {
      if (one.isActive(nowUs)
          && !(one.kind() == word.kind() && one.source().equals(word.source()))) {
        next.add(one);
      }
    }
    if (word.isActive(nowUs)) {
      next.add(word);
    }
    if (next.size() > MAX_DIRECTIVES) {
      next.remove(next.stream().min(Comparator.comparingLong(Directive::expiresUs)).orElseThrow());
    }
    return next.isEmpty() ? NONE : new Directives(List.copyOf(next));
  }

  /**
   * When the next call may go by these words, the last one having gone at {@code lastUs}; long ago,
   * if they allow it.
   */
  public long earliestCallUs(final long lastUs, final long atUs) {
    long openUs = Long.MIN_VALUE;
    for (int index = 0; index < directives.size(); index++) {
      final Directive word = directives.get(index);
      if (word.isActive(atUs)) {
        switch (word.kind()) {
          case EXCLUSION, WAIT -> openUs = Math.max(openUs, word.expiresUs());
          case RATE ->
              openUs =
                  Math.max(
                      openUs,
                      Math.min(
                          word.expiresUs(), lastUs + (long) Math.ceil(SECOND_US / word.value())));
          default -> {}
        }
      }
    }
    return openUs;
  }

  /** Calls in flight that are allowed; infinite, if nobody bounds them. */
  public double concurrencyLimit(final long nowUs) {
    return minimum(Directive.Kind.CEILING, Double.POSITIVE_INFINITY, nowUs);
  }

  /** The part of the calls among endpoints that are alike; 1, if nobody says otherwise. */
  public double weight(final long nowUs) {
    return minimum(Directive.Kind.WEIGHT, 1, nowUs);
  }

  private double minimum(final Directive.Kind kind, final double without, final long nowUs) {
    double least = without;
    for (int index = 0; index < directives.size(); index++) {
      final Directive word = directives.get(index);
      if (word.kind() == kind && word.isActive(nowUs)) {
        least = Math.min(least, word.value());
      }
    }
    return least;
  }

  /** When the first of these words ends that holds now; never, if none does. */
  public long nextExpiryUs(final long nowUs) {
    long nextUs = Long.MAX_VALUE;
    for (int index = 0; index < directives.size(); index++) {
      final Directive word = directives.get(index);
      nextUs = word.isActive(nowUs) ? Math.min(nextUs, word.expiresUs()) : nextUs;
    }
    return nextUs;
  }

  /** Those that hold now, as they were said. */
  public List<Directive> active(final long nowUs) {
    return directives.stream().filter(word -> word.isActive(nowUs)).toList();
  }
}

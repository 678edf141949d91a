package thistleturn.decisions.directives;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An immutable set of the directives for one endpoint or destination, and their combined effect.
 * {@link #with} returns another set, so that all endpoints without directives share {@link #NONE}.
 * Beyond {@link #MAX_DIRECTIVES}, the directives that expire first are dropped.
 */
public final class Directives {
  /** No directives. */
  public static final Directives NONE = new Directives(List.of());

  /** Maximum number of directives in a set. */
  public static final int MAX_DIRECTIVES = 64;

  private static final double SECOND_US = 1_000_000;

  private final List<Directive> directives;

  private Directives(final List<Directive> directives) {
    this.directives = directives;
  }

  /** Returns this set with a directive added, without those it replaces and expired ones. */
  public Directives with(final Directive added, final long nowUs) {
    final List<Directive> next = new ArrayList<>(directives.size() + 1);
    for (final Directive directive : directives) {
      if (directive.isActive(nowUs) && !directive.isReplacedBy(added)) {
        next.add(directive);
      }
    }
    if (added.isActive(nowUs)) {
      next.add(added);
    }
    if (next.size() > MAX_DIRECTIVES) {
      next.remove(next.stream().min(Comparator.comparingLong(Directive::expiresUs)).orElseThrow());
    }
    return next.isEmpty() ? NONE : new Directives(List.copyOf(next));
  }

  /**
   * Returns the earliest time at which the next call may be sent if the last one was sent at {@code
   * lastCallUs}; {@link Long#MIN_VALUE} if nothing delays it.
   */
  public long earliestCallUs(final long lastCallUs, final long atUs) {
    long earliestUs = Long.MIN_VALUE;
    // Runs for each call that is considered, so it avoids allocating an iterator.
    for (int index = 0; index < directives.size(); index++) {
      final Directive directive = directives.get(index);
      if (directive.isActive(atUs)) {
        earliestUs = Math.max(earliestUs, earliestCallUs(directive, lastCallUs));
      }
    }
    return earliestUs;
  }

  private static long earliestCallUs(final Directive directive, final long lastCallUs) {
    return switch (directive.kind()) {
      case EXCLUSION, WAIT -> directive.expiresUs();
      case RATE -> {
        final long intervalUs = (long) Math.ceil(SECOND_US / directive.value());
        yield Math.min(directive.expiresUs(), lastCallUs + intervalUs);
      }
      default -> Long.MIN_VALUE;
    };
  }

  /** Returns the maximum number of calls in flight; infinite if no directive limits them. */
  public double concurrencyLimit(final long nowUs) {
    return minimum(Directive.Kind.CEILING, Double.POSITIVE_INFINITY, nowUs);
  }

  /** Returns the weight among otherwise equal endpoints; 1 if no directive sets it. */
  public double weight(final long nowUs) {
    return minimum(Directive.Kind.WEIGHT, 1, nowUs);
  }

  private double minimum(final Directive.Kind kind, final double absent, final long nowUs) {
    double minimum = absent;
    for (int index = 0; index < directives.size(); index++) {
      final Directive directive = directives.get(index);
      if (directive.kind() == kind && directive.isActive(nowUs)) {
        minimum = Math.min(minimum, directive.value());
      }
    }
    return minimum;
  }

  /** Returns the earliest expiry of the active directives; {@link Long#MAX_VALUE} for never. */
  public long nextExpiryUs(final long nowUs) {
    long nextUs = Long.MAX_VALUE;
    for (int index = 0; index < directives.size(); index++) {
      final Directive directive = directives.get(index);
      if (directive.isActive(nowUs)) {
        nextUs = Math.min(nextUs, directive.expiresUs());
      }
    }
    return nextUs;
  }

  /** Returns the directives that are active now, in the order in which they were added. */
  public List<Directive> active(final long nowUs) {
    return directives.stream().filter(directive -> directive.isActive(nowUs)).toList();
  }
}

package thistleturn.decisions.directives;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The directives for one endpoint or destination, and what they amount to. A set never changes:
 * {@link #with} returns another one, so that all endpoints without directives share {@link #NONE}.
 * Beyond {@link #MAX_DIRECTIVES}, those that expire first are dropped.
 */
public final class Directives {
  /** No directives. */
  public static final Directives NONE = new Directives(List.of());

  /** The most directives in a set. */
  public static final int MAX_DIRECTIVES = 64;

  private static final double SECOND_US = 1_000_000;

  private final List<Directive> directives;

  private Directives(final List<Directive> directives) {
    this.directives = directives;
  }

  /** This set with one directive added, and without those that it replaces or that have expired. */
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
   * The earliest time at which the next call may be sent if the last one was sent at {@code
   * lastCallUs}; {@link Long#MIN_VALUE} if nothing delays it.
   */
  public long earliestCallUs(final long lastCallUs, final long atUs) {
    long earliestUs = Long.MIN_VALUE;
    // Runs for each call that is considered: no iterator is allocated.
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

  /** The most calls in flight; infinite if no directive bounds them. */
  public double concurrencyLimit(final long nowUs) {
    return minimum(Directive.Kind.CEILING, Double.POSITIVE_INFINITY, nowUs);
  }

  /** The weight among endpoints that are otherwise alike; 1 if no directive sets it. */
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

  /** When the first directive that is active now expires; {@link Long#MAX_VALUE} for never. */
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

  /** The directives that are active now, in the order in which they came. */
  public List<Directive> active(final long nowUs) {
    return directives.stream().filter(directive -> directive.isActive(nowUs)).toList();
  }
}

package thistleturn.decisions.maintenance;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators have left out. A ban holds whatever the list says, until it is
 * lifted; one call lifts it however many placed it. Only what was listed at some time can be left
 * out.
 */
public final class Maintenance {
  /**
   * Names that are remembered though the list has them no more; the ones heard of first are
   * forgotten first.
   */
  private final int mostNames;

  private final Set<String> heard = new LinkedHashSet<>();
  private final Set<String> out = new TreeSet<>();

  /**
   * Nothing is known yet; at most so many names (1 or more) are remembered beside those that are
   * left out.
   */
  public Maintenance(final int mostNames) {
    if (mostNames < 1) {
      throw new IllegalArgumentException("at least one name is remembered, not " + mostNames);
    }
    this.mostNames = mostNames;
  }

  /** The list names an endpoint. */
  public void listed(final String name) {
    // Heard of anew: among the last to be forgotten.
    heard.remove(name);
    heard.add(name);
    if (heard.size() > mostNames) {
      heard.remove(heard.iterator().next());
    }
  }

  /**
   * True if an endpoint of that name was ever listed, as far as that is remembered, or is left out.
   */
  public boolean knows(final String name) {
    return heard.contains(name) || out.contains(name);
  }

  /** True while the endpoint is left out. */
  public boolean isOut(final String name) {
    return out.contains(name);
  }

  /** Exactly these are left out from now on; tells which names changed, in order. */
  public Set<String> set(final Collection<String> names) {
    final Set<String> changed = new TreeSet<>(names);
    changed.removeIf(out::contains);
    out.stream().filter(name -> !names.contains(name)).forEach(changed::add);
    out.clear();
    out.addAll(names);
    return changed;
  }

  /** Those that are left out, in order. */
  public Set<String> out() {
    return Set.copyOf(out);
  }
}

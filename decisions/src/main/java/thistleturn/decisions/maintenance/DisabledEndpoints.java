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
public final class DisabledEndpoints {
  /**
   * Names that are remembered though the list has them no more; the ones heard of first are
   * forgotten first.
   */
  private final int maxNames;

  private final Set<String> knownNames = new LinkedHashSet<>();
  private final Set<String> disabled = new TreeSet<>();

  /**
   * Nothing is known yet; at most so many names (1 or more) are remembered beside those that are
   * left out.
   */
  public DisabledEndpoints(final int mostNames) {
    if (mostNames < 1) {
      throw new IllegalArgumentException("at least one name is remembered, not " + mostNames);
    }
    this.maxNames = mostNames;
  }

  /** The list names an endpoint. */
  public void recordListed(final String name) {
    // Heard of anew: among the last to be forgotten.
    knownNames.remove(name);
    knownNames.add(name);
    if (knownNames.size() > maxNames) {
      knownNames.remove(knownNames.iterator().next());
    }
  }

  /**
   * True if an endpoint of that name was ever listed, as far as that is remembered, or is left out.
   */
  public boolean isKnown(final String name) {
    return knownNames.contains(name) || disabled.contains(name);
  }

  /** True while the endpoint is left out. */
  public boolean isDisabled(final String name) {
    return disabled.contains(name);
  }

  /** Exactly these are left out from now on; tells which names changed, in order. */
  public Set<String> replaceAll(final Collection<String> names) {
    final Set<String> changed = new TreeSet<>(names);
    changed.removeIf(disabled::contains);
    disabled.stream().filter(name -> !names.contains(name)).forEach(changed::add);
    disabled.clear();
    disabled.addAll(names);
    return changed;
  }

  /** Those that are left out, in order. */
  public Set<String> disabledNames() {
    return Set.copyOf(disabled);
  }
}

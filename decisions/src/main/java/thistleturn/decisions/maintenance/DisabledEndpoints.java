package thistleturn.decisions.maintenance;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators have disabled. An endpoint stays disabled whatever the endpoint list
 * says, until it is enabled again; that takes one call, however often it was disabled. Only an
 * endpoint that was listed at some time can be disabled.
 */
public final class DisabledEndpoints {
  /** How many names are remembered, listed or not; those listed longest ago are forgotten first. */
  private final int maxNames;

  private final Set<String> knownNames = new LinkedHashSet<>();
  private final Set<String> disabled = new TreeSet<>();

  /** Nothing is known yet; at most {@code maxNames} (1 or more) are remembered. */
  public DisabledEndpoints(final int maxNames) {
    if (maxNames < 1) {
      throw new IllegalArgumentException("at least one name is remembered, not " + maxNames);
    }
    this.maxNames = maxNames;
  }

  /** The endpoint list names an endpoint. */
  public void recordListed(final String name) {
    // Moves the name to the end: it is now the last to be forgotten.
    knownNames.remove(name);
    knownNames.add(name);
    if (knownNames.size() > maxNames) {
      knownNames.remove(knownNames.iterator().next());
    }
  }

  /** True if an endpoint of that name was ever listed, as far as remembered, or is disabled. */
  public boolean isKnown(final String name) {
    return knownNames.contains(name) || disabled.contains(name);
  }

  /** True while the endpoint is disabled. */
  public boolean isDisabled(final String name) {
    return disabled.contains(name);
  }

  /**
   * Disables exactly these endpoints from now on.
   *
   * @return the names that were disabled or enabled by this, in order
   */
  public Set<String> replaceAll(final Collection<String> names) {
    final Set<String> changed = new TreeSet<>(names);
    changed.removeIf(disabled::contains);
    disabled.stream().filter(name -> !names.contains(name)).forEach(changed::add);
    disabled.clear();
    disabled.addAll(names);
    return changed;
  }

  /** The names of the disabled endpoints. */
  public Set<String> disabledNames() {
    return Set.copyOf(disabled);
  }
}

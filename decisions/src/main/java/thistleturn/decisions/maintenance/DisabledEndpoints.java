package thistleturn.decisions.maintenance;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators have disabled. An endpoint stays disabled until it is enabled again,
 * whatever the endpoint list contains; a single call enables it, however often it was disabled.
 * Only an endpoint that has been listed at some time can be disabled.
 */
public final class DisabledEndpoints {
  /** Maximum number of known names; beyond it, the least recently listed one is dropped. */
  private final int maxNames;

  private final Set<String> knownNames = new LinkedHashSet<>();
  private final Set<String> disabled = new TreeSet<>();

  /** Creates an empty set that keeps at most {@code maxNames} (1 or more) known names. */
  public DisabledEndpoints(final int maxNames) {
    if (maxNames < 1) {
      throw new IllegalArgumentException("maxNames must be at least 1, not " + maxNames);
    }
    this.maxNames = maxNames;
  }

  /** Records that the endpoint list contains an endpoint. */
  public void recordListed(final String name) {
    // Moves the name to the end: it is now the last to be dropped.
    knownNames.remove(name);
    knownNames.add(name);
    if (knownNames.size() > maxNames) {
      knownNames.remove(knownNames.iterator().next());
    }
  }

  /** Returns whether the name is among the known listed names or is disabled. */
  public boolean isKnown(final String name) {
    return knownNames.contains(name) || disabled.contains(name);
  }

  /** Returns true while the endpoint is disabled. */
  public boolean isDisabled(final String name) {
    return disabled.contains(name);
  }

  /**
   * Disables exactly these endpoints and enables all others.
   *
   * @return the names that this call disabled or enabled, sorted
   */
  public Set<String> replaceAll(final Collection<String> names) {
    final Set<String> changed = new TreeSet<>(names);
    changed.removeIf(disabled::contains);
    disabled.stream().filter(name -> !names.contains(name)).forEach(changed::add);
    disabled.clear();
    disabled.addAll(names);
    return changed;
  }

  /** Returns the names of the disabled endpoints. */
  public Set<String> disabledNames() {
    return Set.copyOf(disabled);
  }
}

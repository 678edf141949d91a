package thistleturn.lab.fleet;

import java.util.EnumSet;
import java.util.Set;
import thistleturn.decisions.replicas.EntryType;

/**
 * How the couriers of a virtual fleet share waits, outages and learned rates.
 *
 * @param kinds the types of entries that are shared
 * @param sharedMemory true if all couriers see an entry at once; false if replicas exchange entries
 *     over a simulated network
 * @param loss share of datagrams that the simulated network loses
 */
public record Sharing(Set<EntryType> kinds, boolean sharedMemory, double loss) {
  /** Nothing is shared. */
  public static final Sharing NOTHING = new Sharing(Set.of(), true, 0);

  /** All couriers see every entry at once. */
  public static Sharing throughSharedMemory(final Set<EntryType> kinds) {
    return new Sharing(EnumSet.copyOf(kinds), true, 0);
  }

  /** Replicas exchange entries over a network that loses a share of its datagrams. */
  public static Sharing throughReplicas(final Set<EntryType> kinds, final double loss) {
    return new Sharing(EnumSet.copyOf(kinds), false, loss);
  }
}

package thistleturn.lab.fleet;

import java.util.EnumSet;
import java.util.Set;
import thistleturn.decisions.replicas.EntryType;

/**
 * How a virtual fleet shares what its couriers are told and have learnt.
 *
 * @param kinds what is shared
 * @param perfect by one memory that all read at once; else by copies over a network
 * @param loss share of datagrams that are lost on it
 */
public record Sharing(Set<EntryType> kinds, boolean perfect, double loss) {
  /** Nothing is shared. */
  public static final Sharing NOTHING = new Sharing(Set.of(), true, 0);

  /** One memory for all. */
  public static Sharing perfectly(final Set<EntryType> kinds) {
    return new Sharing(EnumSet.copyOf(kinds), true, 0);
  }

  /** Copies over a network that loses some. */
  public static Sharing byCopies(final Set<EntryType> kinds, final double loss) {
    return new Sharing(EnumSet.copyOf(kinds), false, loss);
  }
}

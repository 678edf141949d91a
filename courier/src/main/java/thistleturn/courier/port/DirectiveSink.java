package thistleturn.courier.port;

import java.util.Set;
import thistleturn.decisions.directives.Directive;

/**
 * What a subsystem may say to the decisions of all shards. To be called on the courier's first
 * event loop.
 */
public interface DirectiveSink {
  /** From now on that one hears what this courier is told and finds out. */
  void observe(StateObserver witness);

  /**
   * Says something of a destination; where it is not known, nothing comes of it until it is said
   * again.
   */
  void applyDirective(long destination, Directive word);

  /**
   * Leaves an endpoint out, or lets it serve again, as an operator here would; a {@link
   * StateObserver} is not told.
   */
  void setDisabled(String endpoint, boolean leaveOut);

  /** The endpoints that are left out by hand now. */
  Set<String> disabledEndpoints();
}

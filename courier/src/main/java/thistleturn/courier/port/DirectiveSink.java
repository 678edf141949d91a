package thistleturn.courier.port;

import java.util.Set;
import thistleturn.decisions.directives.Directive;

/**
 * Accepts what a subsystem directs the decisions of all shards to. To be called on the courier's
 * first event loop.
 */
public interface DirectiveSink {
  /** Reports what this courier learns to this observer from now on. */
  void observe(StateObserver observer);

  /** Applies a directive on a destination; for an unknown one it has to be repeated later. */
  void applyDirective(long destination, Directive directive);

  /**
   * Disables an endpoint, or enables it again, as an operator here would; a {@link StateObserver}
   * is not told.
   */
  void setDisabled(String endpoint, boolean disabled);

  /** Returns the endpoints that are administratively disabled now. */
  Set<String> disabledEndpoints();
}

package thistleturn.courier.port;

import java.util.Set;
import thistleturn.decisions.directives.Directive;

/**
 * Accepts a subsystem's directives on the decisions of all shards. Must be called on the courier's
 * first event loop.
 */
public interface DirectiveSink {
  /** Reports this courier's observations to {@code observer} from now on. */
  void observe(StateObserver observer);

  /**
   * Applies a directive to a destination; has no effect if the destination is not known yet, so the
   * caller has to repeat it.
   */
  void applyDirective(long destination, Directive directive);

  /**
   * Disables or enables an endpoint as an operator of this courier would, but without notifying the
   * {@link StateObserver}.
   */
  void setDisabled(String endpoint, boolean disabled);

  /** Returns the endpoints that are administratively disabled now. */
  Set<String> disabledEndpoints();
}

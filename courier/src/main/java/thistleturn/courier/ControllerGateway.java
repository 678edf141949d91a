package thistleturn.courier;

import thistleturn.decisions.LearnedState;
import thistleturn.decisions.directives.Directive;

/**
 * What the parts of a decision loop report to the controller beyond {@link
 * thistleturn.decisions.DeliveryController}. The loop alone knows the controller's class.
 */
interface ControllerGateway {
  /** An endpoint asked for a wait, outside the outcome of a call that is still known. */
  void reportRetryAfter(long endpoint, long retryAfterUs);

  /** This process did not run for so long: calls in flight have that much more time. */
  void reportPause(long pausedUs);

  /** This courier is connected again, after nobody had answered since {@code cutOffSinceUs}. */
  void reportConnectivityRestored(long nowUs, long cutOffSinceUs);

  /** An endpoint that was administratively disabled serves again. */
  void reportEndpointEnabled(long endpoint);

  /** Applies a directive on an endpoint. */
  void applyEndpointDirective(long endpoint, Directive directive);

  /** Applies a directive on a destination; returns false if the destination is unknown. */
  boolean applyDestinationDirective(long destination, Directive directive);

  /** Returns what was learned of routes and endpoints. */
  LearnedState learnedControllerState();

  /** Restores what was learned by an earlier process. */
  void restoreControllerState(LearnedState state);
}

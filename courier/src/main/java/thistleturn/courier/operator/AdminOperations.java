package thistleturn.courier.operator;

import java.util.concurrent.CompletionStage;

/**
 * What the operators' address asks of the courier. All methods are called on the courier's first
 * event loop.
 */
public interface AdminOperations {
  /** True while this process takes clients. */
  boolean isServing();

  /** True once there is something to ask; what follows is only called then. */
  boolean isStarted();

  /** The figures of this moment. */
  CompletionStage<CourierMetrics> collectMetrics();

  /**
   * Leaves an endpoint out, or lets it serve again; true once that holds and outlasts the process,
   * false if no endpoint of that name was ever listed. Completes exceptionally if it could not be
   * written down: then nothing has changed.
   */
  CompletionStage<Boolean> setEndpointDisabled(String endpoint, boolean leaveOut);
}

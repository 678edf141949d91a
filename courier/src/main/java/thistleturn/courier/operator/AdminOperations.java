package thistleturn.courier.operator;

import java.util.concurrent.CompletionStage;

/**
 * The operations of a courier that operators can call. All methods are called on the courier's
 * first event loop.
 */
public interface AdminOperations {
  /** Returns whether this process accepts clients. */
  boolean isServing();

  /** Returns whether the courier decides; the methods below are called only then. */
  boolean isStarted();

  /** Returns the metrics of this moment. */
  CompletionStage<CourierMetrics> collectMetrics();

  /**
   * Disables an endpoint administratively, or enables it again. Completes with true once that is
   * applied and stored, and with false if no endpoint of that name was ever listed. Completes
   * exceptionally if it could not be stored: then nothing has changed.
   */
  CompletionStage<Boolean> setEndpointDisabled(String endpoint, boolean disabled);
}

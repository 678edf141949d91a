package thistleturn.adapter;

import thistleturn.decisions.DeliveryController;

/** An event of the simulator, translated for the decisions. */
@FunctionalInterface
interface Event {
  /** An event that has no effect on the decisions. */
  Event IGNORED = (controller, nowUs) -> {};

  /** Reports the event to the controller of its instance. */
  void reportTo(DeliveryController controller, long nowUs);
}

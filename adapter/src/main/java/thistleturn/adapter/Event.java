package thistleturn.adapter;

import thistleturn.decisions.DeliveryController;

/** An event of the simulator, translated for the decisions. */
@FunctionalInterface
interface Event {
  /** An event that means nothing to the decisions. */
  Event IGNORED = (controller, nowUs) -> {};

  /** Reports the event to the decisions of its instance. */
  void reportTo(DeliveryController controller, long nowUs);
}

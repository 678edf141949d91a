package thistleturn.benchmarks.noise;

import java.util.LinkedHashMap;
import java.util.Map;
import thistleturn.decisions.OverloadController;
import thistleturn.lab.policy.SimpleSender;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * The compared senders: the current controller, the controller without classification of rejections
 * and failures, and two simple senders.
 */
final class Senders {
  private Senders() {}

  /** Returns the senders by the name that the tables show, in the order of their rows. */
  static Map<String, VirtualCourier.ControllerFactory> all() {
    final Map<String, VirtualCourier.ControllerFactory> senders = new LinkedHashMap<>();
    senders.put("thistleturn", OverloadController::new);
    senders.put("without reading", OverloadController::withoutFaultClassification);
    senders.put("AIMD", (settings, seed, actions) -> SimpleSender.aimd(settings, actions));
    senders.put(
        "fixed window", (settings, seed, actions) -> SimpleSender.fixedWindow(settings, actions));
    return senders;
  }
}

package thistleturn.benchmarks.noise;

import java.util.LinkedHashMap;
import java.util.Map;
import thistleturn.decisions.OverloadController;
import thistleturn.lab.policy.SimpleSender;
import thistleturn.lab.virtual.VirtualCourier;

/**
 * Who is compared: the decisions as they are, as they were before they read their refusals, and two
 * plain senders.
 */
final class Senders {
  private Senders() {}

  static Map<String, VirtualCourier.ControllerFactory> all() {
    final Map<String, VirtualCourier.ControllerFactory> all = new LinkedHashMap<>();
    all.put("thistleturn", OverloadController::new);
    all.put("without reading", OverloadController::withoutFaultClassification);
    all.put("AIMD", (settings, seed, actions) -> SimpleSender.aimd(settings, actions));
    all.put(
        "fixed window", (settings, seed, actions) -> SimpleSender.fixedWindow(settings, actions));
    return all;
  }
}

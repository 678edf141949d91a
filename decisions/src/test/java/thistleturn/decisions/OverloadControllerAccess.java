package thistleturn.decisions;

import thistleturn.decisions.model.DeliverySettings;

/** Opens to other packages of tests what only tests need. */
public final class OverloadControllerAccess {
  private OverloadControllerAccess() {}

  /** One that looks at all lanes whenever time has passed, as the frozen module does. */
  public static DeliveryController withExhaustiveRanking(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, 0, true, true, true);
  }

  /** The same, which takes refusals, failures and first seconds as they come. */
  public static DeliveryController withoutFaultClassification(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, 0, false, true, true);
  }
}

package thistleturn.decisions;

import thistleturn.decisions.model.DeliverySettings;

/** Makes controllers that only tests need accessible to other test packages. */
public final class OverloadControllerAccess {
  private OverloadControllerAccess() {}

  /**
   * Returns a controller that re-ranks all routes whenever time has passed, as the reference
   * controller does.
   */
  public static DeliveryController withExhaustiveRanking(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, 0, true, true, true);
  }

  /** Returns such a controller that does not classify rejections, failures and initial growth. */
  public static DeliveryController withoutFaultClassification(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, 0, false, true, true);
  }
}

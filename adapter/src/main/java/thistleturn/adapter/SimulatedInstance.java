package thistleturn.adapter;

import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.settings.Fields;
import thistleturn.settings.SettingsReader;

/** One courier of the simulation. Instances share nothing but the reply that they append to. */
final class SimulatedInstance {
  private final int number;
  private final EventParser parser;
  private final ActionWriter actions;

  /** Null if its construction failed; the failure was reported to the simulator. */
  private final DeliveryController controller;

  /**
   * Starts an instance.
   *
   * @param enlist the line that starts it, with its settings
   */
  SimulatedInstance(final int number, final Fields enlist, final StringBuilder reply) {
    final DeliverySettings settings = SettingsReader.read(enlist);
    this.number = number;
    this.parser = new EventParser(enlist, settings);
    this.actions = new ActionWriter(number, reply);
    this.controller = createController(settings, enlist.integer("nonce64", 0));
  }

  private DeliveryController createController(final DeliverySettings settings, final long seed) {
    try {
      return new OverloadController(settings, seed, actions);
    } catch (final RuntimeException e) {
      reportFailure(e);
      return null;
    }
  }

  int number() {
    return number;
  }

  /** Handles an event of this instance. */
  void handle(final Fields fields, final EndpointSheets sheets, final long nowUs) {
    final Event event = parser.parse(fields, sheets);
    try {
      event.reportTo(controller, nowUs);
    } catch (final RuntimeException e) {
      reportFailure(e);
    }
  }

  /** Makes the decisions on the events of a batch, after all of them were handled. */
  void decide(final long nowUs) {
    try {
      controller.decide(nowUs);
    } catch (final RuntimeException e) {
      reportFailure(e);
    }
  }

  /** Reports a failure of the decisions to the simulator, with its cause, and logs it. */
  private void reportFailure(final RuntimeException failure) {
    actions.reportFailure(failure);
    failure.printStackTrace();
  }
}

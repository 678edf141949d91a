package thistleturn.decisions;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.WeightMeaning;

/**
 * The list: which endpoints there are, when it must be asked for, and what is forgotten of those
 * that left.
 */
final class EndpointRegistry {
  /**
   * First and longest back-off of asking for the list again, us: soon, but without burdening it.
   */
  private static final long MIN_SUBSCRIBE_BACKOFF_US = OverloadController.SECOND_US / 2;

  private static final long MAX_SUBSCRIBE_BACKOFF_US = 3 * OverloadController.SECOND_US;

  /**
   * A destination or route without an endpoint is forgotten so long after its last use, us. A
   * default.
   */
  private static final long UNUSED_RETENTION_US = 60 * OverloadController.SECOND_US;

  private final ControllerState state;

  /** Endpoints that are gone, and destinations without messages or endpoints: to be forgotten. */
  private final Set<EndpointHealth> removed = new LinkedHashSet<>();

  private final Set<Destination> vacant = new LinkedHashSet<>();
  private boolean subscribed;
  private long nextSubscribeUs = OverloadController.NEVER,
      subscribeBackoffUs = MIN_SUBSCRIBE_BACKOFF_US;

  EndpointRegistry(final ControllerState state) {
    this.state = state;
  }

  /** When it must be asked for again; never, while it is followed. */
  long nextSubscribeUs() {
    return nextSubscribeUs;
  }

  /** A destination holds no message any more. */
  void markVacant(final Destination destination) {
    vacant.add(destination);
  }

  /** The list has changed, or could not be had. */
  void applyUpdate(final EndpointUpdate update, final List<Endpoint> entries) {
    if (update == EndpointUpdate.UNAVAILABLE) {
      subscribed = false;
      nextSubscribeUs = state.nowUs + state.recoveryPacer.jitter(subscribeBackoffUs);
      subscribeBackoffUs = Math.min(2 * subscribeBackoffUs, MAX_SUBSCRIBE_BACKOFF_US);
      return;
    }
    if (update != EndpointUpdate.SUPPLEMENT) {
      nextSubscribeUs = OverloadController.NEVER;
      subscribeBackoffUs = MIN_SUBSCRIBE_BACKOFF_US;
    }
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      state
          .endpoints
          .values()
          .forEach(
              node -> {
                node.state = EndpointState.GONE;
                removed.add(node);
                state.markChanged(node.route.destination);
              });
    }
    for (final Endpoint entry : entries) {
      EndpointHealth node = state.endpoints.get(entry.id());
      if (node == null) {
        node = new EndpointHealth(entry, routeFor(entry), state.settings.classes().size());
        node.route.endpoints.add(node);
        // A new endpoint has no part in an outage of those before it: it may be tried at once.
        node.route.nextTrialUs = Math.min(node.route.nextTrialUs, state.nowUs);
        state.endpoints.put(entry.id(), node);
      }
      node.state = entry.state();
      if (node.state == EndpointState.GONE) {
        removed.add(node);
      } else {
        removed.remove(node);
      }
      state.markChanged(node.route.destination);
      if (state.settings.weightMeaning() != WeightMeaning.NONE) {
        node.route.setReportedLimit(entry.weight(), Route.SOURCE_ENDPOINT_LIST, state.nowUs);
      }
    }
    // A route apart is not forgotten soon: listed again, it still has its wait and its outage.
    removed.removeIf(
        node ->
            node.callsInFlight == 0
                && !node.route.destinationKind.separateRoutes()
                && remove(node));
  }

  /** Endpoints and destinations come and go for good: what has long been of no use is not kept. */
  void removeUnused() {
    final long beforeUs = state.nowUs - UNUSED_RETENTION_US;
    removed.removeIf(
        node -> node.callsInFlight == 0 && node.route.lastSendUs < beforeUs && remove(node));
    vacant.removeIf(
        destination -> {
          if (destination.openMessages == 0) {
            destination.routes.removeIf(
                lane -> lane.endpoints.isEmpty() && lane.lastSendUs < beforeUs);
          }
          final boolean over = destination.openMessages == 0 && destination.routes.isEmpty();
          if (over) {
            state.destinations.remove(destination.id);
          }
          return over
              || destination.openMessages > 0
              || destination.routes.stream().noneMatch(lane -> lane.endpoints.isEmpty());
        });
  }

  private boolean remove(final EndpointHealth node) {
    state.endpoints.remove(node.descriptor.id());
    node.route.endpoints.remove(node);
    vacant.add(node.route.destination);
    return true;
  }

  private Route routeFor(final Endpoint entry) {
    final Destination destination = state.destination(entry.destinationId());
    final DestinationKind kind =
        entry.kindIndex() < 0
            ? new DestinationKind("", false, 1)
            : state.settings.kinds().get(entry.kindIndex());
    if (kind.separateRoutes() || destination.routes.isEmpty()) {
      destination.routes.add(new Route(destination, kind, state));
    }
    return destination.routes.get(destination.routes.size() - 1);
  }

  /** Where the list must be asked for: once at the start, and again after a loss. */
  void subscribeIfDue() {
    if (state.settings.subscribesToEndpointList()
        && (nextSubscribeUs == OverloadController.NEVER
            ? !subscribed
            : state.nowUs >= nextSubscribeUs)) {
      subscribed = true;
      nextSubscribeUs =
          state.nowUs
              + Math.min(
                  MAX_SUBSCRIBE_BACKOFF_US,
                  state.settings.guarantees().subscriptionDeadlineUs() / 2);
      state.actions.subscribeToEndpointList();
    }
  }
}

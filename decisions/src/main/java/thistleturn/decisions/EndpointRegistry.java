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
 * Follows the endpoint list: which endpoints there are, when the list must be asked for, and what
 * may be removed of those that have left it.
 */
final class EndpointRegistry {
  /** First and longest backoff of asking for the list again, us. */
  private static final long MIN_SUBSCRIBE_BACKOFF_US = OverloadController.SECOND_US / 2;

  private static final long MAX_SUBSCRIBE_BACKOFF_US = 3 * OverloadController.SECOND_US;

  /** A destination or route without an endpoint is kept this long after its last use, us. */
  private static final long UNUSED_RETENTION_US = 60 * OverloadController.SECOND_US;

  private static final DestinationKind UNKNOWN_KIND = new DestinationKind("", false, 1);

  private final ControllerState state;

  /** Endpoints that have left the list, and destinations without messages or endpoints. */
  private final Set<EndpointHealth> removed = new LinkedHashSet<>();

  private final Set<Destination> vacant = new LinkedHashSet<>();

  private boolean subscribed;
  private long nextSubscribeUs = OverloadController.NEVER;
  private long subscribeBackoffUs = MIN_SUBSCRIBE_BACKOFF_US;

  EndpointRegistry(final ControllerState state) {
    this.state = state;
  }

  // ---------------------------------------------------------------- subscription

  /** Returns when the list must be asked for again; never, while it is followed. */
  long nextSubscribeUs() {
    return nextSubscribeUs;
  }

  /** Asks for the list where that is needed: once at the start, and again after a loss. */
  void subscribeIfDue() {
    if (!state.settings.subscribesToEndpointList() || !isSubscribeDue()) {
      return;
    }
    subscribed = true;
    final long deadlineUs = state.settings.guarantees().subscriptionDeadlineUs();
    nextSubscribeUs = state.nowUs + Math.min(MAX_SUBSCRIBE_BACKOFF_US, deadlineUs / 2);
    state.actions.subscribeToEndpointList();
  }

  private boolean isSubscribeDue() {
    return nextSubscribeUs == OverloadController.NEVER
        ? !subscribed
        : state.nowUs >= nextSubscribeUs;
  }

  private void retrySubscription() {
    subscribed = false;
    nextSubscribeUs = state.nowUs + state.recoveryPacer.jitter(subscribeBackoffUs);
    subscribeBackoffUs = Math.min(2 * subscribeBackoffUs, MAX_SUBSCRIBE_BACKOFF_US);
  }

  private void confirmSubscription() {
    nextSubscribeUs = OverloadController.NEVER;
    subscribeBackoffUs = MIN_SUBSCRIBE_BACKOFF_US;
  }

  // ---------------------------------------------------------------- updates

  /** Takes in an update of the list, or that it could not be had. */
  void applyUpdate(final EndpointUpdate update, final List<Endpoint> entries) {
    switch (update) {
      case UNAVAILABLE -> {
        retrySubscription();
        return;
      }
      case COMPLETE_SNAPSHOT, RESTORED_SNAPSHOT -> {
        confirmSubscription();
        state.endpoints.values().forEach(this::markRemoved);
      }
      case CHANGES -> confirmSubscription();
      case SUPPLEMENT -> {
        // Another source says nothing of the state of the subscription.
      }
    }
    entries.forEach(this::applyEntry);
    // A separate route is not removed soon: listed again, it still has its wait and its outage.
    removed.removeIf(
        endpoint ->
            endpoint.callsInFlight() == 0
                && !endpoint.route().kind().separateRoutes()
                && remove(endpoint));
  }

  private void markRemoved(final EndpointHealth endpoint) {
    endpoint.setState(EndpointState.GONE);
    removed.add(endpoint);
    state.markChanged(endpoint.route().destination());
  }

  private void applyEntry(final Endpoint entry) {
    final EndpointHealth known = state.endpoints.get(entry.id());
    final EndpointHealth endpoint = known == null ? add(entry) : known;
    endpoint.setState(entry.state());
    if (entry.state() == EndpointState.GONE) {
      removed.add(endpoint);
    } else {
      removed.remove(endpoint);
    }
    state.markChanged(endpoint.route().destination());
    if (state.settings.weightMeaning() != WeightMeaning.NONE) {
      endpoint
          .route()
          .pacing()
          .setReportedLimit(entry.weight(), SendPacing.SOURCE_ENDPOINT_LIST, state.nowUs);
    }
  }

  private EndpointHealth add(final Endpoint entry) {
    final Route route = routeFor(entry);
    final EndpointHealth endpoint =
        new EndpointHealth(entry, route, state.settings.classes().size());
    route.endpoints().add(endpoint);
    // A new endpoint has no part in an outage of those before it: it may be tried at once.
    route.circuit().allowTrialBy(state.nowUs);
    state.endpoints.put(entry.id(), endpoint);
    return endpoint;
  }

  private Route routeFor(final Endpoint entry) {
    final Destination destination = state.destination(entry.destinationId());
    final DestinationKind kind =
        entry.kindIndex() < 0 ? UNKNOWN_KIND : state.settings.kinds().get(entry.kindIndex());
    final List<Route> routes = destination.routes();
    if (kind.separateRoutes() || routes.isEmpty()) {
      routes.add(new Route(destination, kind, state));
    }
    return routes.get(routes.size() - 1);
  }

  // ---------------------------------------------------------------- removal

  /** Notes a destination without messages. */
  void markVacant(final Destination destination) {
    vacant.add(destination);
  }

  /** Removes the endpoints, routes and destinations that have long been of no use. */
  void removeUnused() {
    final long unusedSinceUs = state.nowUs - UNUSED_RETENTION_US;
    removed.removeIf(
        endpoint ->
            endpoint.callsInFlight() == 0
                && endpoint.route().pacing().lastSendUs() < unusedSinceUs
                && remove(endpoint));
    vacant.removeIf(destination -> removeIfUnused(destination, unusedSinceUs));
  }

  /** Removes what is unused of a destination; returns whether there is nothing left to watch. */
  private boolean removeIfUnused(final Destination destination, final long unusedSinceUs) {
    if (destination.hasMessages()) {
      return true;
    }
    final List<Route> routes = destination.routes();
    routes.removeIf(
        route -> route.endpoints().isEmpty() && route.pacing().lastSendUs() < unusedSinceUs);
    if (routes.isEmpty()) {
      state.destinations.remove(destination.id());
      return true;
    }
    return routes.stream().noneMatch(route -> route.endpoints().isEmpty());
  }

  private boolean remove(final EndpointHealth endpoint) {
    state.endpoints.remove(endpoint.id());
    endpoint.route().endpoints().remove(endpoint);
    vacant.add(endpoint.route().destination());
    return true;
  }
}

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
 * Follows the endpoint list: keeps the known endpoints, subscribes to the list, and removes
 * endpoints, routes and destinations that are no longer in use.
 */
final class EndpointRegistry {
  /** First backoff before the list is requested again, us. */
  private static final long MIN_SUBSCRIBE_BACKOFF_US = OverloadController.SECOND_US / 2;

  /** Longest backoff before the list is requested again, us. */
  private static final long MAX_SUBSCRIBE_BACKOFF_US = 3 * OverloadController.SECOND_US;

  /** Time after its last use for which a destination or route without endpoints is kept, us. */
  private static final long UNUSED_RETENTION_US = 60 * OverloadController.SECOND_US;

  private static final DestinationKind UNKNOWN_KIND = new DestinationKind("", false, 1);

  private final ControllerState state;

  /** Endpoints that have left the list. */
  private final Set<EndpointHealth> removed = new LinkedHashSet<>();

  /** Destinations without messages or without endpoints. */
  private final Set<Destination> vacant = new LinkedHashSet<>();

  private boolean subscribed;
  private long nextSubscribeUs = OverloadController.NEVER;
  private long subscribeBackoffUs = MIN_SUBSCRIBE_BACKOFF_US;

  EndpointRegistry(final ControllerState state) {
    this.state = state;
  }

  // ---------------------------------------------------------------- subscription

  /**
   * Returns when the list must be requested again; {@link OverloadController#NEVER} while
   * subscribed.
   */
  long nextSubscribeUs() {
    return nextSubscribeUs;
  }

  /** Requests the list if due: once at the start, and again whenever it was unavailable. */
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

  /** Applies an update of the list, or a report that the list is unavailable. */
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
        // A supplement comes from another source and does not confirm the subscription.
      }
    }
    entries.forEach(this::applyEntry);
    // A separate route is kept for a while, so that its Retry-After and its outage still apply if
    // it is listed again.
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
    // An outage of the earlier endpoints does not concern a new one: a trial may be sent at once.
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

  /** Records a destination without messages. */
  void markVacant(final Destination destination) {
    vacant.add(destination);
  }

  /**
   * Removes the endpoints, routes and destinations that have not been used for the retention time.
   */
  void removeUnused() {
    final long unusedSinceUs = state.nowUs - UNUSED_RETENTION_US;
    removed.removeIf(
        endpoint ->
            endpoint.callsInFlight() == 0
                && endpoint.route().pacing().lastSendUs() < unusedSinceUs
                && remove(endpoint));
    vacant.removeIf(destination -> removeIfUnused(destination, unusedSinceUs));
  }

  /**
   * Removes the unused routes of a destination, or the destination itself; returns whether it need
   * not be checked again.
   */
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

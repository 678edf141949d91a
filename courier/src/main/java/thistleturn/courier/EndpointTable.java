package thistleturn.courier;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import thistleturn.courier.handover.HandoverSnapshot.NumberedEndpoint;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.maintenance.DisabledEndpoints;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The listed endpoints, with the ids that the controller and the dispatcher use for them. An
 * endpoint that is removed and listed again is a new one with a new id, and so is one that is
 * listed under the same name for another destination.
 */
final class EndpointTable {
  /** The kind index of an endpoint of no known kind. */
  private static final int NO_KIND = -1;

  /** No endpoint has this id. */
  private static final long UNLISTED = 0;

  /** How many names are kept, so that operators may refer to endpoints after their removal. */
  private static final int MAX_REMEMBERED_NAMES = 10_000;

  private final List<DestinationKind> kinds;
  private final Map<String, Long> ids = new HashMap<>();
  private final Map<Long, String> names = new HashMap<>();
  private final Map<Long, Endpoint> entries = new HashMap<>();
  private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
  private final KnownDestinations destinations;
  private final DisabledEndpoints disabled = new DisabledEndpoints(MAX_REMEMBERED_NAMES);
  private long nextId = 1;

  EndpointTable(final List<DestinationKind> kinds, final LongSupplier nowUs) {
    this.kinds = kinds;
    this.destinations = new KnownDestinations(nowUs);
  }

  /**
   * An update in the form that the controller receives.
   *
   * @param removed ids of endpoints that are no longer listed; each must be passed to {@link
   *     #remove} after the controller has been notified
   */
  record AppliedUpdate(List<Endpoint> changed, Set<Long> removed) {}

  /** Applies an update and notifies the dispatcher of the endpoints in it. */
  AppliedUpdate apply(
      final EndpointUpdate update,
      final List<EndpointDirectory.Entry> listed,
      final Dispatcher dispatcher) {
    final List<Endpoint> changed = new ArrayList<>();
    final Set<Long> removed = new LinkedHashSet<>();
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      removed.addAll(entries.keySet());
    }
    for (final EndpointDirectory.Entry entry : listed) {
      removeIfOfOtherDestination(entry, changed, removed);
      final Endpoint endpoint = toEndpoint(entry);
      disabled.recordListed(entry.name());
      changed.add(endpoint);
      removed.remove(endpoint.id());
      if (endpoint.state() == EndpointState.GONE) {
        removed.add(endpoint.id());
      } else {
        put(endpoint, entry.address(), dispatcher);
      }
    }
    return new AppliedUpdate(changed, removed);
  }

  /** Removes an endpoint whose name is listed for another destination from now on. */
  private void removeIfOfOtherDestination(
      final EndpointDirectory.Entry entry, final List<Endpoint> changed, final Set<Long> removed) {
    final Endpoint before = entries.get(ids.getOrDefault(entry.name(), UNLISTED));
    if (before == null
        || before.destinationId() == entry.destination()
        || entry.state() == EndpointState.GONE) {
      return;
    }
    ids.remove(entry.name());
    changed.add(
        new Endpoint(
            before.id(),
            EndpointState.GONE,
            before.zone(),
            before.weight(),
            before.kindIndex(),
            before.destinationId()));
    removed.add(before.id());
  }

  private void put(
      final Endpoint endpoint, final InetSocketAddress address, final Dispatcher dispatcher) {
    final Endpoint before = entries.put(endpoint.id(), endpoint);
    destinations.endpointAdded(endpoint.destinationId());
    if (before != null) {
      destinations.endpointRemoved(before.destinationId());
    }
    addresses.put(endpoint.id(), address);
    final boolean separateRoute =
        endpoint.kindIndex() >= 0 && kinds.get(endpoint.kindIndex()).separateRoutes();
    dispatcher.updateEndpoint(endpoint, separateRoute, address);
  }

  private Endpoint toEndpoint(final EndpointDirectory.Entry entry) {
    return new Endpoint(
        idFor(entry.name()),
        entry.state(),
        entry.zone(),
        entry.weight(),
        kindIndex(entry.kind()),
        entry.destination());
  }

  private long idFor(final String name) {
    return ids.computeIfAbsent(
        name,
        unused -> {
          names.put(nextId, name);
          return nextId++;
        });
  }

  private int kindIndex(final String kindName) {
    int found = NO_KIND;
    for (int index = 0; index < kinds.size(); index++) {
      found = kinds.get(index).name().equals(kindName) ? index : found;
    }
    return found;
  }

  /** Removes an endpoint that is no longer listed. */
  void remove(final long id) {
    final Endpoint before = entries.remove(id);
    if (before != null) {
      destinations.endpointRemoved(before.destinationId());
    }
    addresses.remove(id);
    ids.remove(names.remove(id), id);
  }

  /** Removes destinations that have had no endpoint for a long time. */
  void expireVacantDestinations() {
    destinations.expireVacant();
  }

  /** Returns a new id for an endpoint that is no longer listed. */
  long allocateUnlistedId() {
    return nextId++;
  }

  /**
   * Disables exactly these endpoints from now on.
   *
   * @return the ids of listed endpoints whose state changed, with true for those disabled now
   */
  Map<Long, Boolean> setDisabled(final Set<String> disabledNames) {
    final Map<Long, Boolean> changed = new LinkedHashMap<>();
    for (final String name : disabled.replaceAll(disabledNames)) {
      final Long id = ids.get(name);
      if (id != null && entries.containsKey(id)) {
        changed.put(id, disabled.isDisabled(name));
      }
    }
    return changed;
  }

  /** Returns true for an endpoint that is administratively disabled. */
  boolean isDisabled(final long id) {
    final String name = names.get(id);
    return name != null && disabled.isDisabled(name);
  }

  /** Returns true if an endpoint of that name was ever listed and its name is still kept. */
  boolean isKnown(final String name) {
    return disabled.isKnown(name);
  }

  /** Returns how many listed endpoints are disabled or in {@code avoided}. */
  long countExcluded(final List<Long> avoided) {
    final Set<Long> excluded = new HashSet<>(avoided);
    disabled.disabledNames().stream()
        .map(ids::get)
        .filter(entries::containsKey)
        .forEach(excluded::add);
    return excluded.size();
  }

  /** Returns the endpoint list as last received, with the ids of its entries. */
  List<NumberedEndpoint> snapshot() {
    return entries.values().stream()
        .map(endpoint -> new NumberedEndpoint(endpoint.id(), toEntry(endpoint)))
        .toList();
  }

  private EndpointDirectory.Entry toEntry(final Endpoint endpoint) {
    return new EndpointDirectory.Entry(
        names.get(endpoint.id()),
        endpoint.state(),
        addresses.get(endpoint.id()),
        endpoint.zone(),
        endpoint.weight(),
        endpoint.kindIndex() < 0 ? "" : kinds.get(endpoint.kindIndex()).name(),
        endpoint.destinationId());
  }

  /**
   * Returns the ids of endpoints that are the same here as in another process: one of the same name
   * at another address, or of another destination, is a different endpoint.
   *
   * @return a map from ids there to ids here
   */
  Map<Long, Long> idsOfUnchanged(final List<NumberedEndpoint> elsewhere) {
    final Map<Long, Long> unchanged = new HashMap<>();
    for (final NumberedEndpoint numbered : elsewhere) {
      final EndpointDirectory.Entry entry = numbered.entry();
      final Long id = ids.get(entry.name());
      final Endpoint here = id == null ? null : entries.get(id);
      if (here != null
          && addresses.get(id).equals(entry.address())
          && here.destinationId() == entry.destination()) {
        unchanged.put(numbered.number(), id);
      }
    }
    return unchanged;
  }

  /** Returns the name of an endpoint, or null. */
  String nameOf(final long id) {
    return names.get(id);
  }

  /** Returns how many endpoints are listed. */
  int size() {
    return entries.size();
  }

  /** Returns true for a destination that has an endpoint or recently had one. */
  boolean isKnownDestination(final long destination) {
    return destinations.contains(destination);
  }

  /** Returns how many messages one call to an endpoint may carry. */
  int messagesPerCall(final long id) {
    final Endpoint endpoint = entries.get(id);
    return endpoint == null || endpoint.kindIndex() < 0
        ? 1
        : kinds.get(endpoint.kindIndex()).messagesPerCall();
  }

  /** Returns the zone of an endpoint; empty if it is unknown. */
  String zoneOf(final long id) {
    final Endpoint endpoint = entries.get(id);
    return endpoint == null ? "" : endpoint.zone();
  }
}

package thistleturn.courier;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.maintenance.DisabledEndpoints;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * The endpoints that the directory named, under the numbers by which the decisions and the carrier
 * know them. An endpoint that is gone and named again is a new one.
 */
final class EndpointTable {
  /** How long a destination without an endpoint is still reckoned with. */
  private static final long VACANT_DESTINATION_TTL_US = 120_000_000;

  /**
   * Names of endpoints that are remembered, though they are gone, as ones that operators may speak
   * of.
   */
  private static final int MAX_REMEMBERED_NAMES = 10_000;

  private final List<DestinationKind> kinds;
  private final LongSupplier nowUs;
  private final Map<String, Long> ids = new HashMap<>();
  private final Map<Long, String> names = new HashMap<>();
  private final Map<Long, Endpoint> entries = new HashMap<>();
  private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

  /** How many endpoints each destination has. Between two of them it may have none for a while. */
  private final Map<Long, Integer> endpointsPerDestination = new HashMap<>();

  /** Since when destinations that had endpoints have none, oldest first. */
  private final Map<Long, Long> vacantSinceUs = new LinkedHashMap<>();

  /** Who is left out by hand. */
  private final DisabledEndpoints disabled = new DisabledEndpoints(MAX_REMEMBERED_NAMES);

  private long nextId = 1;

  EndpointTable(final List<DestinationKind> kinds, final LongSupplier nowUs) {
    this.kinds = kinds;
    this.nowUs = nowUs;
  }

  /** An update, as the decisions are told of it, and the endpoints that are named no more. */
  record AppliedUpdate(List<Endpoint> changed, Set<Long> removed) {}

  /** Takes an update over. Who is gone is to be told to {@link #remove} once the decisions know. */
  AppliedUpdate apply(
      final EndpointUpdate update,
      final List<EndpointDirectory.Entry> listings,
      final Dispatcher carrier) {
    final List<Endpoint> changed = new ArrayList<>();
    final Set<Long> gone = new LinkedHashSet<>();
    if (update == EndpointUpdate.COMPLETE_SNAPSHOT || update == EndpointUpdate.RESTORED_SNAPSHOT) {
      gone.addAll(entries.keySet());
    }
    for (final EndpointDirectory.Entry listing : listings) {
      final Endpoint entry = toEndpoint(listing);
      disabled.recordListed(listing.name());
      changed.add(entry);
      gone.remove(entry.id());
      if (entry.state() == EndpointState.GONE) {
        gone.add(entry.id());
        continue;
      }
      countEndpoints(entries.put(entry.id(), entry), entry);
      addresses.put(entry.id(), listing.address());
      final boolean apart = entry.kindIndex() >= 0 && kinds.get(entry.kindIndex()).separateRoutes();
      carrier.updateEndpoint(entry, apart, listing.address());
    }
    return new AppliedUpdate(changed, gone);
  }

  /**
   * Exactly these names are left out from now on; tells the numbers of those listed for which that
   * is news: true, left out.
   */
  Map<Long, Boolean> setDisabled(final Set<String> leftOut) {
    final Map<Long, Boolean> news = new LinkedHashMap<>();
    for (final String name : disabled.replaceAll(leftOut)) {
      final Long number = ids.get(name);
      if (number != null && entries.containsKey(number)) {
        news.put(number, disabled.isDisabled(name));
      }
    }
    return news;
  }

  /** True for an endpoint that is left out by hand. */
  boolean isDisabled(final long endpoint) {
    final String name = names.get(endpoint);
    return name != null && disabled.isDisabled(name);
  }

  /** True if an endpoint of that name was ever listed, as far as that is remembered. */
  boolean isKnown(final String name) {
    return disabled.isKnown(name);
  }

  /** The list as it was last told, with the numbers that stand for its entries. */
  List<HandoverSnapshot.NumberedEndpoint> snapshot() {
    return entries.values().stream()
        .map(
            entry ->
                new HandoverSnapshot.NumberedEndpoint(
                    entry.id(),
                    new EndpointDirectory.Entry(
                        names.get(entry.id()),
                        entry.state(),
                        addresses.get(entry.id()),
                        entry.zone(),
                        entry.weight(),
                        entry.kindIndex() < 0 ? "" : kinds.get(entry.kindIndex()).name(),
                        entry.destinationId())))
        .toList();
  }

  /** The name of an endpoint by its number, or null. */
  String nameOf(final long number) {
    return names.get(number);
  }

  /** The number of a listed endpoint, or null. */
  Long idOf(final String name) {
    return ids.get(name);
  }

  /** A number for an endpoint that the list names no more. */
  long allocateUnlistedId() {
    return nextId++;
  }

  /** How many endpoints are listed. */
  int size() {
    return entries.size();
  }

  /** How many of the listed endpoints are left out by hand, or are among those given. */
  long countExcluded(final List<Long> avoided) {
    final Set<Long> excluded = new HashSet<>(avoided);
    disabled.disabledNames().stream()
        .map(ids::get)
        .filter(entries::containsKey)
        .forEach(excluded::add);
    return excluded.size();
  }

  /** Forgets an endpoint, and what has long been without any. */
  void remove(final long endpoint) {
    countEndpoints(entries.remove(endpoint), null);
    addresses.remove(endpoint);
    ids.remove(names.remove(endpoint));
  }

  /** One entry takes the place of another; either may be null. */
  private void countEndpoints(final Endpoint before, final Endpoint after) {
    if (after != null) {
      endpointsPerDestination.merge(after.destinationId(), 1, Integer::sum);
      vacantSinceUs.remove(after.destinationId());
    }
    if (before != null
        && endpointsPerDestination.computeIfPresent(
                before.destinationId(), (id, count) -> count == 1 ? null : count - 1)
            == null) {
      vacantSinceUs.put(before.destinationId(), nowUs.getAsLong());
    }
  }

  /** Forgets destinations that have long been without an endpoint. */
  void expireVacantDestinations() {
    final long beforeUs = nowUs.getAsLong() - VACANT_DESTINATION_TTL_US;
    final Iterator<Long> since = vacantSinceUs.values().iterator();
    while (since.hasNext() && since.next() < beforeUs) {
      since.remove();
    }
  }

  /** True for a destination that has an endpoint, or had one a short while ago. */
  boolean isKnownDestination(final long destination) {
    return endpointsPerDestination.containsKey(destination)
        || vacantSinceUs.containsKey(destination);
  }

  /** Messages that one call to an endpoint may carry. */
  int messagesPerCall(final long endpoint) {
    final Endpoint entry = entries.get(endpoint);
    return entry == null || entry.kindIndex() < 0
        ? 1
        : kinds.get(entry.kindIndex()).messagesPerCall();
  }

  /** The zone of an endpoint; empty if that is not known. */
  String zoneOf(final long endpoint) {
    final Endpoint entry = entries.get(endpoint);
    return entry == null ? "" : entry.zone();
  }

  private Endpoint toEndpoint(final EndpointDirectory.Entry listing) {
    int kind = -1;
    for (int index = 0; index < kinds.size(); index++) {
      kind = kinds.get(index).name().equals(listing.kind()) ? index : kind;
    }
    final long id =
        ids.computeIfAbsent(
            listing.name(),
            name -> {
              names.put(nextId, name);
              return nextId++;
            });
    return new Endpoint(
        id, listing.state(), listing.zone(), listing.weight(), kind, listing.destination());
  }
}

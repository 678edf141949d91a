package thistleturn.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Indexes all endpoint records by destination and by address. Records of one address for several
 * destinations (claims) are linked, the latest first; only one of them may be used at a time.
 */
final class EndpointIndex {
  private final Map<Long, List<EndpointRecord>> byDestination = new HashMap<>();
  private final Map<String, EndpointRecord> byAddress = new HashMap<>();

  /** Returns the record of a report's address and destination; adds it if there is none yet. */
  EndpointRecord findOrAdd(final SourceReport report) {
    final EndpointRecord firstClaim = byAddress.get(report.address());
    for (EndpointRecord claim = firstClaim; claim != null; claim = claim.nextClaim()) {
      if (claim.destination() == report.destination()) {
        return claim;
      }
    }
    final EndpointRecord added = new EndpointRecord(report.address(), report.destination());
    added.linkClaim(firstClaim);
    byAddress.put(report.address(), added);
    byDestination.computeIfAbsent(report.destination(), unused -> new ArrayList<>(2)).add(added);
    return added;
  }

  /** Returns the records of a destination. */
  List<EndpointRecord> ofDestination(final long destination) {
    return byDestination.getOrDefault(destination, List.of());
  }

  /** Performs the action for every record. */
  void forEach(final Consumer<EndpointRecord> action) {
    byDestination.values().forEach(endpoints -> endpoints.forEach(action));
  }

  /** Performs the action for every record with that address. */
  void forEachClaim(final String address, final Consumer<EndpointRecord> action) {
    for (EndpointRecord claim = byAddress.get(address); claim != null; claim = claim.nextClaim()) {
      action.accept(claim);
    }
  }

  /** Returns how many addresses there are. */
  int addressCount() {
    return byAddress.size();
  }

  /** Returns true if a better-ranked source claims the address for another destination. */
  boolean isContested(final EndpointRecord endpoint) {
    final EndpointRecord firstClaim = byAddress.get(endpoint.address());
    final SourceEntry owner = endpoint.owner();
    final boolean isOnlyClaim = firstClaim == endpoint && endpoint.nextClaim() == null;
    if (owner == null || isOnlyClaim) {
      return false;
    }
    for (EndpointRecord claim = firstClaim; claim != null; claim = claim.nextClaim()) {
      final SourceEntry rival = claim == endpoint ? null : claim.owner();
      if (rival != null && outranks(rival, owner)) {
        return true;
      }
    }
    return false;
  }

  private static boolean outranks(final SourceEntry one, final SourceEntry other) {
    if (one.source() != other.source()) {
      return one.source().rank() < other.source().rank();
    }
    // If one source claims an address twice, the later version counts, and among equal versions the
    // lower instance id.
    final int byVersion = Long.compare(one.report().version(), other.report().version());
    final int byId = one.report().instanceId().compareTo(other.report().instanceId());
    return byVersion > 0 || (byVersion == 0 && byId < 0);
  }

  /** Removes the records of a destination that match the predicate. */
  void removeIf(final long destination, final Predicate<EndpointRecord> isObsolete) {
    final List<EndpointRecord> endpoints = byDestination.get(destination);
    endpoints.removeIf(
        endpoint -> {
          final boolean obsolete = isObsolete.test(endpoint);
          if (obsolete) {
            unlinkClaim(endpoint);
          }
          return obsolete;
        });
    if (endpoints.isEmpty()) {
      byDestination.remove(destination);
    }
  }

  private void unlinkClaim(final EndpointRecord endpoint) {
    EndpointRecord claim = byAddress.get(endpoint.address());
    if (claim != endpoint) {
      while (claim.nextClaim() != endpoint) {
        claim = claim.nextClaim();
      }
      claim.linkClaim(endpoint.nextClaim());
    } else if (endpoint.nextClaim() == null) {
      byAddress.remove(endpoint.address());
    } else {
      byAddress.put(endpoint.address(), endpoint.nextClaim());
    }
  }
}

package thistleturn.courier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Directory;
import thistleturn.decisions.Courier;

/**
 * The endpoints that the directory named, under the numbers by which the decisions and the carrier know them. An
 * endpoint that is gone and named again is a new one.
 */
final class Roster {
    /** How long a destination without an endpoint is still reckoned with. */
    private static final long VACANT_US = 120_000_000;

    private final List<Courier.Kind> kinds;
    private final LongSupplier nowUs;
    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Map<Long, Courier.Endpoint> entries = new HashMap<>();
    /** How many endpoints each destination has. Between two of them it may have none for a while. */
    private final Map<Long, Integer> staffed = new HashMap<>();
    /** Since when destinations that had endpoints have none, oldest first. */
    private final Map<Long, Long> vacant = new LinkedHashMap<>();
    private long nextId = 1;

    Roster(final List<Courier.Kind> kinds, final LongSupplier nowUs) {
        this.kinds = kinds;
        this.nowUs = nowUs;
    }

    /** An update, as the decisions are told of it, and the endpoints that are named no more. */
    record Applied(List<Courier.Endpoint> changed, Set<Long> gone) { }

    /** Takes an update over. Who is gone is to be told to {@link #forget} once the decisions know. */
    Applied apply(final Courier.Update update, final List<Directory.Listing> listings, final Carrier carrier) {
        final List<Courier.Endpoint> changed = new ArrayList<>();
        final Set<Long> gone = new LinkedHashSet<>();
        if (update == Courier.Update.WHOLE || update == Courier.Update.RESTORED) {
            gone.addAll(entries.keySet());
        }
        for (final Directory.Listing listing : listings) {
            final Courier.Endpoint entry = entry(listing);
            changed.add(entry);
            gone.remove(entry.id());
            if (entry.condition() == Courier.Condition.GONE) {
                gone.add(entry.id());
                continue;
            }
            staff(entries.put(entry.id(), entry), entry);
            final boolean apart = entry.kind() >= 0 && kinds.get(entry.kind()).routesApart();
            carrier.listed(entry, apart, listing.address());
        }
        return new Applied(changed, gone);
    }

    /** Forgets an endpoint, and what has long been without any. */
    void forget(final long endpoint) {
        staff(entries.remove(endpoint), null);
        ids.remove(names.remove(endpoint));
    }

    /** One entry takes the place of another; either may be null. */
    private void staff(final Courier.Endpoint before, final Courier.Endpoint after) {
        if (after != null) {
            staffed.merge(after.destination(), 1, Integer::sum);
            vacant.remove(after.destination());
        }
        if (before != null
                && staffed.computeIfPresent(before.destination(), (id, count) -> count == 1 ? null : count - 1) == null) {
            vacant.put(before.destination(), nowUs.getAsLong());
        }
    }

    /** Forgets destinations that have long been without an endpoint. */
    void forgetVacant() {
        final long beforeUs = nowUs.getAsLong() - VACANT_US;
        final Iterator<Long> since = vacant.values().iterator();
        while (since.hasNext() && since.next() < beforeUs) {
            since.remove();
        }
    }

    /** True for a destination that has an endpoint, or had one a short while ago. */
    boolean names(final long destination) {
        return staffed.containsKey(destination) || vacant.containsKey(destination);
    }

    /** Messages that one call to an endpoint may carry. */
    int messagesPerCall(final long endpoint) {
        final Courier.Endpoint entry = entries.get(endpoint);
        return entry == null || entry.kind() < 0 ? 1 : kinds.get(entry.kind()).messagesPerCall();
    }

    /** The zone of an endpoint; empty if that is not known. */
    String zone(final long endpoint) {
        final Courier.Endpoint entry = entries.get(endpoint);
        return entry == null ? "" : entry.zone();
    }

    private Courier.Endpoint entry(final Directory.Listing listing) {
        int kind = -1;
        for (int index = 0; index < kinds.size(); index++) {
            kind = kinds.get(index).name().equals(listing.kind()) ? index : kind;
        }
        final long id = ids.computeIfAbsent(listing.name(), name -> {
            names.put(nextId, name);
            return nextId++;
        });
        return new Courier.Endpoint(id, listing.condition(), listing.zone(), listing.weight(), kind,
                listing.destination());
    }
}

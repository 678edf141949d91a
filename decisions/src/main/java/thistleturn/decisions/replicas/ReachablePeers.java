package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/** The addresses of the couriers that are reachable now, with random selection among them. */
final class ReachablePeers {
  private final SplittableRandom random;
  private List<String> addresses = List.of();

  ReachablePeers(final SplittableRandom random) {
    this.random = random;
  }

  /** Replaces the addresses. Returns true if some of them are new. */
  boolean replace(final Collection<String> reachable) {
    final List<String> next = List.copyOf(reachable);
    if (next.equals(addresses)) {
      return false;
    }
    final boolean hasNew = !addresses.containsAll(next);
    addresses = next;
    return hasNew;
  }

  List<String> all() {
    return addresses;
  }

  int size() {
    return addresses.size();
  }

  boolean isEmpty() {
    return addresses.isEmpty();
  }

  /** Returns a random address; there must be one. */
  String pick() {
    return addresses.get(random.nextInt(addresses.size()));
  }

  /** Returns {@code count} random addresses, or all if there are no more than that. */
  List<String> pick(final int count) {
    final List<String> remaining = new ArrayList<>(addresses);
    final List<String> picked = new ArrayList<>();
    while (picked.size() < count && !remaining.isEmpty()) {
      picked.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return picked;
  }
}

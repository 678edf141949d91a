package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The members of a fleet as agreed under a number. Two views of one line and number never differ
 * (docs/design/peers.md); views of different lines promise each other nothing.
 *
 * @param generation of the line
 * @param founder of the line
 * @param number from 1
 * @param members in order
 * @param committee those of them whose majority agrees on the next view, in the order of their
 *     right to propose
 */
public record View(
    long generation, long founder, long number, List<ViewMember> members, List<PeerId> committee) {
  /** Lists that nobody changes any more. */
  public View {
    members = List.copyOf(members);
    committee = List.copyOf(committee);
  }

  /** The first view of a line: its founder alone. */
  public static View founded(final long generation, final long founder, final ViewMember first) {
    return new View(generation, founder, 1, List.of(first), List.of(first.id()));
  }

  /**
   * The view after a change: whoever stays in the committee keeps his place; free places go to
   * members by a lot that all draw alike.
   */
  public View next(final ViewChange change, final int mostCommittee) {
    final Set<PeerId> removed = new HashSet<>(change.removed());
    final TreeSet<ViewMember> next = new TreeSet<>(members);
    next.removeIf(member -> removed.contains(member.id()));
    next.addAll(change.added());
    final List<PeerId> chosen = new ArrayList<>(committee);
    chosen.removeAll(removed);
    if (chosen.size() < mostCommittee) {
      next.stream()
          .map(ViewMember::id)
          .filter(id -> !chosen.contains(id))
          .sorted(
              Comparator.comparingLong(
                      (PeerId id) -> MonitoringRings.mix(MonitoringRings.hash(id.name()) ^ founder))
                  .thenComparing(Comparator.naturalOrder()))
          .limit(mostCommittee - chosen.size())
          .forEach(chosen::add);
    }
    return new View(generation, founder, number + 1, List.copyOf(next), chosen);
  }

  /** Its mark. */
  public ViewId viewId() {
    return new ViewId(generation, founder, number, members.size());
  }

  /** True if that life is a member. */
  public boolean contains(final PeerId id) {
    int low = 0;
    int high = members.size() - 1;
    while (low <= high) {
      final int middle = (low + high) >>> 1;
      final int order = members.get(middle).id().compareTo(id);
      if (order == 0) {
        return true;
      }
      if (order < 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return false;
  }

  /** How many of the committee must agree. */
  public int majority() {
    return committee.size() / 2 + 1;
  }
}

package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The agreed members of a fleet under a number. Two views of one lineage with the same number are
 * always equal (docs/design/peers.md); there are no guarantees between views of different lineages.
 *
 * @param generation the generation of the lineage
 * @param founder identifies the lineage, together with its generation
 * @param number the number within the lineage, from 1
 * @param members the members, in order
 * @param committee the members whose majority agrees on the next view, in the order in which they
 *     propose
 */
public record View(
    long generation, long founder, long number, List<ViewMember> members, List<PeerId> committee) {
  /** Copies the lists, so that the view is immutable. */
  public View {
    members = List.copyOf(members);
    committee = List.copyOf(committee);
  }

  /** Returns the first view of a lineage, with its founder as the only member. */
  public static View founded(final long generation, final long founder, final ViewMember first) {
    return new View(generation, founder, 1, List.of(first), List.of(first.id()));
  }

  /**
   * Returns the view that follows by a change. Remaining members of the committee keep their
   * positions; free positions go to other members by a hash that is the same for all couriers.
   */
  public View next(final ViewChange change, final int committeeSize) {
    final Set<PeerId> removed = new HashSet<>(change.removed());
    final TreeSet<ViewMember> nextMembers = new TreeSet<>(members);
    nextMembers.removeIf(member -> removed.contains(member.id()));
    nextMembers.addAll(change.added());
    return new View(
        generation,
        founder,
        number + 1,
        List.copyOf(nextMembers),
        nextCommittee(removed, nextMembers, committeeSize));
  }

  private List<PeerId> nextCommittee(
      final Set<PeerId> removed, final Set<ViewMember> nextMembers, final int committeeSize) {
    final List<PeerId> chosen = new ArrayList<>(committee);
    chosen.removeAll(removed);
    if (chosen.size() < committeeSize) {
      nextMembers.stream()
          .map(ViewMember::id)
          .filter(id -> !chosen.contains(id))
          .sorted(
              Comparator.comparingLong(this::committeeHash)
                  .thenComparing(Comparator.naturalOrder()))
          .limit(committeeSize - chosen.size())
          .forEach(chosen::add);
    }
    return chosen;
  }

  private long committeeHash(final PeerId id) {
    return MonitoringRings.mix(MonitoringRings.hash(id.name()) ^ founder);
  }

  /** Returns the id of this view. */
  public ViewId viewId() {
    return new ViewId(generation, founder, number, members.size());
  }

  /** Returns true if that incarnation is a member. */
  public boolean contains(final PeerId id) {
    return Collections.binarySearch(members, new ViewMember(id, "")) >= 0;
  }

  /** Returns how many members of the committee form a majority. */
  public int majority() {
    return committee.size() / 2 + 1;
  }
}

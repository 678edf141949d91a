package thistleturn.decisions.peers;

import java.util.List;

/** The change from one view to the next: the removed and the added members, each in order. */
public record ViewChange(List<PeerId> removed, List<ViewMember> added) {
  /** The empty change. */
  public static final ViewChange NONE = new ViewChange(List.of(), List.of());

  /** Copies the lists, so that the change is immutable. */
  public ViewChange {
    removed = List.copyOf(removed);
    added = List.copyOf(added);
  }

  /** Returns true if no member is removed or added. */
  public boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty();
  }

  /** Describes the change to operators. */
  String describe() {
    if (isEmpty()) {
      return "no change";
    }
    final StringBuilder text = new StringBuilder();
    removed.forEach(id -> text.append(" -").append(id.name()));
    added.forEach(member -> text.append(" +").append(member.id().name()));
    return text.substring(1);
  }
}

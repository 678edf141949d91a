package thistleturn.decisions.peers;

import java.util.List;

/** From one view to the next: who goes and who comes, each in order. */
public record ViewChange(List<PeerId> removed, List<ViewMember> added) {
  /** Lists that nobody changes any more. */
  public ViewChange {
    removed = List.copyOf(removed);
    added = List.copyOf(added);
  }

  /** True if nobody goes or comes. */
  public boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty();
  }
}

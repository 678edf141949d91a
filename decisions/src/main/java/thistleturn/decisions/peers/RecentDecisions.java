package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The latest view changes, kept for members that missed some of them. */
final class RecentDecisions {
  /** How many changes are kept. */
  static final int CAPACITY = 64;

  private final Map<ViewId, ViewChange> changesByView = new LinkedHashMap<>();

  /** Records the change that followed a view; drops the oldest one beyond the capacity. */
  void add(final GossipItem.ViewDecision decision) {
    changesByView.put(decision.viewId(), decision.change());
    if (changesByView.size() > CAPACITY) {
      changesByView.remove(changesByView.keySet().iterator().next());
    }
  }

  /**
   * Returns the changes from a view onwards, as many as fit into one packet; empty if that view's
   * change is not kept.
   */
  List<GossipItem> since(final ViewId start) {
    final List<GossipItem> decisions = new ArrayList<>();
    int bytes = 0;
    boolean reached = false;
    for (final Map.Entry<ViewId, ViewChange> entry : changesByView.entrySet()) {
      reached |= entry.getKey().equals(start);
      if (!reached || !entry.getKey().isSameLineage(start)) {
        continue;
      }
      final GossipItem.ViewDecision decision =
          new GossipItem.ViewDecision(entry.getKey(), entry.getValue());
      bytes += decision.maxBytes();
      if (bytes > Packet.MAX_ITEM_BYTES) {
        break;
      }
      decisions.add(decision);
    }
    return decisions;
  }
}

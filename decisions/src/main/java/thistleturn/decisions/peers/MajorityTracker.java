package thistleturn.decisions.peers;

/**
 * Tracks how many members of its view this courier reaches, and publishes its membership status
 * when that changes.
 */
final class MajorityTracker {
  /** Losing more than this share of the monitored peers is a sign of isolation in a large fleet. */
  private static final double ISOLATION_RATIO = 0.75;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final FailureDetector failureDetector;
  private final ViewManager.Context context;
  private MembershipStatus status = MembershipStatus.FORMING;
  private int reachableMembers;

  MajorityTracker(
      final GossipSettings settings,
      final MembershipTable table,
      final FailureDetector failureDetector,
      final ViewManager.Context context) {
    this.settings = settings;
    this.table = table;
    this.failureDetector = failureDetector;
    this.context = context;
  }

  MembershipStatus status() {
    return status;
  }

  /** Returns how many members of the view are reachable, this courier among them. */
  int reachableMembers() {
    return reachableMembers;
  }

  /** Measures anew. */
  void update(final IndexedView view, final PeerId self, final long nowUs) {
    reachableMembers = countReachable(view, self, nowUs);
    final MembershipStatus next = measure(view, self, nowUs);
    if (next != status) {
      status = next;
      context.publishEvent(PeerEvent.Type.MEMBERSHIP_STATUS, "", describe(view.size()));
    }
  }

  private int countReachable(final IndexedView view, final PeerId self, final long nowUs) {
    int reachable = 0;
    for (final ViewMember member : view.members()) {
      reachable += member.id().equals(self) || table.isHealthy(member.id(), nowUs) ? 1 : 0;
    }
    return reachable;
  }

  private MembershipStatus measure(final IndexedView view, final PeerId self, final long nowUs) {
    if (!view.isMember(self)) {
      return MembershipStatus.FORMING;
    }
    int lost = 0;
    int observed = 0;
    for (final Peer peer : failureDetector.monitored()) {
      if (view.isMember(peer.id())) {
        observed++;
        lost += table.isSuspect(peer, nowUs) ? 1 : 0;
      }
    }
    final int size = view.size();
    if (size > 1 && (reachableMembers <= 1 || (observed > 0 && lost == observed))) {
      return MembershipStatus.ALONE;
    }
    final boolean isLarge = size > settings.maxMonitored() + 1;
    final boolean isMinority =
        2 * reachableMembers <= size || (isLarge && lost > ISOLATION_RATIO * observed);
    return isMinority ? MembershipStatus.MINORITY : MembershipStatus.MAJORITY;
  }

  private String describe(final int viewSize) {
    return switch (status) {
      case FORMING -> "belongs to no view yet";
      case MAJORITY -> "hears a majority: " + reachableMembers + " of " + viewSize;
      case MINORITY -> "hears no majority: " + reachableMembers + " of " + viewSize;
      case ALONE -> "hears nobody of " + viewSize;
      case CONFLICT -> "its name is another's";
    };
  }
}

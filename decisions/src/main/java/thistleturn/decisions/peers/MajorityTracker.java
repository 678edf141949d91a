package thistleturn.decisions.peers;

/**
 * Tracks how many members of its view this courier reaches, and publishes changes of its membership
 * status.
 */
final class MajorityTracker {
  /**
   * In a large fleet, a courier that loses more than this share of its monitored peers counts as
   * isolated.
   */
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

  /** Returns how many members of the view are reachable, including this courier. */
  int reachableMembers() {
    return reachableMembers;
  }

  /** Updates the count and the status. */
  void update(final IndexedView view, final PeerId self, final long nowUs) {
    reachableMembers = countReachable(view, self, nowUs);
    final MembershipStatus next = determineStatus(view, self, nowUs);
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

  private MembershipStatus determineStatus(
      final IndexedView view, final PeerId self, final long nowUs) {
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
      case MAJORITY -> "reaches a majority: " + reachableMembers + " of " + viewSize;
      case MINORITY -> "reaches no majority: " + reachableMembers + " of " + viewSize;
      case ALONE -> "reaches no other member of its view of " + viewSize;
      case CONFLICT -> "another process uses its name";
    };
  }
}

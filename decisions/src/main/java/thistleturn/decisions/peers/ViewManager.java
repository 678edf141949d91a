package thistleturn.decisions.peers;

import java.util.List;

/**
 * Holds the agreed view of the fleet and installs its successors. A view is followed by the one
 * change that the majority of its committee accepts ({@link PaxosInstance}). If that majority is
 * lost permanently, no view can follow, and a remaining courier founds another lineage.
 */
final class ViewManager {
  /**
   * A courier that is not a member waits this many times longer before it founds a lineage after a
   * lost one.
   */
  private static final int NON_MEMBER_FOUNDING_FACTOR = 4;

  /**
   * A member that is more views behind than this requests the full state; one that is fewer views
   * behind is sent the decisions.
   */
  private static final int MAX_VIEWS_BEHIND = RecentDecisions.CAPACITY / 2;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final Context context;
  private final ViewChangePolicy policy;
  private final MajorityTracker majority;
  private final LineageTracker lineages;
  private final RecentDecisions recentDecisions = new RecentDecisions();
  private final String address;

  /** How long this courier waits without seeing a view before it founds one. */
  private final long foundingDelayUs;

  private PeerId self;

  /** The installed view, or null if there is none yet. */
  private IndexedView current;

  /**
   * The agreement on the change that follows the installed view, or null if there is no view yet.
   */
  private ViewProposer proposer;

  /** The services of the membership protocol that the view manager uses. */
  interface Context {
    /** Sends a Paxos message to another member. */
    void sendPaxosMessage(ViewMember to, GossipItem.PaxosMessage message);

    /** Spreads an item to the whole fleet by gossip. */
    void spread(GossipItem item);

    /**
     * Starts another incarnation of this courier when the current one was removed from the view or
     * leaves its lineage. Calls {@link ViewManager#startIncarnation}.
     */
    void startNextIncarnation();

    /** Returns a random number from 0 (inclusive) to the bound (exclusive). */
    long randomBelow(long bound);

    /** Notifies operators. */
    void publishEvent(PeerEvent.Type type, String peerName, String message);
  }

  /**
   * Creates a view manager without a view. {@code seedIndex} is the index of this courier's address
   * among the seeds: couriers at later seeds wait longer before they found a view.
   */
  ViewManager(
      final GossipSettings settings,
      final MembershipTable table,
      final FailureDetector failureDetector,
      final PeerId self,
      final String address,
      final int seedIndex,
      final long nowUs,
      final Context context) {
    this.settings = settings;
    this.foundingDelayUs = (1 + seedIndex) * settings.foundingDelayUs();
    this.table = table;
    this.self = self;
    this.address = address;
    this.context = context;
    this.policy = new ViewChangePolicy(settings, table, address);
    this.majority = new MajorityTracker(settings, table, failureDetector, context);
    this.lineages = new LineageTracker(nowUs);
  }

  /** Returns the installed view, or null if there is none. */
  View view() {
    return current == null ? null : current.view();
  }

  /** Returns the id of the installed view, or {@link ViewId#NONE}. */
  ViewId viewId() {
    return current == null ? ViewId.NONE : current.id();
  }

  MembershipStatus status() {
    return majority.status();
  }

  /** Returns how many members of the view are reachable, including this courier. */
  int reachableMembers() {
    return majority.reachableMembers();
  }

  /** Returns true if that incarnation is a member of the installed view. */
  boolean isMember(final PeerId id) {
    return current != null && current.isMember(id);
  }

  /** Continues under another incarnation of this courier. */
  void startIncarnation(final PeerId next) {
    self = next;
    if (proposer != null) {
      proposer.startIncarnation(next);
    }
  }

  // ---------------------------------------------------------------- views of others

  /**
   * Records that another courier holds a view. Returns true if this courier is to request its full
   * state.
   */
  boolean wantsFullState(final ViewId other, final long nowUs) {
    if (!lineages.recordSeen(other, viewId(), nowUs)) {
      return false;
    }
    if (current == null) {
      return true;
    }
    if (other.isSameLineage(current.id())) {
      return other.number() > current.id().number() + MAX_VIEWS_BEHIND;
    }
    return lineages.isQuorumLost() || other.isPreferredOver(current.id());
  }

  /** Returns the decisions from a view onwards; empty if they are no longer kept here. */
  List<GossipItem> decisionsSince(final ViewId start) {
    if (current == null || !start.isSameLineage(current.id())) {
      return List.of();
    }
    return recentDecisions.since(start);
  }

  /**
   * Installs another courier's view if it is a later one of the same lineage, or of a lineage that
   * this courier is to adopt.
   */
  void onFullView(final View other, final long nowUs) {
    if (other == null) {
      return;
    }
    if (!wantsFullState(other.viewId(), nowUs) && !isLaterInLineage(other.viewId())) {
      return;
    }
    final View before = view();
    final boolean sameLineage = before != null && other.viewId().isSameLineage(before.viewId());
    final boolean wasMember = before != null && before.contains(self);
    final boolean changesLineage = wasMember && !sameLineage;
    if (changesLineage || (wasMember && !other.contains(self))) {
      // An incarnation that may have voted in the old lineage must not vote in the new one.
      context.startNextIncarnation();
    }
    install(other, nowUs);
    if (sameLineage) {
      markRemovedMembersDead(before, other, nowUs);
    }
    publishView(changesLineage ? ", of a preferred lineage" : ", received from a peer");
  }

  private boolean isLaterInLineage(final ViewId other) {
    return current != null
        && other.isSameLineage(current.id())
        && other.number() > current.id().number();
  }

  private void markRemovedMembersDead(final View before, final View after, final long nowUs) {
    for (final ViewMember member : before.members()) {
      if (!after.contains(member.id())) {
        markDead(member.id(), nowUs);
      }
    }
  }

  /** Applies a decision. Returns true if it followed the installed view. */
  boolean onDecision(final GossipItem.ViewDecision decision, final long nowUs) {
    if (current == null || !decision.viewId().equals(current.id())) {
      return false;
    }
    recentDecisions.add(decision);
    final View next = current.view().next(decision.change(), settings.committeeSize());
    if (current.view().contains(self) && !next.contains(self)) {
      context.startNextIncarnation();
    }
    install(next, nowUs);
    decision.change().removed().forEach(id -> markDead(id, nowUs));
    context.spread(decision);
    publishView(": " + decision.change().describe());
    return true;
  }

  private void install(final View next, final long nowUs) {
    for (final ViewMember member : next.members()) {
      if (!member.id().name().equals(self.name())) {
        final GossipItem.MemberUpdate update =
            new GossipItem.MemberUpdate(member.id(), member.address(), GossipItem.Liveness.ALIVE);
        table.applyUpdate(update, nowUs);
      }
    }
    current = new IndexedView(next);
    lineages.recordInstalled(next, nowUs);
    proposer = new ViewProposer(current, self, nowUs, context);
  }

  /** Declares a peer dead that was removed from the view by agreement. */
  private void markDead(final PeerId id, final long nowUs) {
    final Peer peer = table.find(id.name());
    if (peer != null && peer.isAliveAs(id)) {
      final GossipItem.MemberUpdate update =
          new GossipItem.MemberUpdate(id, peer.address(), GossipItem.Liveness.DEAD);
      table.applyUpdate(update, nowUs);
      context.spread(update);
    }
  }

  private void publishView(final String suffix) {
    context.publishEvent(PeerEvent.Type.VIEW, "", current.describe() + suffix);
  }

  // ---------------------------------------------------------------- the agreement

  /** Applies a Paxos message. Returns the answer, or null if there is none. */
  GossipItem.PaxosMessage onPaxosMessage(
      final PeerId from, final GossipItem.PaxosMessage message, final long nowUs) {
    if (proposer == null) {
      return null;
    }
    final GossipItem.PaxosMessage answer =
        proposer.onMessage(from, message, change -> isAcceptable(change, nowUs));
    applyDecision(nowUs);
    return answer;
  }

  private boolean isAcceptable(final ViewChange change, final long nowUs) {
    return policy.isAcceptable(change, self, nowUs);
  }

  private void applyDecision(final long nowUs) {
    final ViewChange decided = proposer.decided();
    if (decided != null) {
      onDecision(new GossipItem.ViewDecision(current.id(), decided), nowUs);
    }
  }

  /** Founds a lineage or proposes a change if that is due. */
  void tick(final long nowUs) {
    if (current == null) {
      foundFirstLineageIfDue(nowUs);
      return;
    }
    majority.update(current, self, nowUs);
    if (policy.isQuorumLost(current.view(), self, nowUs)) {
      lineages.recordQuorumLost(current.view(), nowUs);
      replaceLostLineageIfDue(nowUs);
      return;
    }
    lineages.recordQuorumAvailable();
    if (majority.status() == MembershipStatus.MAJORITY && proposer.mayPropose()) {
      proposer.updateDesiredChange(policy.desiredChange(current, self, nowUs), nowUs);
      proposer.tick(
          () -> policy.proposerRank(current.view(), self, nowUs),
          change -> isAcceptable(change, nowUs),
          nowUs);
      applyDecision(nowUs);
    }
  }

  // ---------------------------------------------------------------- founding a lineage

  private void foundFirstLineageIfDue(final long nowUs) {
    if (nowUs - lineages.lastViewSeenUs() >= foundingDelayUs
        && !hasPrecedingFounder(false, nowUs)) {
      foundLineage(nowUs, "");
    }
  }

  /**
   * Couriers that are not members wait longer, so that remaining members found the lineage first.
   */
  private void replaceLostLineageIfDue(final long nowUs) {
    final boolean isMember = current.isMember(self);
    final long delayUs = (isMember ? 1 : NON_MEMBER_FOUNDING_FACTOR) * settings.foundingDelayUs();
    if (nowUs - lineages.quorumLostSinceUs() >= delayUs
        && nowUs - lineages.otherLineageSeenUs() >= settings.foundingDelayUs()
        && !hasPrecedingFounder(isMember, nowUs)) {
      foundLineage(nowUs, ", since the previous lineage lost its quorum");
    }
  }

  /**
   * Returns true if a peer with a fresh heartbeat and a name that sorts before this courier's is to
   * found the lineage instead.
   */
  private boolean hasPrecedingFounder(final boolean membersOnly, final long nowUs) {
    for (final Peer peer : table.alive()) {
      if ((!membersOnly || current.isMember(peer.id()))
          && peer.name().compareTo(self.name()) < 0
          && nowUs - peer.heartbeatUs() <= settings.heartbeatFreshnessUs()) {
        return true;
      }
    }
    return false;
  }

  private void foundLineage(final long nowUs, final String reason) {
    if (current != null && current.view().contains(self)) {
      context.startNextIncarnation();
    }
    final long founder = 1 + context.randomBelow(Long.MAX_VALUE - 1);
    install(View.founded(lineages.nextGeneration(), founder, new ViewMember(self, address)), nowUs);
    publishView(": founded here" + reason);
  }
}

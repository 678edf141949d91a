package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;

/** Decides, from the membership table, which view changes this courier proposes and accepts. */
final class ViewChangePolicy {
  /** The maximum size of a change in bytes, so that a packet can carry it with a Paxos message. */
  private static final int MAX_CHANGE_BYTES = 700;

  /**
   * An acceptor does not agree to remove a silent peer that it received from within the death
   * timeout minus this tolerance.
   */
  private static final long SILENCE_TOLERANCE_US = 1_000_000;

  /**
   * How many heartbeat advances a peer needs to join, so that a single stale packet admits no peer.
   */
  private static final int MIN_HEARTBEAT_ADVANCES = 2;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final String address;

  ViewChangePolicy(
      final GossipSettings settings, final MembershipTable table, final String address) {
    this.settings = settings;
    this.table = table;
    this.address = address;
  }

  // ---------------------------------------------------------------- proposing

  /** Returns the view change that the current knowledge calls for. */
  ViewChange desiredChange(final IndexedView view, final PeerId self, final long nowUs) {
    final List<PeerId> removed = new ArrayList<>();
    int bytes = 0;
    for (final ViewMember member : view.members()) {
      if (member.id().equals(self) || !shouldRemove(member.id(), self, nowUs)) {
        continue;
      }
      bytes += EncodedSizes.ofRemoved(member.id());
      if (bytes > MAX_CHANGE_BYTES) {
        return new ViewChange(removed, List.of());
      }
      removed.add(member.id());
    }
    return new ViewChange(removed, desiredAdditions(view, self, bytes, nowUs));
  }

  private List<ViewMember> desiredAdditions(
      final IndexedView view, final PeerId self, final int usedBytes, final long nowUs) {
    final List<ViewMember> added = new ArrayList<>();
    if (!view.isMember(self)) {
      added.add(new ViewMember(self, address));
    }
    int bytes = usedBytes;
    for (final Peer peer : table.alive()) {
      if (view.isMember(peer.id()) || !mayJoin(peer, nowUs)) {
        continue;
      }
      bytes += EncodedSizes.ofAdded(peer.id(), peer.address());
      if (bytes > MAX_CHANGE_BYTES) {
        break;
      }
      added.add(new ViewMember(peer.id(), peer.address()));
    }
    return added;
  }

  private boolean mayJoin(final Peer peer, final long nowUs) {
    return peer.heartbeatAdvances() >= MIN_HEARTBEAT_ADVANCES
        && nowUs - peer.heartbeatUs() <= settings.heartbeatFreshnessUs()
        && !table.isConfirmedEnded(peer, nowUs);
  }

  private boolean shouldRemove(final PeerId id, final PeerId self, final long nowUs) {
    final Peer peer = table.find(id.name());
    return peer != null
        && (hasEnded(peer, id, nowUs) || table.isConfirmedUnreachable(peer, self.name(), nowUs));
  }

  /** Returns true if that incarnation is known to have ended. */
  private boolean hasEnded(final Peer peer, final PeerId id, final long nowUs) {
    return !peer.isAliveAs(id) || table.isConfirmedEnded(peer, nowUs);
  }

  /** Returns how many healthy members of the committee precede this courier in proposing. */
  int proposerRank(final View view, final PeerId self, final long nowUs) {
    int rank = 0;
    for (final PeerId id : view.committee()) {
      if (id.equals(self)) {
        return rank;
      }
      rank += table.isHealthy(id, nowUs) ? 1 : 0;
    }
    return rank;
  }

  // ---------------------------------------------------------------- accepting

  /**
   * Returns true unless the change removes this courier itself, or a member that this courier
   * received packets or heartbeats of recently.
   */
  boolean isAcceptable(final ViewChange change, final PeerId self, final long nowUs) {
    for (final PeerId id : change.removed()) {
      final Peer peer = table.find(id.name());
      final boolean isKnownToHaveEnded = peer != null && hasEnded(peer, id, nowUs);
      if (!isKnownToHaveEnded && (id.equals(self) || isRecentlyActive(peer, nowUs))) {
        return false;
      }
    }
    return true;
  }

  private boolean isRecentlyActive(final Peer peer, final long nowUs) {
    if (peer == null || peer.monitor().hasFailedConnections()) {
      return false;
    }
    final long lastActivityUs = Math.max(peer.monitor().lastReceivedUs(), peer.heartbeatUs());
    return nowUs - lastActivityUs < settings.deathTimeoutUs() - SILENCE_TOLERANCE_US;
  }

  // ---------------------------------------------------------------- the lineage

  /**
   * Returns true if so many members of the committee have ended that no view can follow this one.
   */
  boolean isQuorumLost(final View view, final PeerId self, final long nowUs) {
    int ended = 0;
    for (final PeerId id : view.committee()) {
      ended += hasCommitteeMemberEnded(id, self, nowUs) ? 1 : 0;
    }
    return view.committee().size() - ended < view.majority();
  }

  /**
   * Returns true if a member of the committee has ended. An earlier incarnation of this courier
   * has, since its promises are lost.
   */
  private boolean hasCommitteeMemberEnded(final PeerId id, final PeerId self, final long nowUs) {
    if (id.name().equals(self.name())) {
      return !id.equals(self);
    }
    final Peer peer = table.find(id.name());
    return peer == null || hasEnded(peer, id, nowUs);
  }
}

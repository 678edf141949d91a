package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Handles updates about this courier's own name. Another process that uses the name and started
 * later is a rival: while there is one, this courier stays out of the fleet, and only sends
 * periodic anonymous probes to find out whether the rival has ended.
 */
final class NameConflictGuard {
  private static final long RIVAL_PROBE_INTERVAL_US = 5_000_000;

  /** How many known peers are probed besides the seeds. */
  private static final int PROBED_PEERS = 3;

  private final LocalPeer local;
  private final List<String> seeds;
  private final MembershipTable table;
  private final FailureDetector failureDetector;
  private final PacketSender sender;
  private final PeerActions actions;
  private final LongConsumer startIncarnation;

  /** The address on which the rival listens, or null if there is none. */
  private String rivalAddress;

  /**
   * True once this courier was in a view: from then on, a later incarnation of its name cannot be
   * an earlier run of its own.
   */
  private boolean hasBeenMember;

  private long nextRivalProbeUs;

  /**
   * Creates a guard; {@code startIncarnation} makes this courier continue under the given
   * incarnation.
   */
  NameConflictGuard(
      final LocalPeer local,
      final List<String> seeds,
      final MembershipTable table,
      final FailureDetector failureDetector,
      final PacketSender sender,
      final PeerActions actions,
      final LongConsumer startIncarnation) {
    this.local = local;
    this.seeds = seeds;
    this.table = table;
    this.failureDetector = failureDetector;
    this.sender = sender;
    this.actions = actions;
    this.startIncarnation = startIncarnation;
  }

  /** Returns true while another process that started later uses the name. */
  boolean hasRival() {
    return rivalAddress != null;
  }

  /** Records whether this courier is a member of the installed view. */
  void recordMembership(final boolean isMember) {
    hasBeenMember |= isMember;
  }

  /** Handles an update about an incarnation of this courier's name. */
  void onOwnName(final GossipItem.MemberUpdate update, final long nowUs) {
    final long incarnation = update.id().incarnation();
    if (incarnation < local.id().incarnation() || !table.isPlausible(update.id(), nowUs)) {
      return;
    }
    final boolean isAlive = update.liveness() == GossipItem.Liveness.ALIVE;
    final boolean isHere = update.address().equals(local.address());
    if (incarnation == local.id().incarnation()) {
      if (!isAlive || !isHere) {
        startIncarnation.accept(incarnation + 1);
      }
    } else if (!hasBeenMember || !isAlive || isHere) {
      // An earlier run of this courier whose clock was ahead of the present one, or a rival that
      // has ended.
      rivalAddress = null;
      startIncarnation.accept(incarnation + 1);
    } else if (rivalAddress == null) {
      enterConflict(update.address());
    }
  }

  private void enterConflict(final String address) {
    rivalAddress = address;
    failureDetector.disconnectAll();
    actions.onEvent(
        new PeerEvent(
            PeerEvent.Type.NAME_CONFLICT,
            local.name(),
            "another process that started later uses this name, at "
                + address
                + ": this one stays out of the fleet"));
  }

  /** Probes whether the rival has ended, if that is due. */
  void probeRival(final long nowUs) {
    if (nowUs < nextRivalProbeUs) {
      return;
    }
    nextRivalProbeUs = nowUs + RIVAL_PROBE_INTERVAL_US;
    final List<String> targets = new ArrayList<>(seeds);
    table.alive().stream().limit(PROBED_PEERS).forEach(peer -> targets.add(peer.address()));
    final GossipItem about = local.toUpdate(GossipItem.Liveness.ALIVE);
    targets.forEach(target -> sender.sendAnonymousProbe(target, about));
  }

  /** Answers an anonymous probe about the first name that it contains. */
  void onAnonymousProbe(final Packet packet) {
    for (final GossipItem item : packet.items()) {
      if (item instanceof GossipItem.MemberUpdate about) {
        final Peer peer = table.find(about.id().name());
        if (peer != null) {
          sender.sendItems(packet.address(), List.of(peer.toUpdate()));
        }
        return;
      }
    }
  }
}

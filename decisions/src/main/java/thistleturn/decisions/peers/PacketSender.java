package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Sends packets of this courier. Each has a header with the state of {@link LocalPeer} and the
 * installed view's id, and is filled up with queued gossip.
 */
final class PacketSender {
  /** How many peers are sent gossip with each tick. */
  private static final int GOSSIP_FANOUT = 3;

  /** How many times an item is sent for each doubling of the fleet size. */
  private static final int SENDS_PER_DOUBLING = 3;

  /**
   * How many times a status update of another courier is sent; few, since that courier's own
   * packets carry its status as well.
   */
  private static final int STATUS_SENDS = 2;

  private final LocalPeer local;
  private final MembershipTable table;
  private final Supplier<ViewId> viewId;
  private final SplittableRandom random;
  private final PeerActions actions;
  private final GossipQueue queue;
  private long nowUs;

  PacketSender(
      final LocalPeer local,
      final MembershipTable table,
      final Supplier<ViewId> viewId,
      final SplittableRandom random,
      final PeerActions actions,
      final long nowUs) {
    this.local = local;
    this.table = table;
    this.viewId = viewId;
    this.random = random;
    this.actions = actions;
    this.queue = new GossipQueue(nowUs);
    this.nowUs = nowUs;
  }

  /** Advances the clock of the gossip rate limit. */
  void advanceClock(final long us) {
    nowUs = us;
  }

  // ---------------------------------------------------------------- packets

  /** Sends a ping. Returns its sequence, which the answer echoes. */
  long sendPing(final String to) {
    final Packet ping = newPacket(Packet.Type.PING, 0, List.of());
    actions.send(to, ping);
    return ping.sequence();
  }

  /** Answers a ping. */
  void sendPong(final String to, final long echoedSequence, final List<GossipItem> items) {
    actions.send(to, newPacket(Packet.Type.PONG, echoedSequence, items));
  }

  /** Sends items to one peer. */
  void sendItems(final String to, final List<? extends GossipItem> items) {
    actions.send(to, newPacket(Packet.Type.GOSSIP, 0, items));
  }

  /** Asks about a name without identifying this courier. */
  void sendAnonymousProbe(final String to, final GossipItem about) {
    actions.send(
        to,
        new Packet(
            null,
            local.address(),
            local.nextSequence(),
            0,
            ViewId.NONE,
            0,
            PeerStatus.UNREPORTED,
            Packet.Type.PING,
            0,
            List.of(about)));
  }

  /** Announces that this courier is leaving; the packet is sent twice, since one may be lost. */
  void sendLeave(final String to) {
    final Packet leave =
        withHeader(Packet.Type.GOSSIP, 0, List.of(local.toUpdate(GossipItem.Liveness.LEFT)));
    actions.send(to, leave);
    actions.send(to, leave);
  }

  private Packet newPacket(
      final Packet.Type type, final long echoedSequence, final List<? extends GossipItem> items) {
    int usedBytes = 0;
    for (final GossipItem item : items) {
      usedBytes += item.maxBytes();
    }
    final List<GossipItem> filled = new ArrayList<>(items);
    queue.drainInto(filled, usedBytes, nowUs);
    return withHeader(type, echoedSequence, List.copyOf(filled));
  }

  private Packet withHeader(
      final Packet.Type type, final long echoedSequence, final List<GossipItem> items) {
    return new Packet(
        local.id(),
        local.address(),
        local.nextSequence(),
        local.heartbeat(),
        viewId.get(),
        local.statusVersion(),
        local.status(),
        type,
        echoedSequence,
        items);
  }

  // ---------------------------------------------------------------- gossip

  /** Queues an item for as many sends as it takes to reach the whole fleet. */
  void spread(final GossipItem item) {
    final int doublings = Long.SIZE - Long.numberOfLeadingZeros(table.alive().size() + 1L);
    queue.enqueue(item, SENDS_PER_DOUBLING * doublings);
  }

  /**
   * Spreads a received item if it was new; if not, others are spreading it already and its
   * remaining sends are reduced.
   */
  void forward(final GossipItem item, final boolean wasNew) {
    if (wasNew) {
      spread(item);
    } else {
      queue.recordReceived(item);
    }
  }

  /** Queues a peer's report about itself. */
  void forwardStatus(final GossipItem.StatusUpdate update) {
    queue.enqueue(update, STATUS_SENDS);
  }

  /** Sends queued gossip and forwarded heartbeats to random peers. */
  void sendGossip(final List<GossipItem.Heartbeat> heartbeats) {
    final List<Peer> alive = table.alive();
    for (int target = 0; target < Math.min(GOSSIP_FANOUT, alive.size()); target++) {
      if (heartbeats.isEmpty() && queue.isIdle(nowUs)) {
        break;
      }
      sendItems(alive.get(random.nextInt(alive.size())).address(), heartbeats);
    }
  }
}

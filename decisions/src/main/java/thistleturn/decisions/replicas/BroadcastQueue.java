package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Queues entries to be broadcast: in small fleets to every courier, in large ones to some at
 * random, which forward them. Lost messages are compensated by {@link AntiEntropy}.
 */
final class BroadcastQueue {
  /** Number of rounds, a tick apart, in which own entries are sent to every courier. */
  private static final int DIRECT_ROUNDS = 2;

  /** Number of rounds in which entries of others are forwarded in a small fleet. */
  private static final int FORWARD_ROUNDS = 1;

  /** Number of couriers to which an entry of another courier is forwarded in a small fleet. */
  private static final int FORWARD_FANOUT = 2;

  /** Number of rounds in which entries are sent in a large fleet. */
  private static final int GOSSIP_ROUNDS = 3;

  /** Number of couriers to which an entry is sent in each round in a large fleet. */
  private static final int GOSSIP_FANOUT = 4;

  /** The fan-out that stands for all reachable couriers. */
  private static final int TO_ALL = -1;

  /** Maximum number of queued entries of a type; further ones spread by anti-entropy only. */
  private static final int MAX_PENDING_PER_TYPE = 2048;

  private final ReplicationSettings settings;
  private final ReachablePeers peers;
  private final ReplicationSender sender;

  /**
   * Queued entries by type code, in ascending order, so that an operator's decision (type 1) never
   * waits for entries of less importance.
   */
  private final Map<Integer, Map<Entry, Pending>> pendingByType = new TreeMap<>();

  /** In how many more rounds an entry is sent, and to how many couriers in each. */
  private static final class Pending {
    private int remainingRounds;
    private final int fanout;

    private Pending(final int rounds, final int fanout) {
      this.remainingRounds = rounds;
      this.fanout = fanout;
    }
  }

  BroadcastQueue(
      final ReplicationSettings settings,
      final ReachablePeers peers,
      final ReplicationSender sender) {
    this.settings = settings;
    this.peers = peers;
    this.sender = sender;
  }

  /** Queues an entry that was written here. */
  void enqueueOwn(final Entry entry) {
    enqueue(
        entry,
        isSmallFleet()
            ? new Pending(DIRECT_ROUNDS, TO_ALL)
            : new Pending(GOSSIP_ROUNDS, GOSSIP_FANOUT));
  }

  /** Queues an entry that was received and was new here. */
  void enqueueReceived(final Entry entry) {
    enqueue(
        entry,
        isSmallFleet()
            ? new Pending(FORWARD_ROUNDS, FORWARD_FANOUT)
            : new Pending(GOSSIP_ROUNDS, GOSSIP_FANOUT));
  }

  private boolean isSmallFleet() {
    return peers.size() <= settings.maxDirectPeers();
  }

  private void enqueue(final Entry entry, final Pending pending) {
    final Map<Entry, Pending> sameType =
        pendingByType.computeIfAbsent(entry.typeCode(), unused -> new LinkedHashMap<>());
    if (sameType.size() < MAX_PENDING_PER_TYPE) {
      sameType.put(entry, pending);
    }
  }

  void clear() {
    pendingByType.clear();
  }

  /** Sends one round of as many entries as the byte allowance permits. */
  void sendRound(final long nowUs) {
    takeRound(nowUs)
        .forEach(
            (fanout, entries) -> {
              final List<String> targets = fanout == TO_ALL ? peers.all() : peers.pick(fanout);
              for (final ReplicationMessage.EntryBroadcast broadcast : packIntoDatagrams(entries)) {
                targets.forEach(target -> sender.send(target, broadcast));
              }
            });
  }

  /** Takes entries for one round from the queue, grouped by fan-out. */
  private Map<Integer, List<Entry>> takeRound(final long nowUs) {
    final Map<Integer, List<Entry>> entriesByFanout = new TreeMap<>();
    double budget = sender.availableMessageBytes();
    for (final Map<Entry, Pending> sameType : pendingByType.values()) {
      final Iterator<Map.Entry<Entry, Pending>> remaining = sameType.entrySet().iterator();
      while (remaining.hasNext() && budget > 0) {
        final Map.Entry<Entry, Pending> next = remaining.next();
        final Entry entry = next.getKey();
        final Pending pending = next.getValue();
        if (entry.expiresUs() > nowUs) {
          budget -= countTargets(pending.fanout) * (double) entry.estimatedBytes();
          entriesByFanout.computeIfAbsent(pending.fanout, unused -> new ArrayList<>()).add(entry);
        }
        pending.remainingRounds--;
        if (pending.remainingRounds == 0) {
          remaining.remove();
        }
      }
    }
    return entriesByFanout;
  }

  private int countTargets(final int fanout) {
    return fanout == TO_ALL ? peers.size() : Math.min(fanout, peers.size());
  }

  private static List<ReplicationMessage.EntryBroadcast> packIntoDatagrams(
      final List<Entry> entries) {
    final List<ReplicationMessage.EntryBroadcast> packed = new ArrayList<>();
    List<Delta> deltas = new ArrayList<>();
    int bytes = 0;
    for (final Entry entry : entries) {
      // The receiver may lack the previous version, which is detected by comparing checksums.
      final Delta delta = Delta.single(entry);
      if (bytes + delta.estimatedBytes() > ReplicationProtocol.MAX_DATAGRAM_BYTES
          && !deltas.isEmpty()) {
        packed.add(new ReplicationMessage.EntryBroadcast(deltas));
        deltas = new ArrayList<>();
        bytes = 0;
      }
      deltas.add(delta);
      bytes += delta.estimatedBytes();
    }
    if (!deltas.isEmpty()) {
      packed.add(new ReplicationMessage.EntryBroadcast(deltas));
    }
    return packed;
  }
}

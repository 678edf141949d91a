package thistleturn.decisions.peers;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Probes the seed addresses at which no peer is known: frequently until this courier has joined
 * others, and at a longer interval permanently, since a courier that starts at such an address may
 * know no other courier.
 */
final class SeedProber {
  private static final long JOIN_PROBE_INTERVAL_US = 500_000;
  private static final long SEED_PROBE_INTERVAL_US = 3_000_000;

  private final List<String> seeds;
  private final LocalPeer local;
  private final MembershipTable table;
  private final PacketSender sender;
  private long nextProbeUs;

  SeedProber(
      final List<String> seeds,
      final LocalPeer local,
      final MembershipTable table,
      final PacketSender sender) {
    this.seeds = seeds;
    this.local = local;
    this.table = table;
    this.sender = sender;
  }

  /** Probes the seeds if that is due. */
  void tick(final MembershipStatus status, final long nowUs) {
    if (nowUs < nextProbeUs) {
      return;
    }
    final boolean hasJoined = status == MembershipStatus.MAJORITY && !table.alive().isEmpty();
    nextProbeUs = nowUs + (hasJoined ? SEED_PROBE_INTERVAL_US : JOIN_PROBE_INTERVAL_US);
    final Set<String> known = new HashSet<>();
    known.add(local.address());
    table.alive().forEach(peer -> known.add(peer.address()));
    for (final String seed : seeds) {
      if (!known.contains(seed)) {
        sender.sendPing(seed);
      }
    }
  }
}

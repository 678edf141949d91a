package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This courier's own hearing of those that it watches: it asks them now and then, holds a
 * connection to each, and says which of them it does not hear. Two kinds of evidence are kept
 * apart. Silence proves little and is given time. A connection that ends without farewell, and
 * another one that ends before its greeting, is the word of the system at that address that the
 * process is over: a process that stands still keeps its connections, and the system goes on taking
 * new ones for it.
 */
final class Watch {
  /**
   * Heard again for so long, us, without a gap, it is no longer called silent: a lossy way does not
   * flap.
   */
  private static final long STEADY_US = 1_000_000;

  /**
   * How long a connection that nobody answers is waited for before the next one, and how long one
   * that just ended, us.
   */
  private static final long RETRY_US = 1_000_000;

  private static final long AGAIN_US = 100_000;

  /**
   * Connections that ended without a greeting, one after the other, that are proof: the second
   * cannot be a reset under way.
   */
  private static final int PROOF_ENDS = 2;

  /**
   * Own lateness widens the time to silence: by half for each step (after Lifeguard: Dadgar et al.,
   * DSN 2018).
   */
  private static final int MOST_LATENESS = 4;

  private static final long CALM_US = 2_000_000;

  private final PeerRules rules;
  private final Roll roll;
  private final Peers.Out out;
  private final Consumer<Item.Report> tell;
  private final long lot;
  private PeerId self;
  private final Set<Peer> watched = new LinkedHashSet<>();
  private int seenVersion = -1;
  private long row;
  private int lateness;
  private long latenessUs;

  Watch(
      final PeerRules rules,
      final Roll roll,
      final PeerId self,
      final Peers.Out out,
      final Consumer<Item.Report> tell) {
    this.rules = rules;
    this.roll = roll;
    this.self = self;
    this.lot = Rings.hash(self.name());
    this.out = out;
    this.tell = tell;
  }

  /** Another life of this courier watches on; what the earlier one said is void with it. */
  void begin(final PeerId next) {
    self = next;
  }

  /**
   * This process did not run for that long: it accuses nobody on waking, and trusts its own hearing
   * less for a while.
   */
  void away(final long nowUs) {
    lateness = Math.min(MOST_LATENESS, lateness + 1);
    latenessUs = nowUs;
    for (final Peer peer : watched) {
      final Peer.Doubt own = peer.doubts.get(self.name());
      if (own != null && own.sight() == Sight.SILENT) {
        say(peer, Sight.HEARD, nowUs, nowUs);
      }
    }
  }

  /** Who is watched now. */
  Set<Peer> watched() {
    return watched;
  }

  /** Something of it was read here, sent after all that was read before. */
  void heard(final Peer peer, final long nowUs) {
    if (nowUs - peer.heardUs > rules.silentUs()) {
      peer.heardSinceUs = nowUs;
    }
    peer.heardUs = nowUs;
    if (peer.ends > 0 && nowUs - peer.endUs > Roll.IN_FLIGHT_US) {
      // Its connections end, and it lives all the same.
      peer.ends = 0;
    }
  }

  /** Goes through those that are watched, and says who is to be asked now. */
  List<Peer> tick(final long nowUs) {
    if (seenVersion != roll.version()) {
      seenVersion = roll.version();
      choose(nowUs);
    }
    if (lateness > 0 && nowUs - latenessUs > CALM_US) {
      lateness--;
      latenessUs = nowUs;
    }
    final List<Peer> due = new ArrayList<>();
    final long silentUs = rules.silentUs() + lateness * rules.silentUs() / 2;
    for (final Peer peer : watched) {
      if (nowUs >= peer.nextProbeUs) {
        peer.nextProbeUs =
            Math.max(peer.nextProbeUs + rules.probeUs(), nowUs + rules.probeUs() / 2);
        due.add(peer);
      }
      if (!peer.connected && nowUs >= peer.connectUs) {
        peer.connectUs = nowUs + RETRY_US;
        hangUp(peer);
        peer.lifeline = peer.address;
        out.connect(peer.address);
      }
      judge(peer, silentUs, nowUs);
    }
    return due;
  }

  private void judge(final Peer peer, final long silentUs, final long nowUs) {
    final Peer.Doubt own = peer.doubts.get(self.name());
    final long since = Math.max(peer.heardUs, peer.watchedUs);
    final boolean over = peer.ends >= PROOF_ENDS && !peer.connected;
    if (over) {
      if (own == null || own.sight() != Sight.ENDED) {
        say(peer, Sight.ENDED, nowUs, nowUs);
      }
    } else if (nowUs - since > silentUs) {
      if (own == null || own.sight() != Sight.SILENT) {
        say(peer, Sight.SILENT, own == null ? since : own.sinceUs(), nowUs);
      }
    } else if (own != null && nowUs - Math.max(peer.heardSinceUs, peer.watchedUs) >= STEADY_US) {
      say(peer, Sight.HEARD, nowUs, nowUs);
    }
  }

  private void say(final Peer peer, final Sight sight, final long sinceUs, final long nowUs) {
    tell.accept(new Item.Report(self, peer.id, ++row, sight, nowUs - sinceUs));
  }

  /** A connection to that address was greeted by a life. */
  void greeted(final Peer peer, final PeerId by, final long nowUs) {
    if (by.name().equals(peer.id.name())) {
      peer.connected = true;
      peer.ends = 0;
      peer.connectUs = Peer.NEVER;
    } else {
      // Its address is another's now.
      ended(peer, nowUs);
      peer.connectUs = nowUs + RETRY_US;
      hangUp(peer);
    }
  }

  /** A connection there ended, or was refused. */
  void closed(final Peer peer, final long nowUs) {
    if (peer.connected) {
      // It may have been the way that broke; the next one tells.
      peer.connected = false;
      peer.ends = 0;
      peer.endUs = nowUs;
    } else {
      ended(peer, nowUs);
    }
    peer.connectUs = nowUs + AGAIN_US * Math.min(RETRY_US / AGAIN_US, Math.max(1, peer.ends));
  }

  private static void ended(final Peer peer, final long nowUs) {
    if (peer.ends == 0 && nowUs - peer.endUs > RETRY_US) {
      peer.endUs = nowUs;
    }
    peer.ends++;
  }

  private void hangUp(final Peer peer) {
    if (peer.lifeline != null) {
      out.disconnect(peer.lifeline);
      peer.lifeline = null;
    }
    peer.connected = false;
  }

  /** A connection there came to nothing without anybody's word. */
  void unanswered(final Peer peer, final long nowUs) {
    peer.ends = 0;
    peer.connected = false;
    peer.connectUs = nowUs + RETRY_US / 2;
  }

  /** Whom the rings give to watch, and whom no more. */
  private void choose(final long nowUs) {
    final Set<Peer> next = new LinkedHashSet<>(Rings.watched(lot, roll.living(), rules.watched()));
    int place = 0;
    for (final Peer peer : next) {
      if (peer.lifeline != null && !peer.lifeline.equals(peer.address)) {
        hangUp(peer);
      }
      if (!peer.watched) {
        peer.watched = true;
        peer.watchedUs = nowUs;
        peer.nextProbeUs = nowUs + place++ * rules.tickUs() % rules.probeUs();
        peer.connectUs = Peer.NEVER;
      }
    }
    for (final Peer peer : watched) {
      if (!next.contains(peer)) {
        peer.watched = false;
        peer.ends = 0;
        hangUp(peer);
        if (peer.doubts.containsKey(self.name())) {
          say(peer, Sight.HEARD, nowUs, nowUs);
        }
      }
    }
    watched.clear();
    watched.addAll(next);
  }
}

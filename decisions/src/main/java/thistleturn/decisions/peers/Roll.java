package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Everybody who is known, by name, and what is said of them. What it takes in is ordered by
 * incarnations, rows and beats, so that the same things learnt in any order, once or often, leave
 * the same roll.
 */
final class Roll {
  /** More names than this are not taken in: what a confused fleet may cost is bounded. */
  static final int MOST = 2048;

  private static final int MOST_TOMBS = 512;

  /** A life that claims to begin later than a day from now is none. */
  private static final long AHEAD_US = 24 * 3_600_000_000L;

  /**
   * A sign of life so old, us, is older than what the end of a connection tells: datagrams on the
   * way are read by then.
   */
  static final long IN_FLIGHT_US = 300_000;

  /**
   * So many must say that one is over, and so many that it is silent; fewer where fewer can see it.
   */
  private static final int ENDED_VOICES = 2;

  private static final int SILENT_VOICES = 3;

  private final PeerRules rules;
  private final Map<String, Peer> byName = new HashMap<>();
  private final long beganUs;
  private final long beganIncarnation;
  private List<Peer> living = List.of();
  private boolean stale = true;
  private int version;

  Roll(final PeerRules rules, final long beganIncarnation, final long nowUs) {
    this.rules = rules;
    this.beganUs = nowUs;
    this.beganIncarnation = beganIncarnation;
  }

  Peer get(final String name) {
    return byName.get(name);
  }

  Collection<Peer> all() {
    return byName.values();
  }

  /** Those that neither left nor died, in the order of their names. */
  List<Peer> living() {
    if (stale) {
      final List<Peer> next = new ArrayList<>();
      for (final Peer peer : byName.values()) {
        if (peer.isAlive()) {
          next.add(peer);
        }
      }
      next.sort(Comparator.comparing((Peer peer) -> peer.id.name()));
      living = Collections.unmodifiableList(next);
      stale = false;
    }
    return living;
  }

  /** Counts up with each change of who is living. */
  int version() {
    return version;
  }

  void changed() {
    stale = true;
    version++;
  }

  /** True for a life that can be one. */
  boolean isPlausible(final PeerId id, final long nowUs) {
    return id.incarnation() > 0
        && id.incarnation() <= beganIncarnation + (nowUs - beganUs) + AHEAD_US
        && !id.name().isEmpty()
        && id.name().length() <= PeerId.MOST_NAME;
  }

  /** Takes in how a life stands. True if that was news. */
  boolean learn(final Item.Fact fact, final long nowUs) {
    Peer peer = byName.get(fact.id().name());
    if (peer == null) {
      if (byName.size() >= MOST) {
        return false;
      }
      peer = new Peer(fact.id(), fact.address(), nowUs);
      peer.life = fact.life();
      byName.put(fact.id().name(), peer);
      changed();
      return true;
    }
    final long known = peer.id.incarnation();
    if (fact.id().incarnation() < known
        || (fact.id().incarnation() == known && fact.life().compareTo(peer.life) <= 0)) {
      return false;
    }
    if (fact.id().incarnation() > known) {
      peer.begin(fact.id(), fact.address(), nowUs);
    }
    if (fact.life() != Item.Life.ALIVE) {
      peer.life = fact.life();
      peer.sinceUs = nowUs;
      peer.doubts.clear();
      peer.doubtedUs = Peer.NEVER;
    }
    dropDoubtsOf(peer);
    changed();
    return true;
  }

  /** What a life said that is over binds nobody. */
  private void dropDoubtsOf(final Peer observer) {
    for (final Peer subject : byName.values()) {
      final Peer.Doubt doubt = subject.doubts.get(observer.id.name());
      if (doubt != null && (!doubt.observer().equals(observer.id) || !observer.isAlive())) {
        subject.doubts.remove(observer.id.name());
        settleDoubt(subject, subject.doubtedUs);
      }
    }
  }

  private static void settleDoubt(final Peer subject, final long nowUs) {
    if (subject.doubts.isEmpty()) {
      subject.doubtedUs = Peer.NEVER;
    } else if (subject.doubtedUs == Peer.NEVER) {
      subject.doubtedUs = nowUs;
    }
  }

  /** Takes in what an observer says of its hearing. True if that was news. */
  boolean report(final Item.Report report, final long nowUs) {
    final Peer subject = byName.get(report.subject().name());
    final Peer observer = byName.get(report.observer().name());
    if (subject == null
        || !subject.id.equals(report.subject())
        || !subject.isAlive()
        || (observer != null && observer.id.incarnation() > report.observer().incarnation())
        || report.observer().name().equals(report.subject().name())
        || !subject.isNews(report.observer(), report.row())) {
      return false;
    }
    subject.rows.put(
        report.observer().name(), new Peer.Row(report.observer().incarnation(), report.row()));
    if (report.sight() == Sight.HEARD) {
      subject.doubts.remove(report.observer().name());
    } else {
      subject.doubts.put(
          report.observer().name(),
          new Peer.Doubt(report.observer(), report.sight(), nowUs - Math.max(0, report.ageUs())));
    }
    settleDoubt(subject, nowUs);
    return true;
  }

  /** Takes in a sign of life. True if it was a later one than known. */
  boolean beat(final Peer peer, final long beat, final long nowUs) {
    if (beat <= peer.beat) {
      return false;
    }
    peer.beat = beat;
    peer.beatUs = nowUs;
    peer.beats++;
    return true;
  }

  /** True if a sign of life came lately, or nobody doubted it until lately. */
  boolean isFresh(final Peer peer, final long nowUs) {
    return nowUs - Math.max(peer.beatUs, peer.doubtedUs) <= rules.freshUs();
  }

  /** True if it is in doubt, and nothing speaks for it. */
  boolean isSuspect(final Peer peer, final long nowUs) {
    return peer.doubtedUs != Peer.NEVER && (!isFresh(peer, nowUs) || isOver(peer, nowUs));
  }

  /** What is known of one; {@code member}: its life is in the view. */
  PeerState state(final Peer peer, final boolean member, final long nowUs) {
    return switch (peer.life) {
      case DEAD -> PeerState.DEAD;
      case LEFT -> PeerState.LEFT;
      case ALIVE ->
          isSuspect(peer, nowUs)
              ? PeerState.SUSPECT
              : !member
                  ? PeerState.JOINING
                  : peer.doubtedUs != Peer.NEVER ? PeerState.PARTLY : PeerState.ALIVE;
    };
  }

  /**
   * True if enough say that the system at its address says that it is over, and nothing of it came
   * since.
   */
  boolean isOver(final Peer peer, final long nowUs) {
    if (peer.doubts.isEmpty() || nowUs - Math.max(peer.beatUs, peer.heardUs) <= IN_FLIGHT_US) {
      return false;
    }
    int voices = 0;
    for (final Peer.Doubt doubt : peer.doubts.values()) {
      voices += doubt.sight() == Sight.ENDED ? 1 : 0;
    }
    return voices > 0 && voices >= Math.min(ENDED_VOICES, witnesses(peer, nowUs));
  }

  /** True if enough have not heard it for long enough, and nobody has told a sign of life since. */
  boolean isSilentTooLong(final Peer peer, final String self, final long nowUs) {
    if (peer.doubts.isEmpty() || nowUs - peer.beatUs < rules.deadUs()) {
      return false;
    }
    int voices = 0;
    for (final Peer.Doubt doubt : peer.doubts.values()) {
      final Peer observer = byName.get(doubt.observer().name());
      final boolean counts =
          doubt.observer().name().equals(self) || (observer != null && !isSuspect(observer, nowUs));
      voices += counts && nowUs - doubt.sinceUs() >= rules.deadUs() ? 1 : 0;
    }
    return voices > 0 && voices >= Math.min(SILENT_VOICES, witnesses(peer, nowUs));
  }

  /**
   * How many can see one, {@link #SILENT_VOICES} at most: this courier, and all living ones that
   * nobody doubts or that are heard of by somebody. One that is in doubt here alone is a witness
   * all the same, lest a courier behind a cut needs nobody.
   */
  private int witnesses(final Peer subject, final long nowUs) {
    int count = 1;
    for (final Peer other : living()) {
      if (count >= SILENT_VOICES) {
        break;
      }
      count +=
          other != subject
                  && other.beats > 0
                  && (other.doubtedUs == Peer.NEVER || isFresh(other, nowUs))
              ? 1
              : 0;
    }
    return count;
  }

  /** Forgets those that ended long ago, and more of them than it keeps. */
  void prune(final long nowUs) {
    int tombs = 0;
    for (final Iterator<Peer> peers = byName.values().iterator(); peers.hasNext(); ) {
      final Peer peer = peers.next();
      if (!peer.isAlive() && (nowUs - peer.sinceUs > rules.tombUs() || ++tombs > MOST_TOMBS)) {
        peers.remove();
      }
    }
  }

  /** The local clock went on while this process did not. */
  void shift(final long awayUs) {
    byName.values().forEach(peer -> peer.shift(awayUs));
  }
}

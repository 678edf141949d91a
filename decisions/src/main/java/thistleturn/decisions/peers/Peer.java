package thistleturn.decisions.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * All that is known here of one name: its latest life, and what is said of it. Times are us of the
 * local clock.
 */
final class Peer {
  static final long NEVER = Long.MIN_VALUE / 4;

  /** Lot of the name. */
  final long lot;

  PeerId id;
  String address;
  Item.Life life = Item.Life.ALIVE;

  /** When this life became known, or ended. */
  long sinceUs;

  /** The highest count of its datagrams that was read here. */
  long seq;

  long beat;

  /** When a higher beat was learnt, from whomever. */
  long beatUs = NEVER;

  /**
   * How many times a higher beat was learnt: two are needed to be let in, so that an old datagram
   * lets nobody in.
   */
  int beats;

  /** When something of it was read here. */
  long heardUs = NEVER;

  /** Since when it has been heard without a gap of {@link PeerRules#silentUs}. */
  long heardSinceUs = NEVER;

  long rttUs;
  long said;
  PeerWord word = PeerWord.WELL;

  /**
   * What others and this courier say of their hearing of it, by observer's name; those who hear it
   * are not kept.
   */
  final Map<String, Doubt> doubts = new HashMap<>(2);

  /** Since when anybody doubts it; NEVER: nobody. */
  long doubtedUs = NEVER;

  /** Rows of observers already read, so that an older one changes nothing. */
  final Map<String, Row> rows = new HashMap<>(2);

  boolean watched;
  long nextProbeUs;
  long pingSeq;
  long pingUs;

  /** Ends of connections without a greeting in a row, and when the next try is due. */
  int ends;

  /** When the first of them came. */
  long endUs = NEVER;

  long connectUs = NEVER;

  /** The address of the connection that is held or tried there; null: none. */
  String lifeline;

  boolean connected;

  /** Since when this courier watches this life. */
  long watchedUs = NEVER;

  long fullUs = NEVER;
  long passedUs = NEVER;
  long decidedUs = NEVER;
  PeerState shown = PeerState.JOINING;
  long shownUs;

  Peer(final PeerId id, final String address, final long nowUs) {
    this.id = id;
    this.lot = Rings.hash(id.name());
    this.address = address;
    this.sinceUs = nowUs;
    this.shownUs = nowUs;
  }

  /** An observer's word that it does not hear it. */
  record Doubt(PeerId observer, Sight sight, long sinceUs) {}

  /** How far an observer's words were read. */
  record Row(long incarnation, long row) {}

  /** True if an observer's word is newer than what was read of him. */
  boolean isNews(final PeerId observer, final long row) {
    final Row known = rows.get(observer.name());
    return known == null
        || observer.incarnation() > known.incarnation()
        || (observer.incarnation() == known.incarnation() && row > known.row());
  }

  /** Another life of the name: nothing of what was known of the earlier one holds for it. */
  void begin(final PeerId next, final String at, final long nowUs) {
    id = next;
    address = at;
    life = Item.Life.ALIVE;
    sinceUs = nowUs;
    seq = 0;
    beat = 0;
    beats = 0;
    beatUs = NEVER;
    heardUs = NEVER;
    heardSinceUs = NEVER;
    rttUs = 0;
    said = 0;
    word = PeerWord.WELL;
    doubts.clear();
    rows.clear();
    doubtedUs = NEVER;
    pingSeq = 0;
    ends = 0;
    connectUs = NEVER;
    endUs = NEVER;
    connected = false;
    watchedUs = nowUs;
    decidedUs = NEVER;
    fullUs = NEVER;
    nextProbeUs = nowUs;
    shown = PeerState.JOINING;
    shownUs = nowUs;
  }

  boolean isAlive() {
    return life == Item.Life.ALIVE;
  }

  /** The local clock went on while this process did not: nobody was silent then. */
  void shift(final long awayUs) {
    if (heardUs != NEVER) {
      heardUs += awayUs;
    }
    if (heardSinceUs != NEVER) {
      heardSinceUs += awayUs;
    }
    if (beatUs != NEVER) {
      beatUs += awayUs;
    }
    if (doubtedUs != NEVER) {
      doubtedUs += awayUs;
    }
    if (watchedUs != NEVER) {
      watchedUs += awayUs;
    }
    doubts.replaceAll(
        (name, doubt) -> new Doubt(doubt.observer(), doubt.sight(), doubt.sinceUs() + awayUs));
  }
}

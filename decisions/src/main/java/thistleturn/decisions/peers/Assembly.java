package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The numbered view: who proposes which change when, what a member agrees to, and where this
 * courier stands. A view is followed by the one change that its committee's majority accepts
 * ({@link Agreement}). Where that majority is over for good, no view can follow, and a survivor
 * founds another line.
 */
final class Assembly {
  /**
   * A change waits until nothing was added to it for so long, us, but no longer than that: one
   * trouble is one view.
   */
  private static final long SETTLE_US = 200_000;

  private static final long SETTLE_MOST_US = 600_000;

  /** How much later the next of the committee proposes, us. */
  private static final long RANK_US = 1_500_000;

  private static final long REPEAT_US = 100_000;

  /** A ballot without a decision for so long, us, is raised; by up to as much later, by lot. */
  private static final long RAISE_US = 1_000_000;

  /** Bytes of a change: a datagram carries it beside a vote's head. */
  private static final int MOST_CHANGE_BYTES = 700;

  /** Changes that are kept for those who missed one. */
  private static final int KEPT = 64;

  /**
   * An acceptor that had a sign of one within the time of silence but for this, us, does not agree
   * that it is silent.
   */
  private static final long ABOUT_US = 1_000_000;

  /** So much later one founds a line after one that is over and that was never its own. */
  private static final int STRANGERS = 4;

  /**
   * Of those that a courier watches, so many lost are a sign that it is nearly alone in a large
   * fleet.
   */
  private static final double LOST_SHARE = 0.75;

  private final PeerRules rules;
  private final Roll roll;
  private final Watch watch;
  private final Port port;
  private final Map<ViewMark, Change> kept = new LinkedHashMap<>();
  private final Set<Long> overLines = new HashSet<>();
  private PeerId self;
  private final String address;
  private View view;
  private Agreement agreement;
  private Map<String, PeerId> byName = Map.of();
  private Change wanted = new Change(List.of(), List.of());
  private long wantedUs;
  private long changedUs;
  private long repeatUs;
  private long raiseUs;
  private long overSinceUs = Peer.NEVER;
  private long heardOfViewUs;

  /** When another line than its own was heard of, one that is not known to be over. */
  private long otherLineUs = Peer.NEVER;

  /** How long it waits to hear of a view before it founds one. */
  private final long foundUs;

  private long highestGeneration;
  private Standing standing = Standing.FORMING;
  private int reached;

  /** What it needs of the whole. */
  interface Port {
    /** A vote for another member. */
    void vote(Member to, Item.Vote vote);

    /** Something that all are to know. */
    void spread(Item item);

    /** This life is out of the view, or leaves its line: another one is to begin. */
    PeerId beginAgain();

    /** A number below the bound, by lot. */
    long lot(long bound);

    /** For operators. */
    void event(PeerEvent.Kind kind, String who, String text);
  }

  /**
   * {@code place}: of its address among the seeds; who stands behind others there leaves founding
   * to them for longer.
   */
  Assembly(
      final PeerRules rules,
      final Roll roll,
      final Watch watch,
      final PeerId self,
      final String address,
      final int place,
      final long nowUs,
      final Port port) {
    this.rules = rules;
    this.foundUs = (1 + place) * rules.foundUs();
    this.roll = roll;
    this.watch = watch;
    this.self = self;
    this.address = address;
    this.port = port;
    this.heardOfViewUs = nowUs;
  }

  View view() {
    return view;
  }

  ViewMark mark() {
    return view == null ? ViewMark.NONE : view.mark();
  }

  Standing standing() {
    return standing;
  }

  /** How many members of the view are heard of, this courier among them. */
  int reached() {
    return reached;
  }

  /** True if that life is a member. */
  boolean has(final PeerId id) {
    return id.equals(byName.get(id.name()));
  }

  /** Another life of this courier: it has promised nothing, and belongs to no committee. */
  void begin(final PeerId next) {
    self = next;
    agreement = view == null ? null : new Agreement(view, next);
  }

  private void install(final View next, final long nowUs) {
    view = next;
    byName = new HashMap<>();
    for (final Member member : next.members()) {
      byName.put(member.id().name(), member.id());
      if (!member.id().name().equals(self.name())) {
        roll.learn(new Item.Fact(member.id(), member.address(), Item.Life.ALIVE), nowUs);
      }
    }
    highestGeneration = Math.max(highestGeneration, next.generation());
    heardOfViewUs = nowUs;
    overSinceUs = Peer.NEVER;
    wanted = new Change(List.of(), List.of());
    wantedUs = nowUs;
    changedUs = nowUs;
    raiseUs = nowUs + RAISE_US + RAISE_US;
    agreement = new Agreement(next, self);
  }

  // ---------------------------------------------------------------- what others hold

  /** Somebody holds that view. True if this courier wants to know all of it. */
  boolean wants(final ViewMark other, final long nowUs) {
    if (!other.exists()) {
      return false;
    }
    highestGeneration = Math.max(highestGeneration, other.generation());
    if (overLines.contains(other.founder())) {
      return false;
    }
    heardOfViewUs = nowUs;
    if (view != null && !other.isSameLine(view.mark())) {
      otherLineUs = nowUs;
    }
    if (view == null || other.isSameLine(view.mark())) {
      return view == null || other.number() > view.number() + KEPT / 2;
    }
    return overSinceUs != Peer.NEVER || other.isBetterThan(view.mark());
  }

  /** The changes that lead on from a view; empty if they are not known here any more. */
  List<Item> changesFrom(final ViewMark theirs) {
    final List<Item> changes = new ArrayList<>();
    if (view == null || !theirs.isSameLine(view.mark())) {
      return changes;
    }
    int bytes = 0;
    boolean begun = false;
    for (final Map.Entry<ViewMark, Change> one : kept.entrySet()) {
      begun |= one.getKey().equals(theirs);
      if (begun && one.getKey().isSameLine(theirs)) {
        final Item.Decided decided = new Item.Decided(one.getKey(), one.getValue());
        bytes += decided.bytes();
        if (bytes > Packet.MOST_ITEM_BYTES) {
          break;
        }
        changes.add(decided);
      }
    }
    return changes;
  }

  /** A whole view: taken over if it is the same line's later one, or a better line's. */
  void onFull(final View other, final long nowUs) {
    if (other == null
        || (!wants(other.mark(), nowUs)
            && !(view != null
                && other.mark().isSameLine(view.mark())
                && other.number() > view.number()))) {
      return;
    }
    final boolean moves = view != null && !other.mark().isSameLine(view.mark()) && view.has(self);
    final boolean out =
        view != null && other.mark().isSameLine(view.mark()) && view.has(self) && !other.has(self);
    final View before = view;
    if (moves || out) {
      // Whoever may have voted there is not the one who votes here.
      self = port.beginAgain();
    }
    install(other, nowUs);
    if (before != null && before.mark().isSameLine(other.mark())) {
      for (final Member member : before.members()) {
        if (!other.has(member.id())) {
          bury(member.id(), nowUs);
        }
      }
    }
    port.event(
        PeerEvent.Kind.VIEW,
        "",
        describe() + (moves ? ", a better line than ours" : ", told by another"));
  }

  /** A decided change. True if it led on from the view that is held here. */
  boolean onDecided(final Item.Decided decided, final long nowUs) {
    if (view == null || !decided.of().equals(view.mark())) {
      return false;
    }
    kept.put(decided.of(), decided.change());
    if (kept.size() > KEPT) {
      kept.remove(kept.keySet().iterator().next());
    }
    final View next = view.after(decided.change(), rules.committee());
    final boolean out = view.has(self) && !next.has(self);
    if (out) {
      self = port.beginAgain();
    }
    install(next, nowUs);
    decided.change().removed().forEach(id -> bury(id, nowUs));
    port.spread(decided);
    port.event(PeerEvent.Kind.VIEW, "", describe() + ": " + describe(decided.change()));
    return true;
  }

  /** One that is out of the view by agreement. */
  private void bury(final PeerId id, final long nowUs) {
    final Peer peer = roll.get(id.name());
    if (peer != null && peer.id.equals(id) && peer.isAlive()) {
      final Item.Fact fact = new Item.Fact(id, peer.address, Item.Life.DEAD);
      roll.learn(fact, nowUs);
      port.spread(fact);
    }
  }

  private String describe() {
    return "view " + view.generation() + "." + view.number() + " of " + view.members().size();
  }

  private static String describe(final Change change) {
    final StringBuilder text = new StringBuilder();
    change.removed().forEach(id -> text.append(" -").append(id.name()));
    change.added().forEach(member -> text.append(" +").append(member.id().name()));
    return text.length() == 0 ? "no change" : text.substring(1);
  }

  // ---------------------------------------------------------------- the agreement

  /** A vote; the answer to it, or null. */
  Item.Vote onVote(final PeerId from, final Item.Vote vote, final long nowUs) {
    if (agreement == null) {
      return null;
    }
    final Item.Vote answer = agreement.onVote(from, vote, change -> isAcceptable(change, nowUs));
    settle(nowUs);
    return answer;
  }

  private void settle(final long nowUs) {
    final Change decided = agreement.decided();
    if (decided != null) {
      onDecided(new Item.Decided(view.mark(), decided), nowUs);
    }
  }

  /**
   * True unless this member knows better: it had a sign of one that is to go for silence, or sees
   * itself out.
   */
  private boolean isAcceptable(final Change change, final long nowUs) {
    for (final PeerId id : change.removed()) {
      final Peer peer = roll.get(id.name());
      final boolean knownToGo =
          peer != null && (!peer.id.equals(id) || !peer.isAlive() || roll.isOver(peer, nowUs));
      final boolean heard =
          id.equals(self)
              || (peer != null
                  && peer.ends == 0
                  && nowUs - Math.max(peer.heardUs, peer.beatUs) < rules.deadUs() - ABOUT_US);
      if (!knownToGo && heard) {
        return false;
      }
    }
    return true;
  }

  void tick(final long nowUs) {
    if (view == null) {
      stand(Standing.FORMING, 0);
      found(nowUs, false);
      return;
    }
    measure(nowUs);
    if (isLineOver(nowUs)) {
      overSinceUs = overSinceUs == Peer.NEVER ? nowUs : overSinceUs;
      overLines.add(view.founder());
      // Who is not of it leaves it to those who are, unless none of them is left.
      if (nowUs - overSinceUs >= (has(self) ? 1 : STRANGERS) * rules.foundUs()) {
        found(nowUs, true);
      }
      return;
    }
    overSinceUs = Peer.NEVER;
    if (standing != Standing.MAJORITY || !agreement.mayPropose()) {
      return;
    }
    final Change next = wanted(nowUs);
    if (!next.equals(wanted)) {
      if (wanted.isEmpty()) {
        wantedUs = nowUs;
      }
      wanted = next;
      changedUs = nowUs;
    }
    drive(nowUs);
  }

  private void drive(final long nowUs) {
    if (agreement.isProposing()) {
      if (nowUs >= raiseUs && (agreement.isOutbid() || nowUs >= raiseUs + RAISE_US)) {
        agreement.raise(wanted);
        raiseUs = nowUs + RAISE_US + port.lot(RAISE_US);
        repeatUs = nowUs;
      }
    } else if (!wanted.isEmpty()
        && (nowUs - changedUs >= SETTLE_US || nowUs - wantedUs >= SETTLE_MOST_US)
        && nowUs - wantedUs >= SETTLE_US + rank(nowUs) * RANK_US) {
      agreement.propose(wanted);
      raiseUs = nowUs + RAISE_US + port.lot(RAISE_US);
      repeatUs = nowUs;
    }
    if (agreement.isProposing() && nowUs >= repeatUs) {
      repeatUs = nowUs + REPEAT_US;
      send(nowUs);
    }
  }

  /** Says what is pending, to others by datagram and to itself at once. */
  private void send(final long nowUs) {
    final Agreement current = agreement;
    for (final Agreement.Letter letter : current.pending()) {
      if (letter.to().equals(self)) {
        final Item.Vote answer =
            current.onVote(self, letter.vote(), change -> isAcceptable(change, nowUs));
        if (answer != null) {
          current.onVote(self, answer, change -> false);
        }
      } else {
        for (final Member member : view.members()) {
          if (member.id().equals(letter.to())) {
            port.vote(member, letter.vote());
          }
        }
      }
    }
    settle(nowUs);
  }

  /** Its place among those of the committee that can propose. */
  private int rank(final long nowUs) {
    int rank = 0;
    for (final PeerId id : view.committee()) {
      if (id.equals(self)) {
        return rank;
      }
      final Peer peer = roll.get(id.name());
      rank +=
          peer != null && peer.id.equals(id) && peer.isAlive() && !roll.isSuspect(peer, nowUs)
              ? 1
              : 0;
    }
    return rank;
  }

  /** What the next view should change, by what is known now. */
  private Change wanted(final long nowUs) {
    final List<PeerId> removed = new ArrayList<>();
    final List<Member> added = new ArrayList<>();
    int bytes = 0;
    for (final Member member : view.members()) {
      final Peer peer = roll.get(member.id().name());
      if (!member.id().equals(self) && peer != null && isToGo(peer, member.id(), nowUs)) {
        bytes += member.id().name().length() + 12;
        if (bytes > MOST_CHANGE_BYTES) {
          return new Change(removed, added);
        }
        removed.add(member.id());
      }
    }
    if (!has(self)) {
      added.add(new Member(self, address));
    }
    for (final Peer peer : roll.living()) {
      if (!has(peer.id)
          && peer.beats >= 2
          && nowUs - peer.beatUs <= rules.freshUs()
          && !roll.isOver(peer, nowUs)) {
        bytes += peer.id.name().length() + peer.address.length() + 16;
        if (bytes > MOST_CHANGE_BYTES) {
          break;
        }
        added.add(new Member(peer.id, peer.address));
      }
    }
    return new Change(removed, added);
  }

  private boolean isToGo(final Peer peer, final PeerId id, final long nowUs) {
    return !peer.id.equals(id)
        || !peer.isAlive()
        || roll.isOver(peer, nowUs)
        || roll.isSilentTooLong(peer, self.name(), nowUs);
  }

  // ---------------------------------------------------------------- standing

  private void measure(final long nowUs) {
    int heard = 0;
    for (final Member member : view.members()) {
      if (member.id().equals(self)) {
        heard++;
        continue;
      }
      final Peer peer = roll.get(member.id().name());
      heard +=
          peer != null
                  && peer.id.equals(member.id())
                  && peer.isAlive()
                  && !roll.isSuspect(peer, nowUs)
              ? 1
              : 0;
    }
    int lost = 0;
    int asked = 0;
    for (final Peer peer : watch.watched()) {
      if (has(peer.id)) {
        asked++;
        lost += roll.isSuspect(peer, nowUs) ? 1 : 0;
      }
    }
    final int size = view.members().size();
    final boolean few =
        2 * heard <= size || (size > rules.watched() + 1 && lost > LOST_SHARE * asked);
    if (!has(self)) {
      stand(Standing.FORMING, heard);
    } else if (size > 1 && (heard <= 1 || (asked > 0 && lost == asked))) {
      stand(Standing.ALONE, heard);
    } else {
      stand(few ? Standing.MINORITY : Standing.MAJORITY, heard);
    }
  }

  private void stand(final Standing next, final int heard) {
    reached = heard;
    if (next != standing) {
      standing = next;
      port.event(
          PeerEvent.Kind.STANDING,
          "",
          switch (next) {
            case FORMING -> "belongs to no view yet";
            case MAJORITY -> "hears a majority: " + heard + " of " + view.members().size();
            case MINORITY -> "hears no majority: " + heard + " of " + view.members().size();
            case ALONE -> "hears nobody of " + view.members().size();
            case CONFLICT -> "its name is another's";
          });
    }
  }

  /** True if so many of the committee are over that no view can follow this one. */
  private boolean isLineOver(final long nowUs) {
    int over = 0;
    for (final PeerId id : view.committee()) {
      final Peer peer = roll.get(id.name());
      final boolean mine = id.name().equals(self.name());
      over +=
          mine
              ? id.equals(self) ? 0 : 1
              : peer == null || !peer.id.equals(id) || !peer.isAlive() || roll.isOver(peer, nowUs)
                  ? 1
                  : 0;
    }
    return view.committee().size() - over < view.majority();
  }

  /**
   * Founds a line, if it falls to this courier: nobody who can be heard holds one, and none of them
   * has a lesser name.
   */
  private void found(final long nowUs, final boolean survivor) {
    if (survivor ? nowUs - otherLineUs < rules.foundUs() : nowUs - heardOfViewUs < foundUs) {
      return;
    }
    for (final Peer peer : roll.living()) {
      final boolean counts = !survivor || !has(self) || has(peer.id);
      if (counts
          && peer.id.name().compareTo(self.name()) < 0
          && nowUs - peer.beatUs <= rules.freshUs()) {
        return;
      }
    }
    if (view != null && view.has(self)) {
      self = port.beginAgain();
    }
    install(
        View.found(
            highestGeneration + 1, 1 + port.lot(Long.MAX_VALUE - 1), new Member(self, address)),
        nowUs);
    port.event(
        PeerEvent.Kind.VIEW,
        "",
        describe() + ": founded here" + (survivor ? ", since the last line is over" : ""));
  }
}

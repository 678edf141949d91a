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
 * ({@link PaxosInstance}). Where that majority is over for good, no view can follow, and a survivor
 * founds another line.
 */
final class ViewManager {
  /**
   * A change waits until nothing was added to it for so long, us, but no longer than that: one
   * trouble is one view.
   */
  private static final long SETTLE_US = 200_000;

  private static final long MAX_SETTLE_US = 600_000;

  /** How much later the next of the committee proposes, us. */
  private static final long PROPOSER_RANK_DELAY_US = 1_500_000;

  private static final long RESEND_INTERVAL_US = 100_000;

  /** A ballot without a decision for so long, us, is raised; by up to as much later, by lot. */
  private static final long BALLOT_TIMEOUT_US = 1_000_000;

  /** Bytes of a change: a datagram carries it beside a vote's head. */
  private static final int MAX_CHANGE_BYTES = 700;

  /** Changes that are kept for those who missed one. */
  private static final int MAX_RECENT_DECISIONS = 64;

  /**
   * An acceptor that had a sign of one within the time of silence but for this, us, does not agree
   * that it is silent.
   */
  private static final long SILENCE_TOLERANCE_US = 1_000_000;

  /** So much later one founds a line after one that is over and that was never its own. */
  private static final int NON_MEMBER_FOUNDING_FACTOR = 4;

  /**
   * Of those that a courier watches, so many lost are a sign that it is nearly alone in a large
   * fleet.
   */
  private static final double ISOLATION_RATIO = 0.75;

  private final GossipSettings settings;
  private final MembershipTable table;
  private final FailureDetector failureDetector;
  private final Context context;
  private final Map<ViewId, ViewChange> recentDecisions = new LinkedHashMap<>();
  private final Set<Long> lostLineages = new HashSet<>();
  private PeerId self;
  private final String address;
  private View view;
  private PaxosInstance paxos;
  private Map<String, PeerId> memberIdsByName = Map.of();
  private ViewChange desiredChange = new ViewChange(List.of(), List.of());
  private long desiredSinceUs;
  private long desiredChangedUs;
  private long nextResendUs;
  private long nextBallotUs;
  private long quorumLostSinceUs = Peer.NEVER;
  private long lastViewHeardUs;

  /** When another line than its own was heard of, one that is not known to be over. */
  private long otherLineageHeardUs = Peer.NEVER;

  /** How long it waits to hear of a view before it founds one. */
  private final long foundingDelayUs;

  private long highestGeneration;
  private MembershipStatus status = MembershipStatus.FORMING;
  private int reachableMembers;

  /** What it needs of the whole. */
  interface Context {
    /** A vote for another member. */
    void sendPaxosMessage(ViewMember to, GossipItem.PaxosMessage vote);

    /** Something that all are to know. */
    void spread(GossipItem item);

    /** This life is out of the view, or leaves its line: another one is to begin. */
    PeerId startNextIncarnation();

    /** A number below the bound, by lot. */
    long randomBelow(long bound);

    /** For operators. */
    void publishEvent(PeerEvent.Type kind, String who, String text);
  }

  /**
   * {@code place}: of its address among the seeds; who stands behind others there leaves founding
   * to them for longer.
   */
  ViewManager(
      final GossipSettings rules,
      final MembershipTable roll,
      final FailureDetector watch,
      final PeerId self,
      final String address,
      final int place,
      final long nowUs,
      final Context port) {
    this.settings = rules;
    this.foundingDelayUs = (1 + place) * rules.foundingDelayUs();
    this.table = roll;
    this.failureDetector = watch;
    this.self = self;
    this.address = address;
    this.context = port;
    this.lastViewHeardUs = nowUs;
  }

  View view() {
    return view;
  }

  ViewId viewId() {
    return view == null ? ViewId.NONE : view.viewId();
  }

  MembershipStatus status() {
    return status;
  }

  /** How many members of the view are heard of, this courier among them. */
  int reachableMembers() {
    return reachableMembers;
  }

  /** True if that life is a member. */
  boolean isMember(final PeerId id) {
    return id.equals(memberIdsByName.get(id.name()));
  }

  /** Another life of this courier: it has promised nothing, and belongs to no committee. */
  void startIncarnation(final PeerId next) {
    self = next;
    paxos = view == null ? null : new PaxosInstance(view, next);
  }

  private void install(final View next, final long nowUs) {
    view = next;
    memberIdsByName = new HashMap<>();
    for (final ViewMember member : next.members()) {
      memberIdsByName.put(member.id().name(), member.id());
      if (!member.id().name().equals(self.name())) {
        table.applyUpdate(
            new GossipItem.MemberUpdate(member.id(), member.address(), GossipItem.Liveness.ALIVE),
            nowUs);
      }
    }
    highestGeneration = Math.max(highestGeneration, next.generation());
    lastViewHeardUs = nowUs;
    quorumLostSinceUs = Peer.NEVER;
    desiredChange = new ViewChange(List.of(), List.of());
    desiredSinceUs = nowUs;
    desiredChangedUs = nowUs;
    nextBallotUs = nowUs + BALLOT_TIMEOUT_US + BALLOT_TIMEOUT_US;
    paxos = new PaxosInstance(next, self);
  }

  // ---------------------------------------------------------------- what others hold

  /** Somebody holds that view. True if this courier wants to know all of it. */
  boolean wantsFullState(final ViewId other, final long nowUs) {
    if (!other.isPresent()) {
      return false;
    }
    highestGeneration = Math.max(highestGeneration, other.generation());
    if (lostLineages.contains(other.founder())) {
      return false;
    }
    lastViewHeardUs = nowUs;
    if (view != null && !other.isSameLineage(view.viewId())) {
      otherLineageHeardUs = nowUs;
    }
    if (view == null || other.isSameLineage(view.viewId())) {
      return view == null || other.number() > view.number() + MAX_RECENT_DECISIONS / 2;
    }
    return quorumLostSinceUs != Peer.NEVER || other.isPreferredOver(view.viewId());
  }

  /** The changes that lead on from a view; empty if they are not known here any more. */
  List<GossipItem> decisionsSince(final ViewId theirs) {
    final List<GossipItem> changes = new ArrayList<>();
    if (view == null || !theirs.isSameLineage(view.viewId())) {
      return changes;
    }
    int bytes = 0;
    boolean begun = false;
    for (final Map.Entry<ViewId, ViewChange> one : recentDecisions.entrySet()) {
      begun |= one.getKey().equals(theirs);
      if (begun && one.getKey().isSameLineage(theirs)) {
        final GossipItem.ViewDecision decided =
            new GossipItem.ViewDecision(one.getKey(), one.getValue());
        bytes += decided.maxBytes();
        if (bytes > Packet.MAX_ITEM_BYTES) {
          break;
        }
        changes.add(decided);
      }
    }
    return changes;
  }

  /** A whole view: taken over if it is the same line's later one, or a better line's. */
  void onFullView(final View other, final long nowUs) {
    if (other == null
        || (!wantsFullState(other.viewId(), nowUs)
            && !(view != null
                && other.viewId().isSameLineage(view.viewId())
                && other.number() > view.number()))) {
      return;
    }
    final boolean moves =
        view != null && !other.viewId().isSameLineage(view.viewId()) && view.contains(self);
    final boolean out =
        view != null
            && other.viewId().isSameLineage(view.viewId())
            && view.contains(self)
            && !other.contains(self);
    final View before = view;
    if (moves || out) {
      // Whoever may have voted there is not the one who votes here.
      self = context.startNextIncarnation();
    }
    install(other, nowUs);
    if (before != null && before.viewId().isSameLineage(other.viewId())) {
      for (final ViewMember member : before.members()) {
        if (!other.contains(member.id())) {
          markDead(member.id(), nowUs);
        }
      }
    }
    context.publishEvent(
        PeerEvent.Type.VIEW,
        "",
        describe() + (moves ? ", a better line than ours" : ", told by another"));
  }

  /** A decided change. True if it led on from the view that is held here. */
  boolean onDecision(final GossipItem.ViewDecision decided, final long nowUs) {
    if (view == null || !decided.viewId().equals(view.viewId())) {
      return false;
    }
    recentDecisions.put(decided.viewId(), decided.change());
    if (recentDecisions.size() > MAX_RECENT_DECISIONS) {
      recentDecisions.remove(recentDecisions.keySet().iterator().next());
    }
    final View next = view.next(decided.change(), settings.committeeSize());
    final boolean out = view.contains(self) && !next.contains(self);
    if (out) {
      self = context.startNextIncarnation();
    }
    install(next, nowUs);
    decided.change().removed().forEach(id -> markDead(id, nowUs));
    context.spread(decided);
    context.publishEvent(PeerEvent.Type.VIEW, "", describe() + ": " + describe(decided.change()));
    return true;
  }

  /** One that is out of the view by agreement. */
  private void markDead(final PeerId id, final long nowUs) {
    final Peer peer = table.find(id.name());
    if (peer != null && peer.id.equals(id) && peer.isAlive()) {
      final GossipItem.MemberUpdate fact =
          new GossipItem.MemberUpdate(id, peer.address, GossipItem.Liveness.DEAD);
      table.applyUpdate(fact, nowUs);
      context.spread(fact);
    }
  }

  private String describe() {
    return "view " + view.generation() + "." + view.number() + " of " + view.members().size();
  }

  private static String describe(final ViewChange change) {
    final StringBuilder text = new StringBuilder();
    change.removed().forEach(id -> text.append(" -").append(id.name()));
    change.added().forEach(member -> text.append(" +").append(member.id().name()));
    return text.length() == 0 ? "no change" : text.substring(1);
  }

  // ---------------------------------------------------------------- the agreement

  /** A vote; the answer to it, or null. */
  GossipItem.PaxosMessage onPaxosMessage(
      final PeerId from, final GossipItem.PaxosMessage vote, final long nowUs) {
    if (paxos == null) {
      return null;
    }
    final GossipItem.PaxosMessage answer =
        paxos.onMessage(from, vote, change -> isAcceptable(change, nowUs));
    applyDecision(nowUs);
    return answer;
  }

  private void applyDecision(final long nowUs) {
    final ViewChange decided = paxos.decided();
    if (decided != null) {
      onDecision(new GossipItem.ViewDecision(view.viewId(), decided), nowUs);
    }
  }

  /**
   * True unless this member knows better: it had a sign of one that is to go for silence, or sees
   * itself out.
   */
  private boolean isAcceptable(final ViewChange change, final long nowUs) {
    for (final PeerId id : change.removed()) {
      final Peer peer = table.find(id.name());
      final boolean knownToGo =
          peer != null
              && (!peer.id.equals(id) || !peer.isAlive() || table.isConfirmedEnded(peer, nowUs));
      final boolean heard =
          id.equals(self)
              || (peer != null
                  && peer.failedConnections == 0
                  && nowUs - Math.max(peer.lastReceivedUs, peer.heartbeatUs)
                      < settings.deathTimeoutUs() - SILENCE_TOLERANCE_US);
      if (!knownToGo && heard) {
        return false;
      }
    }
    return true;
  }

  void tick(final long nowUs) {
    if (view == null) {
      setStatus(MembershipStatus.FORMING, 0);
      foundLineageIfDue(nowUs, false);
      return;
    }
    updateStatus(nowUs);
    if (isQuorumLost(nowUs)) {
      quorumLostSinceUs = quorumLostSinceUs == Peer.NEVER ? nowUs : quorumLostSinceUs;
      lostLineages.add(view.founder());
      // Who is not of it leaves it to those who are, unless none of them is left.
      if (nowUs - quorumLostSinceUs
          >= (isMember(self) ? 1 : NON_MEMBER_FOUNDING_FACTOR) * settings.foundingDelayUs()) {
        foundLineageIfDue(nowUs, true);
      }
      return;
    }
    quorumLostSinceUs = Peer.NEVER;
    if (status != MembershipStatus.MAJORITY || !paxos.isCommitteeMember()) {
      return;
    }
    final ViewChange next = nextDesiredChange(nowUs);
    if (!next.equals(desiredChange)) {
      if (desiredChange.isEmpty()) {
        desiredSinceUs = nowUs;
      }
      desiredChange = next;
      desiredChangedUs = nowUs;
    }
    advanceProposal(nowUs);
  }

  private void advanceProposal(final long nowUs) {
    if (paxos.isProposing()) {
      if (nowUs >= nextBallotUs
          && (paxos.isBallotSuperseded() || nowUs >= nextBallotUs + BALLOT_TIMEOUT_US)) {
        paxos.startHigherBallot(desiredChange);
        nextBallotUs = nowUs + BALLOT_TIMEOUT_US + context.randomBelow(BALLOT_TIMEOUT_US);
        nextResendUs = nowUs;
      }
    } else if (!desiredChange.isEmpty()
        && (nowUs - desiredChangedUs >= SETTLE_US || nowUs - desiredSinceUs >= MAX_SETTLE_US)
        && nowUs - desiredSinceUs >= SETTLE_US + proposerRank(nowUs) * PROPOSER_RANK_DELAY_US) {
      paxos.propose(desiredChange);
      nextBallotUs = nowUs + BALLOT_TIMEOUT_US + context.randomBelow(BALLOT_TIMEOUT_US);
      nextResendUs = nowUs;
    }
    if (paxos.isProposing() && nowUs >= nextResendUs) {
      nextResendUs = nowUs + RESEND_INTERVAL_US;
      sendOutstandingMessages(nowUs);
    }
  }

  /** Says what is pending, to others by datagram and to itself at once. */
  private void sendOutstandingMessages(final long nowUs) {
    final PaxosInstance current = paxos;
    for (final PaxosInstance.AddressedMessage letter : current.outstandingMessages()) {
      if (letter.to().equals(self)) {
        final GossipItem.PaxosMessage answer =
            current.onMessage(self, letter.message(), change -> isAcceptable(change, nowUs));
        if (answer != null) {
          current.onMessage(self, answer, change -> false);
        }
      } else {
        for (final ViewMember member : view.members()) {
          if (member.id().equals(letter.to())) {
            context.sendPaxosMessage(member, letter.message());
          }
        }
      }
    }
    applyDecision(nowUs);
  }

  /** Its place among those of the committee that can propose. */
  private int proposerRank(final long nowUs) {
    int rank = 0;
    for (final PeerId id : view.committee()) {
      if (id.equals(self)) {
        return rank;
      }
      final Peer peer = table.find(id.name());
      rank +=
          peer != null && peer.id.equals(id) && peer.isAlive() && !table.isSuspect(peer, nowUs)
              ? 1
              : 0;
    }
    return rank;
  }

  /** What the next view should change, by what is known now. */
  private ViewChange nextDesiredChange(final long nowUs) {
    final List<PeerId> removed = new ArrayList<>();
    final List<ViewMember> added = new ArrayList<>();
    int bytes = 0;
    for (final ViewMember member : view.members()) {
      final Peer peer = table.find(member.id().name());
      if (!member.id().equals(self) && peer != null && shouldRemove(peer, member.id(), nowUs)) {
        bytes += member.id().name().length() + 12;
        if (bytes > MAX_CHANGE_BYTES) {
          return new ViewChange(removed, added);
        }
        removed.add(member.id());
      }
    }
    if (!isMember(self)) {
      added.add(new ViewMember(self, address));
    }
    for (final Peer peer : table.alive()) {
      if (!isMember(peer.id)
          && peer.heartbeatAdvances >= 2
          && nowUs - peer.heartbeatUs <= settings.heartbeatFreshnessUs()
          && !table.isConfirmedEnded(peer, nowUs)) {
        bytes += peer.id.name().length() + peer.address.length() + 16;
        if (bytes > MAX_CHANGE_BYTES) {
          break;
        }
        added.add(new ViewMember(peer.id, peer.address));
      }
    }
    return new ViewChange(removed, added);
  }

  private boolean shouldRemove(final Peer peer, final PeerId id, final long nowUs) {
    return !peer.id.equals(id)
        || !peer.isAlive()
        || table.isConfirmedEnded(peer, nowUs)
        || table.isConfirmedUnreachable(peer, self.name(), nowUs);
  }

  // ---------------------------------------------------------------- standing

  private void updateStatus(final long nowUs) {
    int heard = 0;
    for (final ViewMember member : view.members()) {
      if (member.id().equals(self)) {
        heard++;
        continue;
      }
      final Peer peer = table.find(member.id().name());
      heard +=
          peer != null
                  && peer.id.equals(member.id())
                  && peer.isAlive()
                  && !table.isSuspect(peer, nowUs)
              ? 1
              : 0;
    }
    int lost = 0;
    int asked = 0;
    for (final Peer peer : failureDetector.monitored()) {
      if (isMember(peer.id)) {
        asked++;
        lost += table.isSuspect(peer, nowUs) ? 1 : 0;
      }
    }
    final int size = view.members().size();
    final boolean few =
        2 * heard <= size || (size > settings.maxMonitored() + 1 && lost > ISOLATION_RATIO * asked);
    if (!isMember(self)) {
      setStatus(MembershipStatus.FORMING, heard);
    } else if (size > 1 && (heard <= 1 || (asked > 0 && lost == asked))) {
      setStatus(MembershipStatus.ALONE, heard);
    } else {
      setStatus(few ? MembershipStatus.MINORITY : MembershipStatus.MAJORITY, heard);
    }
  }

  private void setStatus(final MembershipStatus next, final int heard) {
    reachableMembers = heard;
    if (next != status) {
      status = next;
      context.publishEvent(
          PeerEvent.Type.MEMBERSHIP_STATUS,
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
  private boolean isQuorumLost(final long nowUs) {
    int over = 0;
    for (final PeerId id : view.committee()) {
      final Peer peer = table.find(id.name());
      final boolean mine = id.name().equals(self.name());
      over +=
          mine
              ? id.equals(self) ? 0 : 1
              : peer == null
                      || !peer.id.equals(id)
                      || !peer.isAlive()
                      || table.isConfirmedEnded(peer, nowUs)
                  ? 1
                  : 0;
    }
    return view.committee().size() - over < view.majority();
  }

  /**
   * Founds a line, if it falls to this courier: nobody who can be heard holds one, and none of them
   * has a lesser name.
   */
  private void foundLineageIfDue(final long nowUs, final boolean survivor) {
    if (survivor
        ? nowUs - otherLineageHeardUs < settings.foundingDelayUs()
        : nowUs - lastViewHeardUs < foundingDelayUs) {
      return;
    }
    for (final Peer peer : table.alive()) {
      final boolean counts = !survivor || !isMember(self) || isMember(peer.id);
      if (counts
          && peer.id.name().compareTo(self.name()) < 0
          && nowUs - peer.heartbeatUs <= settings.heartbeatFreshnessUs()) {
        return;
      }
    }
    if (view != null && view.contains(self)) {
      self = context.startNextIncarnation();
    }
    install(
        View.founded(
            highestGeneration + 1,
            1 + context.randomBelow(Long.MAX_VALUE - 1),
            new ViewMember(self, address)),
        nowUs);
    context.publishEvent(
        PeerEvent.Type.VIEW,
        "",
        describe() + ": founded here" + (survivor ? ", since the last line is over" : ""));
  }
}

package thistleturn.decisions.peers;

import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * This courier's part in the agreement on the change that follows the installed view: when it
 * proposes which change, and when it sends again or starts a higher ballot.
 */
final class ViewProposer {
  /**
   * A change is proposed once nothing was added to it for so long, so that one fault makes one
   * view.
   */
  private static final long SETTLE_US = 200_000;

  /** A change that keeps growing is proposed after this time all the same. */
  private static final long MAX_SETTLE_US = 600_000;

  /** How much later than its predecessor in the committee each member proposes. */
  private static final long PROPOSER_RANK_DELAY_US = 1_500_000;

  private static final long RESEND_INTERVAL_US = 100_000;

  /**
   * A ballot without a decision is superseded after this time, and a random delay of up to as much
   * again.
   */
  private static final long BALLOT_TIMEOUT_US = 1_000_000;

  private final ViewManager.Context context;
  private final IndexedView view;
  private PeerId self;
  private PaxosInstance paxos;
  private ViewChange desiredChange = ViewChange.NONE;
  private long desiredSinceUs;
  private long desiredChangedUs;
  private long nextResendUs;
  private long nextBallotUs;

  /** Starts the agreement on what follows a view that was just installed. */
  ViewProposer(
      final IndexedView view,
      final PeerId self,
      final long nowUs,
      final ViewManager.Context context) {
    this.context = context;
    this.view = view;
    this.self = self;
    this.paxos = new PaxosInstance(view.view(), self);
    this.desiredSinceUs = nowUs;
    this.desiredChangedUs = nowUs;
    this.nextBallotUs = nowUs + 2 * BALLOT_TIMEOUT_US;
  }

  /**
   * Continues under another incarnation of this courier, which has promised nothing and belongs to
   * no committee.
   */
  void startIncarnation(final PeerId next) {
    self = next;
    paxos = new PaxosInstance(view.view(), next);
  }

  /** Returns true if this courier belongs to the committee. */
  boolean mayPropose() {
    return paxos.isCommitteeMember();
  }

  /** Returns the decided change; null: none yet. */
  ViewChange decided() {
    return paxos.decided();
  }

  /** Applies a message of another member. Returns the answer, or null. */
  GossipItem.PaxosMessage onMessage(
      final PeerId from,
      final GossipItem.PaxosMessage message,
      final Predicate<ViewChange> acceptable) {
    return paxos.onMessage(from, message, acceptable);
  }

  /** Records how the view should change by what is known now. */
  void updateDesiredChange(final ViewChange next, final long nowUs) {
    if (next.equals(desiredChange)) {
      return;
    }
    if (desiredChange.isEmpty()) {
      desiredSinceUs = nowUs;
    }
    desiredChange = next;
    desiredChangedUs = nowUs;
  }

  /** Proposes, starts a higher ballot and sends, as far as each is due. */
  void tick(
      final IntSupplier proposerRank, final Predicate<ViewChange> acceptable, final long nowUs) {
    if (paxos.isProposing()) {
      startHigherBallotIfDue(nowUs);
    } else if (isProposalDue(proposerRank, nowUs)) {
      paxos.propose(desiredChange);
      scheduleBallot(nowUs);
    }
    if (paxos.isProposing() && nowUs >= nextResendUs) {
      nextResendUs = nowUs + RESEND_INTERVAL_US;
      sendOutstandingMessages(acceptable);
    }
  }

  private void startHigherBallotIfDue(final long nowUs) {
    final boolean isDue = nowUs >= nextBallotUs;
    if (isDue && (paxos.isBallotSuperseded() || nowUs >= nextBallotUs + BALLOT_TIMEOUT_US)) {
      paxos.startHigherBallot(desiredChange);
      scheduleBallot(nowUs);
    }
  }

  private boolean isProposalDue(final IntSupplier proposerRank, final long nowUs) {
    if (desiredChange.isEmpty()) {
      return false;
    }
    final long waitedUs = nowUs - desiredSinceUs;
    final boolean hasSettled = nowUs - desiredChangedUs >= SETTLE_US || waitedUs >= MAX_SETTLE_US;
    return hasSettled && waitedUs >= SETTLE_US + proposerRank.getAsInt() * PROPOSER_RANK_DELAY_US;
  }

  private void scheduleBallot(final long nowUs) {
    nextBallotUs = nowUs + BALLOT_TIMEOUT_US + context.randomBelow(BALLOT_TIMEOUT_US);
    nextResendUs = nowUs;
  }

  /** Sends what is outstanding: to others by packets, to itself at once. */
  private void sendOutstandingMessages(final Predicate<ViewChange> acceptable) {
    for (final PaxosInstance.AddressedMessage outgoing : paxos.outstandingMessages()) {
      if (outgoing.to().equals(self)) {
        deliverToSelf(outgoing.message(), acceptable);
        continue;
      }
      for (final ViewMember member : view.members()) {
        if (member.id().equals(outgoing.to())) {
          context.sendPaxosMessage(member, outgoing.message());
        }
      }
    }
  }

  private void deliverToSelf(
      final GossipItem.PaxosMessage message, final Predicate<ViewChange> acceptable) {
    final GossipItem.PaxosMessage answer = paxos.onMessage(self, message, acceptable);
    if (answer != null) {
      paxos.onMessage(self, answer, change -> false);
    }
  }
}

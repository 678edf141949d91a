package thistleturn.decisions.peers;

import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Drives this courier's Paxos instance for the change that follows the installed view: determines
 * when it proposes, resends or starts a higher ballot.
 */
final class ViewProposer {
  /**
   * A change is proposed once it has not changed for this long, so that one fault leads to one new
   * view.
   */
  private static final long SETTLE_US = 200_000;

  /** A change that keeps changing is proposed after this time nevertheless. */
  private static final long MAX_SETTLE_US = 600_000;

  /** The delay between the proposals of successive members of the committee. */
  private static final long PROPOSER_RANK_DELAY_US = 1_500_000;

  private static final long RESEND_INTERVAL_US = 100_000;

  /**
   * A ballot without a decision may be superseded after this time plus a random delay of up to the
   * same length.
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

  /** Starts the agreement on the change that follows a newly installed view. */
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
   * Continues under another incarnation of this courier, which has made no promises and belongs to
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

  /** Returns the decided change, or null if there is none yet. */
  ViewChange decided() {
    return paxos.decided();
  }

  /** Applies a message of another member. Returns the answer, or null if there is none. */
  GossipItem.PaxosMessage onMessage(
      final PeerId from,
      final GossipItem.PaxosMessage message,
      final Predicate<ViewChange> acceptable) {
    return paxos.onMessage(from, message, acceptable);
  }

  /** Records the view change that the current knowledge calls for. */
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

  /** Proposes, starts a higher ballot and sends messages, each if due. */
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

  /** Sends outstanding messages, to other members in packets and to itself directly. */
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

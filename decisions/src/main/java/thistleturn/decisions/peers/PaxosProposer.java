package thistleturn.decisions.peers;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The proposer of one Paxos instance. Ballot {@code round * committee + index} belongs to the
 * member at that index of the committee, and ballot 0 to the first: no acceptor can have accepted a
 * lower ballot, so ballot 0 needs no promises.
 */
final class PaxosProposer {
  /**
   * The phase of the proposer; it advances in this order, and returns from {@code PREPARING} or
   * {@code ACCEPTING} to {@code PREPARING} with each higher ballot.
   */
  private enum Phase {
    /** Nothing was proposed. */
    IDLE,
    /** A ballot is waiting for promises. */
    PREPARING,
    /** A change was determined for the ballot, which is waiting for acceptances. */
    ACCEPTING,
    /** A majority accepted the change. */
    DECIDED
  }

  private final View view;
  private final int committeeIndex;
  private final Set<PeerId> promisers = new HashSet<>();
  private final Set<PeerId> acceptors = new HashSet<>();
  private Phase phase = Phase.IDLE;
  private long ballot = PaxosInstance.NO_BALLOT;

  /** The change to propose if no promise reports one that an earlier ballot may have chosen. */
  private ViewChange preferredChange;

  /** The change that the ballot proposes, or null before it is determined. */
  private ViewChange proposedChange;

  /** True if an earlier ballot may have chosen the proposed change. */
  private boolean isValueBound;

  /** The highest ballot in any message, or started here. */
  private long highestSeenBallot = PaxosInstance.NO_BALLOT;

  /** The highest ballot under which a promise reports an accepted change. */
  private long highestReportedBallot = PaxosInstance.NO_BALLOT;

  PaxosProposer(final View view, final int committeeIndex) {
    this.view = view;
    this.committeeIndex = committeeIndex;
  }

  /** Copies the state of another proposer. */
  PaxosProposer(final PaxosProposer other) {
    this(other.view, other.committeeIndex);
    promisers.addAll(other.promisers);
    acceptors.addAll(other.acceptors);
    phase = other.phase;
    ballot = other.ballot;
    preferredChange = other.preferredChange;
    proposedChange = other.proposedChange;
    isValueBound = other.isValueBound;
    highestSeenBallot = other.highestSeenBallot;
    highestReportedBallot = other.highestReportedBallot;
  }

  /** Returns true while a ballot is in progress. */
  boolean isProposing() {
    return phase == Phase.PREPARING || phase == Phase.ACCEPTING;
  }

  /** Returns the decided change, or null if there is none yet. */
  ViewChange decided() {
    return phase == Phase.DECIDED ? proposedChange : null;
  }

  /** Records the ballot of a received message. */
  void recordSeenBallot(final long seen) {
    highestSeenBallot = Math.max(highestSeenBallot, seen);
  }

  /**
   * Returns true if a ballot higher than this proposer's is known, so that its ballot cannot
   * succeed.
   */
  boolean isBallotSuperseded() {
    return ballot != PaxosInstance.NO_BALLOT && highestSeenBallot > ballot;
  }

  // ---------------------------------------------------------------- proposing

  /** Starts proposing a change, unless a ballot was started before. */
  void propose(final ViewChange change) {
    if (phase != Phase.IDLE) {
      return;
    }
    if (committeeIndex == 0 && highestSeenBallot <= 0) {
      ballot = 0;
      preferredChange = change;
      proposedChange = change;
      phase = Phase.ACCEPTING;
    } else {
      startHigherBallot(change);
    }
  }

  /**
   * Starts a ballot higher than any seen, with that change if no earlier ballot may have chosen
   * one.
   */
  void startHigherBallot(final ViewChange change) {
    if (phase == Phase.DECIDED) {
      throw new IllegalStateException(
          "no ballot can follow a decision: " + phase + " to " + Phase.PREPARING);
    }
    final int committeeSize = view.committee().size();
    final long highest = Math.max(0, Math.max(highestSeenBallot, ballot));
    ballot = (highest / committeeSize + 1) * committeeSize + committeeIndex;
    phase = Phase.PREPARING;
    highestSeenBallot = ballot;
    preferredChange = change;
    proposedChange = null;
    isValueBound = false;
    highestReportedBallot = PaxosInstance.NO_BALLOT;
    promisers.clear();
    acceptors.clear();
  }

  /** Returns the message that a member of the committee is to be sent now, or null if none. */
  GossipItem.PaxosMessage outstandingFor(final PeerId member) {
    if (phase == Phase.PREPARING && !promisers.contains(member)) {
      return message(GossipItem.PaxosMessage.Type.PREPARE, null);
    }
    if (phase == Phase.ACCEPTING && !acceptors.contains(member)) {
      return message(
          isValueBound
              ? GossipItem.PaxosMessage.Type.ACCEPT_BOUND
              : GossipItem.PaxosMessage.Type.ACCEPT,
          proposedChange);
    }
    return null;
  }

  private GossipItem.PaxosMessage message(
      final GossipItem.PaxosMessage.Type type, final ViewChange change) {
    return new GossipItem.PaxosMessage(
        view.viewId(), type, ballot, PaxosInstance.NO_BALLOT, change);
  }

  // ---------------------------------------------------------------- answers

  /**
   * Records a promise. With a majority of promises the change to propose is determined: that of the
   * highest accepted ballot, if there is one.
   */
  void onPromise(final PeerId from, final GossipItem.PaxosMessage promise) {
    if (phase != Phase.PREPARING || promise.ballot() != ballot) {
      return;
    }
    promisers.add(from);
    if (promise.change() != null && promise.acceptedBallot() > highestReportedBallot) {
      highestReportedBallot = promise.acceptedBallot();
      preferredChange = promise.change();
    }
    if (promisers.size() >= view.majority()) {
      proposedChange = preferredChange;
      isValueBound = highestReportedBallot != PaxosInstance.NO_BALLOT;
      phase = Phase.ACCEPTING;
    }
  }

  /** Records an acceptance. With a majority of acceptances the change is decided. */
  void onAccepted(final PeerId from, final long acceptedBallot) {
    if (acceptedBallot != ballot || proposedChange == null) {
      return;
    }
    acceptors.add(from);
    if (acceptors.size() >= view.majority()) {
      phase = Phase.DECIDED;
    }
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof PaxosProposer that
        && view.equals(that.view)
        && committeeIndex == that.committeeIndex
        && phase == that.phase
        && ballot == that.ballot
        && Objects.equals(preferredChange, that.preferredChange)
        && Objects.equals(proposedChange, that.proposedChange)
        && isValueBound == that.isValueBound
        && highestSeenBallot == that.highestSeenBallot
        && highestReportedBallot == that.highestReportedBallot
        && promisers.equals(that.promisers)
        && acceptors.equals(that.acceptors);
  }

  @Override
  public int hashCode() {
    return Objects.hash(
        phase,
        ballot,
        preferredChange,
        proposedChange,
        isValueBound,
        highestSeenBallot,
        promisers,
        acceptors);
  }
}

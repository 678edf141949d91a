package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One member's part in agreeing on what follows one view: Paxos for a single value (Lamport, "Paxos
 * made simple", 2001) among the view's committee. A committee's place is a life of a courier, never
 * a name: a process that starts again has forgotten what it promised, and is another life. The
 * first of the committee has ballot 0 to itself, and so may ask to accept under it without a
 * promise; ballot {@code round * committee + place} belongs to the member at that place.
 *
 * <p>It has no time of its own: whoever uses it repeats {@link #outstandingMessages()} while it is
 * not decided, and calls {@link #startHigherBallot} when another ballot stands in its way.
 */
public final class PaxosInstance {
  private static final long NO_BALLOT = -1;

  private final View view;
  private final PeerId self;
  private final int committeeIndex;
  // As an acceptor.
  private long promisedBallot = NO_BALLOT;
  private long acceptedBallot = NO_BALLOT;
  private ViewChange acceptedChange;
  // As a proposer.
  private long proposedBallot = NO_BALLOT;
  private ViewChange preferredChange;
  private ViewChange proposedChange;
  private boolean isValueBound;
  private long highestSeenBallot = NO_BALLOT;
  private long highestReportedBallot = NO_BALLOT;
  private final Set<PeerId> promisers = new HashSet<>();
  private final Set<PeerId> acceptors = new HashSet<>();
  private ViewChange decidedChange;

  /** What goes to whom. */
  public record AddressedMessage(PeerId to, GossipItem.PaxosMessage message) {}

  /**
   * A part in what follows that view; a life that is not of its committee neither proposes nor
   * votes.
   */
  public PaxosInstance(final View view, final PeerId self) {
    this.view = view;
    this.self = self;
    this.committeeIndex = view.committee().indexOf(self);
  }

  /** As another one stands, to go on apart from it. */
  public PaxosInstance(final PaxosInstance other) {
    this(other.view, other.self);
    promisedBallot = other.promisedBallot;
    acceptedBallot = other.acceptedBallot;
    acceptedChange = other.acceptedChange;
    proposedBallot = other.proposedBallot;
    preferredChange = other.preferredChange;
    proposedChange = other.proposedChange;
    isValueBound = other.isValueBound;
    highestSeenBallot = other.highestSeenBallot;
    highestReportedBallot = other.highestReportedBallot;
    promisers.addAll(other.promisers);
    acceptors.addAll(other.acceptors);
    decidedChange = other.decidedChange;
  }

  /** The view that this is about. */
  public View view() {
    return view;
  }

  /** What was decided, as far as is known here; null: nothing yet. */
  public ViewChange decided() {
    return decidedChange;
  }

  /** True if it has begun to propose. */
  public boolean isProposing() {
    return proposedBallot != NO_BALLOT && decidedChange == null;
  }

  /** True if it belongs to the committee. */
  public boolean isCommitteeMember() {
    return committeeIndex >= 0;
  }

  /**
   * Begins to propose a change, or changes its mind while nothing was asked for yet. Only for one
   * of the committee.
   */
  public void propose(final ViewChange change) {
    if (committeeIndex < 0) {
      throw new IllegalStateException(self + " is not of the committee of view " + view.number());
    }
    if (proposedBallot == NO_BALLOT) {
      preferredChange = change;
      if (committeeIndex == 0 && promisedBallot <= 0 && highestSeenBallot <= 0) {
        proposedBallot = 0;
        proposedChange = change;
      } else {
        startHigherBallot(change);
      }
    }
  }

  /**
   * Tries again under a ballot higher than any seen, with that change if it is still free to
   * choose.
   */
  public void startHigherBallot(final ViewChange change) {
    final int size = view.committee().size();
    final long above = Math.max(Math.max(highestSeenBallot, promisedBallot), proposedBallot);
    proposedBallot = (Math.max(above, 0) / size + 1) * size + committeeIndex;
    highestSeenBallot = proposedBallot;
    preferredChange = change;
    proposedChange = null;
    isValueBound = false;
    highestReportedBallot = NO_BALLOT;
    promisers.clear();
    acceptors.clear();
  }

  /** True if a higher ballot than its own is known, so that its own leads nowhere. */
  public boolean isBallotSuperseded() {
    return proposedBallot != NO_BALLOT
        && Math.max(highestSeenBallot, promisedBallot) > proposedBallot;
  }

  /** What it has to say to whom now, to be repeated until {@link #decided()}; also to itself. */
  public List<AddressedMessage> outstandingMessages() {
    final List<AddressedMessage> letters = new ArrayList<>();
    if (!isProposing()) {
      return letters;
    }
    for (final PeerId to : view.committee()) {
      if (proposedChange == null && !promisers.contains(to)) {
        letters.add(
            new AddressedMessage(
                to,
                message(GossipItem.PaxosMessage.Type.PREPARE, proposedBallot, NO_BALLOT, null)));
      } else if (proposedChange != null && !acceptors.contains(to)) {
        letters.add(
            new AddressedMessage(
                to,
                message(
                    isValueBound
                        ? GossipItem.PaxosMessage.Type.ACCEPT_BOUND
                        : GossipItem.PaxosMessage.Type.ACCEPT,
                    proposedBallot,
                    NO_BALLOT,
                    proposedChange)));
      }
    }
    return letters;
  }

  private GossipItem.PaxosMessage message(
      final GossipItem.PaxosMessage.Type kind,
      final long of,
      final long acceptedThen,
      final ViewChange change) {
    return new GossipItem.PaxosMessage(view.viewId(), kind, of, acceptedThen, change);
  }

  /**
   * Somebody of the committee says something. {@code acceptable} tells whether this member agrees
   * with a change whose choice is still free; it may say no at any time.
   *
   * @return the answer to him; null: none
   */
  public GossipItem.PaxosMessage onMessage(
      final PeerId from,
      final GossipItem.PaxosMessage vote,
      final Predicate<ViewChange> acceptable) {
    if (committeeIndex < 0
        || !view.committee().contains(from)
        || vote.ballot() < 0
        || !vote.viewId().equals(view.viewId())) {
      return null;
    }
    highestSeenBallot = Math.max(highestSeenBallot, vote.ballot());
    return switch (vote.type()) {
      case PREPARE -> onPrepare(vote.ballot());
      case ACCEPT -> vote.change() == null ? null : onAccept(vote, acceptable);
      case ACCEPT_BOUND -> vote.change() == null ? null : onAccept(vote, change -> true);
      case PROMISE -> onPromise(from, vote);
      case ACCEPTED -> onAccepted(from, vote);
      case REJECT -> null;
    };
  }

  private GossipItem.PaxosMessage onPrepare(final long asked) {
    if (asked < promisedBallot) {
      return message(GossipItem.PaxosMessage.Type.REJECT, promisedBallot, NO_BALLOT, null);
    }
    promisedBallot = asked;
    return message(GossipItem.PaxosMessage.Type.PROMISE, asked, acceptedBallot, acceptedChange);
  }

  private GossipItem.PaxosMessage onAccept(
      final GossipItem.PaxosMessage vote, final Predicate<ViewChange> acceptable) {
    if (vote.ballot() < promisedBallot) {
      return message(GossipItem.PaxosMessage.Type.REJECT, promisedBallot, NO_BALLOT, null);
    }
    if (!vote.change().equals(acceptedChange) && !acceptable.test(vote.change())) {
      return null;
    }
    promisedBallot = vote.ballot();
    acceptedBallot = vote.ballot();
    acceptedChange = vote.change();
    return message(GossipItem.PaxosMessage.Type.ACCEPTED, vote.ballot(), NO_BALLOT, null);
  }

  private GossipItem.PaxosMessage onPromise(final PeerId from, final GossipItem.PaxosMessage vote) {
    if (vote.ballot() != proposedBallot || proposedChange != null || decidedChange != null) {
      return null;
    }
    promisers.add(from);
    if (vote.change() != null && vote.acceptedBallot() > highestReportedBallot) {
      highestReportedBallot = vote.acceptedBallot();
      preferredChange = vote.change();
    }
    if (promisers.size() >= view.majority()) {
      proposedChange = preferredChange;
      isValueBound = highestReportedBallot != NO_BALLOT;
    }
    return null;
  }

  private GossipItem.PaxosMessage onAccepted(
      final PeerId from, final GossipItem.PaxosMessage vote) {
    if (vote.ballot() == proposedBallot && proposedChange != null) {
      acceptors.add(from);
      if (acceptors.size() >= view.majority()) {
        decidedChange = proposedChange;
      }
    }
    return null;
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof PaxosInstance that
        && view.equals(that.view)
        && self.equals(that.self)
        && promisedBallot == that.promisedBallot
        && acceptedBallot == that.acceptedBallot
        && Objects.equals(acceptedChange, that.acceptedChange)
        && proposedBallot == that.proposedBallot
        && Objects.equals(preferredChange, that.preferredChange)
        && Objects.equals(proposedChange, that.proposedChange)
        && isValueBound == that.isValueBound
        && highestSeenBallot == that.highestSeenBallot
        && highestReportedBallot == that.highestReportedBallot
        && promisers.equals(that.promisers)
        && acceptors.equals(that.acceptors)
        && Objects.equals(decidedChange, that.decidedChange);
  }

  @Override
  public int hashCode() {
    return Objects.hash(
        self,
        promisedBallot,
        acceptedBallot,
        acceptedChange,
        proposedBallot,
        preferredChange,
        proposedChange,
        isValueBound,
        highestSeenBallot,
        promisers,
        acceptors,
        decidedChange);
  }
}

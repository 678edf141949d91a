package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * One courier's part in the agreement on what follows one view: Paxos for a single value (Lamport,
 * "Paxos made simple", 2001) among the view's committee. A member of the committee is an
 * incarnation of a courier, never a name: a process that starts again has forgotten what it
 * promised, and is another incarnation.
 *
 * <p>It has no timers: the caller sends {@link #outstandingMessages} repeatedly until there is a
 * decision, and calls {@link #startHigherBallot} when another ballot stands in the way.
 */
public final class PaxosInstance {
  /** Stands for no ballot; below all others. */
  static final long NO_BALLOT = -1;

  private final View view;
  private final PeerId self;
  private final int committeeIndex;
  private final PaxosAcceptor acceptor;
  private final PaxosProposer proposer;

  /** A message, and the member of the committee to which it goes. */
  public record AddressedMessage(PeerId to, GossipItem.PaxosMessage message) {}

  /**
   * An incarnation's part in what follows that view; outside the committee it neither proposes nor
   * votes.
   */
  public PaxosInstance(final View view, final PeerId self) {
    this.view = view;
    this.self = self;
    this.committeeIndex = view.committee().indexOf(self);
    this.acceptor = new PaxosAcceptor(view.viewId());
    this.proposer = new PaxosProposer(view, committeeIndex);
  }

  /** Copies another one's state, to go on apart from it. */
  public PaxosInstance(final PaxosInstance other) {
    this.view = other.view;
    this.self = other.self;
    this.committeeIndex = other.committeeIndex;
    this.acceptor = new PaxosAcceptor(other.acceptor);
    this.proposer = new PaxosProposer(other.proposer);
  }

  /** Returns the view that the decided change follows. */
  public View view() {
    return view;
  }

  /** Returns the decided change, as far as is known here; null: none. */
  public ViewChange decided() {
    return proposer.decided();
  }

  /** Returns true while a ballot of this courier is under way. */
  public boolean isProposing() {
    return proposer.isProposing();
  }

  /** Returns true if this incarnation belongs to the committee. */
  public boolean isCommitteeMember() {
    return committeeIndex >= 0;
  }

  /**
   * Starts proposing a change, unless a ballot was started before. Only for members of the
   * committee.
   */
  public void propose(final ViewChange change) {
    if (!isCommitteeMember()) {
      throw new IllegalStateException(self + " is not in the committee of view " + view.number());
    }
    proposer.propose(change);
  }

  /** Starts a ballot higher than any seen, with that change if the choice is still free. */
  public void startHigherBallot(final ViewChange change) {
    proposer.startHigherBallot(change);
  }

  /**
   * Returns true if a higher ballot than the own one is known, under which the own one cannot
   * succeed.
   */
  public boolean isBallotSuperseded() {
    return proposer.isBallotSuperseded();
  }

  /**
   * Returns what is to be sent to whom now, and repeated until {@link #decided}; also to this
   * courier itself.
   */
  public List<AddressedMessage> outstandingMessages() {
    final List<AddressedMessage> outstanding = new ArrayList<>();
    for (final PeerId member : view.committee()) {
      final GossipItem.PaxosMessage message = proposer.outstandingFor(member);
      if (message != null) {
        outstanding.add(new AddressedMessage(member, message));
      }
    }
    return outstanding;
  }

  /**
   * Applies a message of a member of the committee.
   *
   * @param acceptable tells whether this courier agrees with a change while the choice is free; it
   *     may say no at any time
   * @return the answer; null: none
   */
  public GossipItem.PaxosMessage onMessage(
      final PeerId from,
      final GossipItem.PaxosMessage message,
      final Predicate<ViewChange> acceptable) {
    if (!isCommitteeMember()
        || !view.committee().contains(from)
        || message.ballot() < 0
        || !message.viewId().equals(view.viewId())) {
      return null;
    }
    proposer.recordSeenBallot(message.ballot());
    return switch (message.type()) {
      case PREPARE -> acceptor.onPrepare(message.ballot());
      case ACCEPT -> onAccept(message, acceptable);
      case ACCEPT_BOUND -> onAccept(message, change -> true);
      case PROMISE -> {
        proposer.onPromise(from, message);
        yield null;
      }
      case ACCEPTED -> {
        proposer.onAccepted(from, message.ballot());
        yield null;
      }
      case REJECT -> null;
    };
  }

  private GossipItem.PaxosMessage onAccept(
      final GossipItem.PaxosMessage message, final Predicate<ViewChange> acceptable) {
    return message.change() == null
        ? null
        : acceptor.onAccept(message.ballot(), message.change(), acceptable);
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof PaxosInstance that
        && view.equals(that.view)
        && self.equals(that.self)
        && acceptor.equals(that.acceptor)
        && proposer.equals(that.proposer);
  }

  @Override
  public int hashCode() {
    return Objects.hash(self, acceptor, proposer);
  }
}

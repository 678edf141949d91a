package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * One courier's state in the agreement on the change that follows a view: single-decree Paxos
 * (Lamport, "Paxos made simple", 2001) among the view's committee. A member of the committee is an
 * incarnation of a courier, never a name: a restarted process has lost its promises, and is another
 * incarnation.
 *
 * <p>It has no timers: the caller sends {@link #outstandingMessages} repeatedly until there is a
 * decision, and calls {@link #startHigherBallot} when another ballot supersedes its own.
 */
public final class PaxosInstance {
  /** Stands for no ballot; lower than all ballots. */
  static final long NO_BALLOT = -1;

  private final View view;
  private final PeerId self;
  private final int committeeIndex;
  private final PaxosAcceptor acceptor;
  private final PaxosProposer proposer;

  /** A message and its addressee in the committee. */
  public record AddressedMessage(PeerId to, GossipItem.PaxosMessage message) {}

  /**
   * Creates the state of an incarnation for the change that follows a view. An incarnation outside
   * the committee neither proposes nor votes.
   */
  public PaxosInstance(final View view, final PeerId self) {
    this.view = view;
    this.self = self;
    this.committeeIndex = view.committee().indexOf(self);
    this.acceptor = new PaxosAcceptor(view.viewId());
    this.proposer = new PaxosProposer(view, committeeIndex);
  }

  /** Copies the state of another instance. */
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

  /** Returns the decided change, or null if none is known here. */
  public ViewChange decided() {
    return proposer.decided();
  }

  /** Returns true while a ballot of this courier is in progress. */
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

  /**
   * Starts a ballot higher than any seen, with that change if no earlier ballot may have chosen
   * one.
   */
  public void startHigherBallot(final ViewChange change) {
    proposer.startHigherBallot(change);
  }

  /**
   * Returns true if a ballot higher than this courier's own is known, so that the courier's ballot
   * cannot succeed.
   */
  public boolean isBallotSuperseded() {
    return proposer.isBallotSuperseded();
  }

  /**
   * Returns the messages that are to be sent now, and resent until there is a {@link #decided}
   * change; some may be addressed to this courier itself.
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
   * Applies a message from a member of the committee.
   *
   * @param acceptable returns whether this courier agrees with a change that no earlier ballot may
   *     have chosen; it may return false at any time
   * @return the answer, or null if there is none
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

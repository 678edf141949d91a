package thistleturn.decisions.peers;

import java.util.Objects;
import java.util.function.Predicate;

/** The acceptor of one Paxos instance: its promised ballot, and its accepted ballot and change. */
final class PaxosAcceptor {
  private final ViewId viewId;
  private long promisedBallot = PaxosInstance.NO_BALLOT;
  private long acceptedBallot = PaxosInstance.NO_BALLOT;
  private ViewChange acceptedChange;

  PaxosAcceptor(final ViewId viewId) {
    this.viewId = viewId;
  }

  /** Copies the state of another acceptor. */
  PaxosAcceptor(final PaxosAcceptor other) {
    viewId = other.viewId;
    promisedBallot = other.promisedBallot;
    acceptedBallot = other.acceptedBallot;
    acceptedChange = other.acceptedChange;
  }

  /** Promises to accept no lower ballot, unless a higher one was promised. */
  GossipItem.PaxosMessage onPrepare(final long ballot) {
    if (ballot < promisedBallot) {
      return reject();
    }
    promisedBallot = ballot;
    return new GossipItem.PaxosMessage(
        viewId, GossipItem.PaxosMessage.Type.PROMISE, ballot, acceptedBallot, acceptedChange);
  }

  /**
   * Accepts a change. Returns null, without a vote, for a change that it has not accepted before
   * and that is not acceptable.
   */
  GossipItem.PaxosMessage onAccept(
      final long ballot, final ViewChange change, final Predicate<ViewChange> acceptable) {
    if (ballot < promisedBallot) {
      return reject();
    }
    if (!change.equals(acceptedChange) && !acceptable.test(change)) {
      return null;
    }
    promisedBallot = ballot;
    acceptedBallot = ballot;
    acceptedChange = change;
    return new GossipItem.PaxosMessage(
        viewId, GossipItem.PaxosMessage.Type.ACCEPTED, ballot, PaxosInstance.NO_BALLOT, null);
  }

  private GossipItem.PaxosMessage reject() {
    return new GossipItem.PaxosMessage(
        viewId, GossipItem.PaxosMessage.Type.REJECT, promisedBallot, PaxosInstance.NO_BALLOT, null);
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof PaxosAcceptor that
        && viewId.equals(that.viewId)
        && promisedBallot == that.promisedBallot
        && acceptedBallot == that.acceptedBallot
        && Objects.equals(acceptedChange, that.acceptedChange);
  }

  @Override
  public int hashCode() {
    return Objects.hash(promisedBallot, acceptedBallot, acceptedChange);
  }
}

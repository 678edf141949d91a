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
 * <p>It has no time of its own: whoever uses it repeats {@link #pending()} while it is not decided,
 * and calls {@link #raise} when another ballot stands in its way.
 */
public final class Agreement {
  private static final long NONE = -1;

  private final View view;
  private final PeerId self;
  private final int place;
  // As an acceptor.
  private long promised = NONE;
  private long acceptedBallot = NONE;
  private Change accepted;
  // As a proposer.
  private long ballot = NONE;
  private Change wish;
  private Change value;
  private boolean bound;
  private long highestSeen = NONE;
  private long bestAccepted = NONE;
  private final Set<PeerId> promisers = new HashSet<>();
  private final Set<PeerId> acceptors = new HashSet<>();
  private Change decided;

  /** What goes to whom. */
  public record Letter(PeerId to, Item.Vote vote) {}

  /**
   * A part in what follows that view; a life that is not of its committee neither proposes nor
   * votes.
   */
  public Agreement(final View view, final PeerId self) {
    this.view = view;
    this.self = self;
    this.place = view.committee().indexOf(self);
  }

  /** As another one stands, to go on apart from it. */
  public Agreement(final Agreement other) {
    this(other.view, other.self);
    promised = other.promised;
    acceptedBallot = other.acceptedBallot;
    accepted = other.accepted;
    ballot = other.ballot;
    wish = other.wish;
    value = other.value;
    bound = other.bound;
    highestSeen = other.highestSeen;
    bestAccepted = other.bestAccepted;
    promisers.addAll(other.promisers);
    acceptors.addAll(other.acceptors);
    decided = other.decided;
  }

  /** The view that this is about. */
  public View view() {
    return view;
  }

  /** What was decided, as far as is known here; null: nothing yet. */
  public Change decided() {
    return decided;
  }

  /** True if it has begun to propose. */
  public boolean isProposing() {
    return ballot != NONE && decided == null;
  }

  /** True if it belongs to the committee. */
  public boolean mayPropose() {
    return place >= 0;
  }

  /**
   * Begins to propose a change, or changes its mind while nothing was asked for yet. Only for one
   * of the committee.
   */
  public void propose(final Change change) {
    if (place < 0) {
      throw new IllegalStateException(self + " is not of the committee of view " + view.number());
    }
    if (ballot == NONE) {
      wish = change;
      if (place == 0 && promised <= 0 && highestSeen <= 0) {
        ballot = 0;
        value = change;
      } else {
        raise(change);
      }
    }
  }

  /**
   * Tries again under a ballot higher than any seen, with that change if it is still free to
   * choose.
   */
  public void raise(final Change change) {
    final int size = view.committee().size();
    final long above = Math.max(Math.max(highestSeen, promised), ballot);
    ballot = (Math.max(above, 0) / size + 1) * size + place;
    highestSeen = ballot;
    wish = change;
    value = null;
    bound = false;
    bestAccepted = NONE;
    promisers.clear();
    acceptors.clear();
  }

  /** True if a higher ballot than its own is known, so that its own leads nowhere. */
  public boolean isOutbid() {
    return ballot != NONE && Math.max(highestSeen, promised) > ballot;
  }

  /** What it has to say to whom now, to be repeated until {@link #decided()}; also to itself. */
  public List<Letter> pending() {
    final List<Letter> letters = new ArrayList<>();
    if (!isProposing()) {
      return letters;
    }
    for (final PeerId to : view.committee()) {
      if (value == null && !promisers.contains(to)) {
        letters.add(new Letter(to, vote(Item.Vote.Kind.PREPARE, ballot, NONE, null)));
      } else if (value != null && !acceptors.contains(to)) {
        letters.add(
            new Letter(
                to,
                vote(
                    bound ? Item.Vote.Kind.ACCEPT_BOUND : Item.Vote.Kind.ACCEPT,
                    ballot,
                    NONE,
                    value)));
      }
    }
    return letters;
  }

  private Item.Vote vote(
      final Item.Vote.Kind kind, final long of, final long acceptedThen, final Change change) {
    return new Item.Vote(view.mark(), kind, of, acceptedThen, change);
  }

  /**
   * Somebody of the committee says something. {@code acceptable} tells whether this member agrees
   * with a change whose choice is still free; it may say no at any time.
   *
   * @return the answer to him; null: none
   */
  public Item.Vote onVote(
      final PeerId from, final Item.Vote vote, final Predicate<Change> acceptable) {
    if (place < 0
        || !view.committee().contains(from)
        || vote.ballot() < 0
        || !vote.of().equals(view.mark())) {
      return null;
    }
    highestSeen = Math.max(highestSeen, vote.ballot());
    return switch (vote.kind()) {
      case PREPARE -> onPrepare(vote.ballot());
      case ACCEPT -> vote.change() == null ? null : onAccept(vote, acceptable);
      case ACCEPT_BOUND -> vote.change() == null ? null : onAccept(vote, change -> true);
      case PROMISE -> onPromise(from, vote);
      case ACCEPTED -> onAccepted(from, vote);
      case REFUSE -> null;
    };
  }

  private Item.Vote onPrepare(final long asked) {
    if (asked < promised) {
      return vote(Item.Vote.Kind.REFUSE, promised, NONE, null);
    }
    promised = asked;
    return vote(Item.Vote.Kind.PROMISE, asked, acceptedBallot, accepted);
  }

  private Item.Vote onAccept(final Item.Vote vote, final Predicate<Change> acceptable) {
    if (vote.ballot() < promised) {
      return vote(Item.Vote.Kind.REFUSE, promised, NONE, null);
    }
    if (!vote.change().equals(accepted) && !acceptable.test(vote.change())) {
      return null;
    }
    promised = vote.ballot();
    acceptedBallot = vote.ballot();
    accepted = vote.change();
    return vote(Item.Vote.Kind.ACCEPTED, vote.ballot(), NONE, null);
  }

  private Item.Vote onPromise(final PeerId from, final Item.Vote vote) {
    if (vote.ballot() != ballot || value != null || decided != null) {
      return null;
    }
    promisers.add(from);
    if (vote.change() != null && vote.accepted() > bestAccepted) {
      bestAccepted = vote.accepted();
      wish = vote.change();
    }
    if (promisers.size() >= view.majority()) {
      value = wish;
      bound = bestAccepted != NONE;
    }
    return null;
  }

  private Item.Vote onAccepted(final PeerId from, final Item.Vote vote) {
    if (vote.ballot() == ballot && value != null) {
      acceptors.add(from);
      if (acceptors.size() >= view.majority()) {
        decided = value;
      }
    }
    return null;
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof Agreement that
        && view.equals(that.view)
        && self.equals(that.self)
        && promised == that.promised
        && acceptedBallot == that.acceptedBallot
        && Objects.equals(accepted, that.accepted)
        && ballot == that.ballot
        && Objects.equals(wish, that.wish)
        && Objects.equals(value, that.value)
        && bound == that.bound
        && highestSeen == that.highestSeen
        && bestAccepted == that.bestAccepted
        && promisers.equals(that.promisers)
        && acceptors.equals(that.acceptors)
        && Objects.equals(decided, that.decided);
  }

  @Override
  public int hashCode() {
    return Objects.hash(
        self,
        promised,
        acceptedBallot,
        accepted,
        ballot,
        wish,
        value,
        bound,
        highestSeen,
        promisers,
        acceptors,
        decided);
  }
}

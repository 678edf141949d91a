package thistleturn.decisions.peers;

/**
 * One thing that a datagram tells. Each names what wins where two of a kind disagree, so that order
 * and doubling do not matter.
 */
public sealed interface GossipItem {
  /** Bytes that it takes at most beside its names. */
  int FIXED_BYTES = 48;

  /** How many bytes it takes at most once it is written down. */
  int maxBytes();

  /** How a life stands. */
  enum Liveness {
    ALIVE,
    LEFT,
    DEAD
  }

  /** A life and where it listens: the higher incarnation wins, then DEAD over LEFT over ALIVE. */
  record MemberUpdate(PeerId id, String address, Liveness liveness) implements GossipItem {
    @Override
    public int maxBytes() {
      return FIXED_BYTES + id.name().length() + address.length();
    }
  }

  /**
   * What an observer says of its hearing of a subject, for {@code ageUs} by now: the observer's
   * later life, then later row, wins.
   */
  record ReachabilityReport(
      PeerId observer, PeerId subject, long version, Reachability reachability, long ageUs)
      implements GossipItem {
    @Override
    public int maxBytes() {
      return FIXED_BYTES + observer.name().length() + subject.name().length();
    }
  }

  /** A sign of life, counted by the life itself: the higher count wins. */
  record Heartbeat(PeerId id, long count) implements GossipItem {
    @Override
    public int maxBytes() {
      return FIXED_BYTES - 16 + id.name().length();
    }
  }

  /** What a life said of itself, with its own count of such words: the higher count wins. */
  record StatusUpdate(PeerId id, long version, PeerStatus status) implements GossipItem {
    @Override
    public int maxBytes() {
      return FIXED_BYTES + id.name().length();
    }
  }

  /** Asks for the full state: of a view of which nothing is known here. */
  record FullStateRequest() implements GossipItem {
    @Override
    public int maxBytes() {
      return 4;
    }
  }

  /** The change by which a view became the next one. Idempotent. */
  record ViewDecision(ViewId viewId, ViewChange change) implements GossipItem {
    @Override
    public int maxBytes() {
      return FIXED_BYTES + maxBytesOf(change);
    }
  }

  /** A message of the agreement on the view after {@code viewId}; what is not used is 0 or null. */
  record PaxosMessage(ViewId viewId, Type type, long ballot, long acceptedBallot, ViewChange change)
      implements GossipItem {
    /** What it says. */
    public enum Type {
      /** Asks for a promise to heed no lower ballot. */
      PREPARE,
      /** Promises it, and says what was accepted under which ballot. */
      PROMISE,
      /** Asks to accept a change. */
      ACCEPT,
      /**
       * The same, with a change that an earlier ballot may have chosen: nobody may turn it down for
       * its content.
       */
      ACCEPT_BOUND,
      /** Accepts it. */
      ACCEPTED,
      /** Names the higher ballot that was promised. */
      REJECT
    }

    @Override
    public int maxBytes() {
      return FIXED_BYTES + (change == null ? 0 : maxBytesOf(change));
    }
  }

  /** How many bytes a change takes at most. */
  static int maxBytesOf(final ViewChange change) {
    int sum = 4;
    for (final PeerId id : change.removed()) {
      sum += 12 + id.name().length();
    }
    for (final ViewMember member : change.added()) {
      sum += 16 + member.id().name().length() + member.address().length();
    }
    return sum;
  }
}

package thistleturn.decisions.peers;

/**
 * One piece of information in a packet. Each type states which of two items on the same topic wins,
 * so that order and duplication do not matter.
 */
public sealed interface GossipItem {
  /** Returns how many bytes the item takes at most once it is encoded. */
  int maxBytes();

  /** Whether an incarnation goes on; a later constant wins over an earlier one. */
  enum Liveness {
    /** It neither left nor was declared dead. */
    ALIVE,
    /** It announced that it leaves. */
    LEFT,
    /** It was removed from the view by agreement. */
    DEAD
  }

  /**
   * An incarnation, its address and its liveness. The higher incarnation wins, then the later
   * {@link Liveness}.
   */
  record MemberUpdate(PeerId id, String address, Liveness liveness) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + id.name().length() + address.length();
    }
  }

  /**
   * What an observer reports about its reaching a subject. The observer's later incarnation wins,
   * then the later version.
   *
   * @param ageUs for how long it has been so
   */
  record ReachabilityReport(
      PeerId observer, PeerId subject, long version, Reachability reachability, long ageUs)
      implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + observer.name().length() + subject.name().length();
    }
  }

  /** A heartbeat, counted by the incarnation itself. The higher count wins. */
  record Heartbeat(PeerId id, long count) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.HEARTBEAT_BYTES + id.name().length();
    }
  }

  /** What an incarnation reports about itself. The higher version, which it counts itself, wins. */
  record StatusUpdate(PeerId id, long version, PeerStatus status) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + id.name().length();
    }
  }

  /** Requests the full state, since the sender of the request lacks the receiver's view. */
  record FullStateRequest() implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.EMPTY_BYTES;
    }
  }

  /** The change by which a view became the next one. Idempotent. */
  record ViewDecision(ViewId viewId, ViewChange change) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + EncodedSizes.of(change);
    }
  }

  /**
   * A message of the agreement on the change that follows a view; unused components are 0 or null.
   */
  record PaxosMessage(ViewId viewId, Type type, long ballot, long acceptedBallot, ViewChange change)
      implements GossipItem {
    /** The types of messages. */
    public enum Type {
      /** Requests a promise to accept no lower ballot. */
      PREPARE,
      /** Promises it, and reports what was accepted under which ballot. */
      PROMISE,
      /** Requests to accept a change. */
      ACCEPT,
      /**
       * The same, with a change that an earlier ballot may have chosen: nobody may reject it for
       * its content.
       */
      ACCEPT_BOUND,
      /** Accepts it. */
      ACCEPTED,
      /** Reports the higher ballot that was promised. */
      REJECT
    }

    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + (change == null ? 0 : EncodedSizes.of(change));
    }
  }
}

package thistleturn.decisions.peers;

/**
 * One piece of information in a packet. Each type defines which of two items on the same topic
 * wins, so that the order of arrival and duplicates do not matter.
 */
public sealed interface GossipItem {
  /** Returns an upper bound for the encoded size of the item, in bytes. */
  int maxBytes();

  /** Whether an incarnation is still running; a later constant wins over an earlier one. */
  enum Liveness {
    /** It has neither left nor been declared dead. */
    ALIVE,
    /** It announced that it is leaving. */
    LEFT,
    /** It was removed from the view by agreement. */
    DEAD
  }

  /**
   * The address and the liveness of an incarnation. The higher incarnation wins, then the later
   * {@link Liveness}.
   */
  record MemberUpdate(PeerId id, String address, Liveness liveness) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + id.name().length() + address.length();
    }
  }

  /**
   * An observer's report on whether it can reach a subject. The observer's later incarnation wins,
   * then the later version.
   *
   * @param ageUs how long the subject has been in that state for the observer
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

  /** An incarnation's report about itself. The higher version, counted by the incarnation, wins. */
  record StatusUpdate(PeerId id, long version, PeerStatus status) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + id.name().length();
    }
  }

  /** Requests the full state, since the sender of the request does not have the receiver's view. */
  record FullStateRequest() implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.EMPTY_BYTES;
    }
  }

  /** The decided change from a view to the next one. Idempotent. */
  record ViewDecision(ViewId viewId, ViewChange change) implements GossipItem {
    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + EncodedSizes.of(change);
    }
  }

  /**
   * A Paxos message of the agreement on the change that follows a view; unused components are 0 or
   * null.
   */
  record PaxosMessage(ViewId viewId, Type type, long ballot, long acceptedBallot, ViewChange change)
      implements GossipItem {
    /** The types of messages. */
    public enum Type {
      /** Requests a promise to accept no lower ballot. */
      PREPARE,
      /** Promises that, and reports the change accepted last and its ballot. */
      PROMISE,
      /** Requests to accept a change. */
      ACCEPT,
      /**
       * Like ACCEPT, for a change that an earlier ballot may have chosen: no acceptor may reject it
       * for its content.
       */
      ACCEPT_BOUND,
      /** Accepts the change. */
      ACCEPTED,
      /** Rejects a request, and reports the higher ballot that was promised. */
      REJECT
    }

    @Override
    public int maxBytes() {
      return EncodedSizes.ITEM_BYTES + (change == null ? 0 : EncodedSizes.of(change));
    }
  }
}

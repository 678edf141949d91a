package thistleturn.decisions.peers;

/**
 * Upper bounds for the encoded sizes of the parts of a packet, in bytes. Names and addresses are
 * ASCII.
 */
final class EncodedSizes {
  /** An item without its names and addresses. */
  static final int ITEM_BYTES = 48;

  /** A heartbeat without its name. */
  static final int HEARTBEAT_BYTES = 32;

  /** An empty item or change. */
  static final int EMPTY_BYTES = 4;

  private static final int REMOVED_MEMBER_BYTES = 12;
  private static final int ADDED_MEMBER_BYTES = 16;

  private EncodedSizes() {}

  /** Returns the size of a view change. */
  static int of(final ViewChange change) {
    int bytes = EMPTY_BYTES;
    for (final PeerId id : change.removed()) {
      bytes += ofRemoved(id);
    }
    for (final ViewMember member : change.added()) {
      bytes += ofAdded(member.id(), member.address());
    }
    return bytes;
  }

  /** Returns the size of a removed member within a change. */
  static int ofRemoved(final PeerId id) {
    return REMOVED_MEMBER_BYTES + id.name().length();
  }

  /** Returns the size of an added member within a change. */
  static int ofAdded(final PeerId id, final String address) {
    return ADDED_MEMBER_BYTES + id.name().length() + address.length();
  }
}

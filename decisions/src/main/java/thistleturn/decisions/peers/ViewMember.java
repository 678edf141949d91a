package thistleturn.decisions.peers;

/**
 * A member of a view. Members are ordered by their ids only.
 *
 * @param id the incarnation of the courier
 * @param address the address on which it listens, {@code host:port}
 */
public record ViewMember(PeerId id, String address) implements Comparable<ViewMember> {
  @Override
  public int compareTo(final ViewMember other) {
    return id.compareTo(other.id);
  }
}

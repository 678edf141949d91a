package thistleturn.decisions.peers;

/** A member of a view: which life of which courier, and where it listens ({@code address:port}). */
public record ViewMember(PeerId id, String address) implements Comparable<ViewMember> {
  @Override
  public int compareTo(final ViewMember other) {
    return id.compareTo(other.id);
  }
}

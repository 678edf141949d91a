package thistleturn.decisions.peers;

/** A member of a view: which life of which courier, and where it listens ({@code address:port}). */
public record Member(PeerId id, String address) implements Comparable<Member> {
  @Override
  public int compareTo(final Member other) {
    return id.compareTo(other.id);
  }
}

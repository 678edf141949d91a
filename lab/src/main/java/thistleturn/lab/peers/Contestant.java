package thistleturn.lab.peers;

import java.util.Set;

/** One process that takes part in knowing who is there, by whatever rules. Times are us. */
public interface Contestant {
  /** Comes every 100 ms while the process runs. */
  void tick(long nowUs);

  /** Something came from another. */
  void receive(Object message, long nowUs);

  /** The connection that was asked for was greeted by that life. */
  default void greeted(final String to, final String life, final long nowUs) {}

  /** The connection there ended, or was refused. */
  default void closed(final String to, final long nowUs) {}

  /** Nobody answered there. */
  default void unanswered(final String to, final long nowUs) {}

  /** The process says farewell. */
  default void leave(final long nowUs) {}

  /** Its life: name and incarnation. */
  String life();

  /** Which line of views it holds; empty: none yet. */
  String line();

  /** Counts up with each change of {@link #members()}. */
  long number();

  /** The lives that it holds for members. */
  Set<String> members();

  /** What a contestant can do. */
  interface Wire {
    /** A datagram of so many bytes; it may be lost. */
    void send(String to, Object message, int bytes);

    /** Begins a connection that is kept. */
    void connect(String to);

    /** Ends it; nothing more is told of it. */
    void disconnect(String to);

    /** Something over a connection, in order and whole, if the other lives. */
    void pass(String to, Object message, int bytes);
  }

  /** Makes one: a process that starts. */
  @FunctionalInterface
  interface Maker {
    /**
     * A process of that name.
     *
     * @param number its place among the names
     * @param life how many lives of the name were before
     * @param names of all that begin together, its own included
     */
    Contestant make(
        int number, int life, java.util.List<String> names, long seed, long nowUs, Wire wire);
  }
}

package thistleturn.testkit;

/** The connection over which a call came, as far as the rule checker has to know it. */
@FunctionalInterface
public interface CallConnection {

  /** Whether the courier has ended its side of a connection. */
  enum Side {
    /** It has not. */
    OPEN,
    /** It has, whether or not the stand-in has read that yet. */
    ENDED,
    /** Nobody can tell. */
    UNKNOWN
  }

  /** Returns how it stands at this moment. */
  Side courierSide();
}

package thistleturn.testkit;

/** The connection over which a call came, as far as the rule checker needs it. */
@FunctionalInterface
public interface CallConnection {

  /** Whether the courier has ended its side of a connection. */
  enum Side {
    /** It is open. */
    OPEN,
    /** The courier has ended it, whether or not the stand-in has read that yet. */
    ENDED,
    /** Its state cannot be determined. */
    UNKNOWN
  }

  /** Returns the present state of the courier's side. */
  Side courierSide();
}

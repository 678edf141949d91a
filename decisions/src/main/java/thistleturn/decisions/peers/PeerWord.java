package thistleturn.decisions.peers;

import thistleturn.decisions.health.LocalHealth;

/**
 * What a courier says of itself with every datagram.
 *
 * @param health how it is
 * @param awayMs how long its last absence took, ms; 0: none of late
 * @param holds messages that it holds
 * @param stuck true: it holds messages and has ended none for {@link #STUCK_US}, whatever it
 *     answers here
 */
public record PeerWord(LocalHealth.State health, int awayMs, int holds, boolean stuck) {
  /** So long, us, without any end while messages are held is no delivery. */
  public static final long STUCK_US = 5_000_000;

  /** Nothing known. */
  public static final PeerWord WELL = new PeerWord(LocalHealth.State.WELL, 0, 0, false);
}

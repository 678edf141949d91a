package thistleturn.decisions.peers;

import thistleturn.decisions.health.LocalHealth;

/**
 * What a courier says of itself with every datagram.
 *
 * @param health how it is
 * @param pauseMs how long its last absence took, ms; 0: none of late
 * @param pendingMessages messages that it holds
 * @param deliveryStalled true: it holds messages and has ended none for {@link #DELIVERY_STALL_US},
 *     whatever it answers here
 */
public record PeerStatus(
    LocalHealth.State health, int pauseMs, int pendingMessages, boolean deliveryStalled) {
  /** So long, us, without any end while messages are held is no delivery. */
  public static final long DELIVERY_STALL_US = 5_000_000;

  /** Nothing known. */
  public static final PeerStatus UNREPORTED = new PeerStatus(LocalHealth.State.WELL, 0, 0, false);
}

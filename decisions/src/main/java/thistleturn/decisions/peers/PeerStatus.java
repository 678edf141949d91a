package thistleturn.decisions.peers;

import thistleturn.decisions.health.LocalHealth;

/**
 * The status that a courier reports about itself with every packet.
 *
 * @param health its own health
 * @param pauseMs the duration of its last pause in milliseconds; 0 if there was none lately
 * @param pendingMessages how many accepted messages are pending
 * @param deliveryStalled true if messages are pending and none was completed for {@link
 *     #DELIVERY_STALL_US}, although the courier answers its peers
 */
public record PeerStatus(
    LocalHealth.State health, int pauseMs, int pendingMessages, boolean deliveryStalled) {
  /**
   * Delivery counts as stalled after this time without a completed message while some are pending,
   * in microseconds.
   */
  public static final long DELIVERY_STALL_US = 5_000_000;

  /** Stands for a courier that has reported nothing yet. */
  public static final PeerStatus UNREPORTED = new PeerStatus(LocalHealth.State.WELL, 0, 0, false);

  /** Returns true if anything but the number of pending messages differs. */
  boolean differsNotably(final PeerStatus other) {
    return health != other.health
        || deliveryStalled != other.deliveryStalled
        || pauseMs != other.pauseMs;
  }
}

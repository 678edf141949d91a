package thistleturn.decisions.peers;

import thistleturn.decisions.health.LocalHealth;

/**
 * What a courier reports about itself with every packet.
 *
 * @param health its own health
 * @param pauseMs how long its last pause took, in milliseconds; 0: there was none lately
 * @param pendingMessages how many accepted messages are pending
 * @param deliveryStalled true: messages are pending and none was finished for {@link
 *     #DELIVERY_STALL_US}, although the courier answers its peers
 */
public record PeerStatus(
    LocalHealth.State health, int pauseMs, int pendingMessages, boolean deliveryStalled) {
  /**
   * After so many microseconds without a finished message, while some are pending, delivery is
   * stalled.
   */
  public static final long DELIVERY_STALL_US = 5_000_000;

  /** Stands for a courier that has reported nothing yet. */
  public static final PeerStatus UNREPORTED = new PeerStatus(LocalHealth.State.WELL, 0, 0, false);

  /** Returns true if more than the number of pending messages differs. */
  boolean differsNotably(final PeerStatus other) {
    return health != other.health
        || deliveryStalled != other.deliveryStalled
        || pauseMs != other.pauseMs;
  }
}

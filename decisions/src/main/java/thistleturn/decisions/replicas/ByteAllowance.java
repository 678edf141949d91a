package thistleturn.decisions.replicas;

/**
 * A token bucket for bytes, refilled at a given rate, with the capacity of one second at that rate.
 */
final class ByteAllowance {
  private final int bytesPerSecond;
  private double available;

  ByteAllowance(final int bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
    this.available = bytesPerSecond;
  }

  /** Refills the bucket for the elapsed time. */
  void refill(final double seconds) {
    available = Math.min(bytesPerSecond, available + seconds * bytesPerSecond);
  }

  /** Takes the bytes of a sent message; the balance may become negative until it is refilled. */
  void spend(final int bytes) {
    available -= bytes;
  }

  /** Returns how many bytes may be sent now; 0 or fewer: none. */
  double available() {
    return available;
  }
}

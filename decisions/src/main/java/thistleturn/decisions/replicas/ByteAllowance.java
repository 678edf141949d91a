package thistleturn.decisions.replicas;

/**
 * A token bucket of bytes: filled at a rate, and able to hold what the rate yields in one second.
 */
final class ByteAllowance {
  private final int bytesPerSecond;
  private double available;

  ByteAllowance(final int bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
    this.available = bytesPerSecond;
  }

  /** Adds what the rate yields in that time. */
  void refill(final double seconds) {
    available = Math.min(bytesPerSecond, available + seconds * bytesPerSecond);
  }

  /** Records bytes that were sent; they may exceed what was available, and are then waited for. */
  void spend(final int bytes) {
    available -= bytes;
  }

  /** Returns how many bytes may be sent now; 0 or fewer: none. */
  double available() {
    return available;
  }
}

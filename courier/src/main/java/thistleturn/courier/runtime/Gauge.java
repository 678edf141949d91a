package thistleturn.courier.runtime;

import java.util.concurrent.atomic.AtomicLong;

/** A current quantity of this process, which may be changed by several threads. */
public final class Gauge {
  private final AtomicLong value = new AtomicLong();

  /** Creates a gauge that is 0. */
  public Gauge() {}

  /** Changes the quantity; the change may be negative. */
  public void add(final long change) {
    value.addAndGet(change);
  }

  /** Returns the current quantity. */
  public long value() {
    return value.get();
  }
}

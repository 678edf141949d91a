package thistleturn.courier.http;

import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Gauge;
import thistleturn.courier.runtime.Log;

/**
 * Limits how many bytes of incomplete or unserved input all connections of one event loop hold
 * together. Each connection may hold {@value #ALLOWANCE_BYTES} bytes in any case; what exceeds that
 * is taken from a shared limit. If the limit is exceeded, the connection from which nothing was
 * received for the longest time has to drop its input. If all have received something within
 * {@value #STALLED_AFTER_US} us, it is the one that exceeded the limit, unless that receives a body
 * while others hold heads: then one of these is dropped, since an ordinary head needs no more than
 * the allowance. So clients that stop in the middle of a request make room for those that go on.
 *
 * <p>All connections together hold at most the limit, the allowance of each, and one read. Used on
 * the event loop only.
 */
final class ReceiveBudget {
  /** More than an ordinary head takes while it is incomplete. */
  static final int ALLOWANCE_BYTES = 1 << 11;

  /** A sender that pauses for longer than this within one message counts as stalled. */
  static final long STALLED_AFTER_US = 100_000;

  private final long limitBytes;
  private final Clock clock;
  private final Gauge heldGauge;

  /** The reservations above the allowance, the one that was updated last at the end. */
  private final Set<Reservation> reservations = new LinkedHashSet<>();

  /** Those of them that hold no part of a body, in the same order. */
  private final Set<Reservation> ofHeads = new LinkedHashSet<>();

  private long heldBytes;

  ReceiveBudget(final long limitBytes, final Clock clock, final Gauge heldGauge) {
    this.limitBytes = limitBytes;
    this.clock = clock;
    this.heldGauge = heldGauge;
  }

  /** A connection that holds received bytes. */
  interface Holder {
    /** The address of the other side. */
    SocketAddress remoteAddress();

    /** The connection has to drop its input; its reservation has ended. */
    void onBudgetExceeded();
  }

  /** What one connection holds. */
  final class Reservation {
    private final Holder holder;
    private int excessBytes;
    private long updatedUs;

    private Reservation(final Holder holder) {
      this.holder = holder;
    }

    /**
     * Records how much the connection holds after a read, or after it has dropped something.
     *
     * @param headBytes what it holds of heads and of requests that wait
     * @param bodyBytes what it holds of the body that it receives
     */
    void update(final int headBytes, final int bodyBytes) {
      final int bytes = headBytes + bodyBytes;
      final int excess = Math.max(0, bytes - ALLOWANCE_BYTES);
      if (excess == 0 && excessBytes == 0) {
        return;
      }
      reservations.remove(this);
      ofHeads.remove(this);
      addHeld(excess - excessBytes);
      excessBytes = excess;
      if (excess > 0) {
        updatedUs = clock.nowUs();
        reservations.add(this);
        if (bodyBytes == 0) {
          ofHeads.add(this);
        }
        enforceLimit(this);
      }
    }

    /** The connection holds nothing any more. */
    void release() {
      update(0, 0);
    }
  }

  /** A reservation for a new connection, of nothing. */
  Reservation open(final Holder holder) {
    return new Reservation(holder);
  }

  private void addHeld(final int change) {
    heldBytes += change;
    heldGauge.add(change);
  }

  private void enforceLimit(final Reservation latest) {
    while (heldBytes > limitBytes) {
      final Reservation victim = selectVictim(latest);
      Log.event(
          Event.RECEIVE_BUDGET_EXCEEDED,
          "from",
          victim.holder.remoteAddress(),
          "held",
          ALLOWANCE_BYTES + victim.excessBytes);
      victim.release();
      victim.holder.onBudgetExceeded();
    }
  }

  private Reservation selectVictim(final Reservation latest) {
    final Reservation oldest = reservations.iterator().next();
    final boolean stalled = oldest.updatedUs <= clock.nowUs() - STALLED_AFTER_US;
    if (stalled || !reservations.contains(latest)) {
      return oldest;
    }
    return ofHeads.isEmpty() || ofHeads.contains(latest) ? latest : ofHeads.iterator().next();
  }
}

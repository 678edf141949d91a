package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Gauge;

final class ReceiveBudgetTest {
  private static final int LIMIT_BYTES = 10_000;

  private final Clock clock = new Clock();
  private final Gauge held = new Gauge();
  private final ReceiveBudget budget = new ReceiveBudget(LIMIT_BYTES, clock, held);
  private final List<String> dropped = new ArrayList<>();

  private ReceiveBudget.Reservation open(final String name) {
    return budget.open(
        new ReceiveBudget.Holder() {
          @Override
          public SocketAddress remoteAddress() {
            return InetSocketAddress.createUnresolved(name, 1);
          }

          @Override
          public void onBudgetExceeded() {
            dropped.add(name);
          }
        });
  }

  private static int excess(final int bytes) {
    return ReceiveBudget.ALLOWANCE_BYTES + bytes;
  }

  private void awaitStall() {
    final long untilUs = clock.nowUs() + 2 * ReceiveBudget.STALLED_AFTER_US;
    while (clock.nowUs() < untilUs) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Guards against a bound that usual clients meet: their heads fit into the allowance. */
  @Test
  void allowanceOfEachConnection_isNotCounted() {
    for (int count = 0; count < 1000; count++) {
      open("c" + count).update(ReceiveBudget.ALLOWANCE_BYTES, 0);
    }
    assertEquals(List.of(), dropped);
    assertEquals(0, held.value());
  }

  /** Guards against clients that stop in the middle and keep out those that go on. */
  @Test
  void stalledConnection_makesRoom() {
    open("stalled").update(excess(6000), 0);
    awaitStall();
    open("active").update(excess(6000), 0);
    assertEquals(List.of("stalled"), dropped);
    assertEquals(6000, held.value());
  }

  /** Guards against a crowd that takes memory from requests which came first and go on. */
  @Test
  void connectionThatExceedsLimit_isDroppedIfNoneIsStalled() {
    final ReceiveBudget.Reservation first = open("first");
    first.update(excess(6000), 0);
    open("second").update(excess(6000), 0);
    assertEquals(List.of("second"), dropped);
    first.release();
    open("third").update(excess(LIMIT_BYTES), 0);
    assertEquals(1, dropped.size());
  }

  /** Guards against a flood of heads that ends the body of a usual client. */
  @Test
  void headMakesRoomForBody() {
    open("head").update(excess(6000), 0);
    open("body").update(excess(0), 6000);
    assertEquals(List.of("head"), dropped);
    open("late head").update(excess(6000), 0);
    assertEquals(List.of("head", "late head"), dropped);
    assertEquals(6000, held.value());
  }

  /** Guards against a leak: what was released can be used again, and is released once. */
  @Test
  void releasedReservation_countsNothing() {
    final ReceiveBudget.Reservation reservation = open("one");
    reservation.update(excess(LIMIT_BYTES), 0);
    reservation.release();
    reservation.release();
    assertEquals(0, held.value());
  }
}

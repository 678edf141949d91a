package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that the bound is never later than the time at which the bytes were received. */
final class ReceiveTimeBoundTest {
  private final ReceiveTimeBound receiveTime = new ReceiveTimeBound(100);

  @Test
  void firstRead_isBoundedByConnectionStart() {
    receiveTime.onRead(900, 800, true);
    assertEquals(100, receiveTime.earliestUs());
  }

  @Test
  void readAfterEmptySocket_isBoundedByLastPollOrRead() {
    receiveTime.onRead(900, 800, true);
    receiveTime.onRead(2000, 1500, true);
    assertEquals(1500, receiveTime.earliestUs(), "the poll at 1500 found nothing");
    receiveTime.onRead(2100, 1900, true);
    assertEquals(2000, receiveTime.earliestUs(), "the read at 2000 emptied the socket");
  }

  @Test
  void readAfterFullBuffer_keepsEarlierBound() {
    receiveTime.onRead(900, 800, true);
    receiveTime.onRead(2000, 1500, false);
    receiveTime.onRead(2400, 2300, true);
    assertEquals(1500, receiveTime.earliestUs());
    receiveTime.onRead(3000, 2900, true);
    assertEquals(2900, receiveTime.earliestUs());
  }

  @Test
  void readAfterPause_isBoundedByPauseStart() {
    receiveTime.onRead(900, 800, true);
    receiveTime.onReadPaused(1000);
    receiveTime.onReadPaused(1200);
    receiveTime.onRead(5000, 4900, true);
    assertEquals(1000, receiveTime.earliestUs());
  }
}

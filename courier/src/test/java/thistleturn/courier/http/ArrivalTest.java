package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Since when what is read may have lain unread: never later than it came. */
final class ArrivalTest {
  private final Arrival arrival = new Arrival(100);

  @Test
  void theFirstBytesMayBeAsOldAsTheConnection() {
    arrival.read(900, 800, true);
    assertEquals(100, arrival.sinceUs());
  }

  @Test
  void afterAnEmptySocketBytesAreNoOlderThanTheLastLookOrTheLastRead() {
    arrival.read(900, 800, true);
    arrival.read(2000, 1500, true);
    assertEquals(1500, arrival.sinceUs(), "the loop looked at 1500 and found nothing");
    arrival.read(2100, 1900, true);
    assertEquals(2000, arrival.sinceUs(), "the socket was read empty at 2000");
  }

  @Test
  void whatIsLeftOfAFullReadIsAsOldAsWhatCameBeforeIt() {
    arrival.read(900, 800, true);
    arrival.read(2000, 1500, false);
    arrival.read(2400, 2300, true);
    assertEquals(1500, arrival.sinceUs());
    arrival.read(3000, 2900, true);
    assertEquals(2900, arrival.sinceUs());
  }

  @Test
  void whatComesDuringAPauseMayBeAsOldAsThePause() {
    arrival.read(900, 800, true);
    arrival.paused(1000);
    arrival.paused(1200);
    arrival.read(5000, 4900, true);
    assertEquals(1000, arrival.sinceUs());
  }
}

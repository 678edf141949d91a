package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The time left to deliver a submitted message. */
final class SubmitRequestTest {
  @Test
  void remainingTime_deductsTransitTime() {
    assertEquals(4_800_000, SubmitRequest.remainingTimeUs(5000, 12_000_000));
    assertEquals(
        11_800_000,
        SubmitRequest.remainingTimeUs(99_000, 12_000_000),
        "limited by the deadline of the class");
    assertEquals(
        300_000,
        SubmitRequest.remainingTimeUs(400, 12_000_000),
        "the transit time is limited for a short timeout");
    assertEquals(0, SubmitRequest.remainingTimeUs(0, 12_000_000));
  }
}

package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistleturn.decisions.pools.AnswerHistory.Kind;

final class ResponseStartsTest {
  private final ResponseStarts starts = new ResponseStarts();

  private void read(final String text) {
    starts.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK, false",
    "HTTP/1.1 410 Gone, true",
    "HTTP/1.0 504 X, true",
    "HTTP/1.1 200 OK conteHTTP/1.1 504 X, true",
    "HTTHTTP/1.1 410 X, true",
    "HTTP/1.1 4HTTP/1.1 410 X, true",
    "HTTP/1.1 41, false",
    "HTTP/2 410, false"
  })
  void beginnings_areFoundWhereverTheyStandAndAreSplit(final String text, final boolean ends) {
    for (int split = 0; split <= text.length(); split++) {
      starts.reset();
      read(text.substring(0, split));
      read(text.substring(split));
      assertEquals(ends, starts.statesEndOfAttempts(), text + " split at " + split);
    }
  }

  @Test
  void latestResponse_isKnownByItsStatus() {
    assertEquals(Kind.UNKNOWN, starts.latest());
    read("HTTP/1.1 503 X\r\n\r\nHTTP/1.1 410 X\r\n\r\n");
    assertEquals(new Kind(410, true), starts.latest());
    starts.reset();
    assertEquals(Kind.UNKNOWN, starts.latest());
  }
}

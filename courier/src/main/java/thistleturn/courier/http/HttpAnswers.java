package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Pattern;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;

/** What answers say, read strictly: outcomes, waits and reports. */
final class HttpAnswers {
  static final int OK = 200;
  private static final int GONE = 410;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int NO_MORE = 504;
  private static final double US_PER_SECOND = 1_000_000;

  /** A number as an answer may tell it: no sign, no exponent, no word. */
  private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,18})?");

  /** No wait or limit is believed beyond these: an hour and a million calls a second. */
  private static final double MOST_WAIT_S = 3600;

  private static final double MOST_RATE = 1e6;
  private static final double MOST_SHARE = 2;

  private HttpAnswers() {}

  /** What an answer with this head says of a message. */
  static Dispatcher.DispatchOutcome answer(final HttpResponse head, final long waitUs) {
    final LoadReport allowance = allowance(head.headers().get("X-Server-Load"));
    final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
    return switch (head.status().code()) {
      case OK -> new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, waitUs, allowance);
      case BUSY -> new Dispatcher.DispatchOutcome(AttemptResult.REFUSED, false, waitUs, allowance);
      case UNAVAILABLE ->
          new Dispatcher.DispatchOutcome(
              lineBusy ? AttemptResult.NOT_SENT : AttemptResult.REFUSED, false, waitUs, allowance);
      case NO_MORE ->
          new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, false, waitUs, allowance);
      case GONE -> new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, true, waitUs, allowance);
      default -> new Dispatcher.DispatchOutcome(AttemptResult.ERROR, false, waitUs, allowance);
    };
  }

  /** The wait that an answer tells: seconds, with decimals. One that cannot be read is none. */
  static long waitUs(final HttpResponse head) {
    final double seconds = number(head.headers().get(HttpHeaderNames.RETRY_AFTER));
    return seconds >= 0 ? (long) Math.ceil(Math.min(seconds, MOST_WAIT_S) * US_PER_SECOND) : 0;
  }

  /** What a destination told of its limit; null if it told nothing, or nothing that can be read. */
  private static LoadReport allowance(final String report) {
    if (report == null) {
      return null;
    }
    double shareLeft = -1;
    double callsPerSecond = -1;
    for (final String field : report.split(",")) {
      final String value = field.substring(field.indexOf('=') + 1);
      if (field.trim().startsWith("x0=")) {
        shareLeft = number(value);
      } else if (field.trim().startsWith("x1=")) {
        callsPerSecond = number(value);
      }
    }
    // A little over one is noise; far over it is nonsense.
    final boolean whole =
        shareLeft >= 0
            && shareLeft <= MOST_SHARE
            && callsPerSecond >= 0
            && callsPerSecond <= MOST_RATE;
    return whole ? new LoadReport(Math.min(1, shareLeft), callsPerSecond) : null;
  }

  /** A number that an answer tells, or -1 if it tells none. */
  private static double number(final String text) {
    return text != null && NUMBER.matcher(text.trim()).matches()
        ? Double.parseDouble(text.trim())
        : -1;
  }
}

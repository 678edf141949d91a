package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Pattern;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;

/** What answers say, read strictly: outcomes, waits and reports. */
final class EndpointResponseParser {
  static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double US_PER_SECOND = 1_000_000;

  /** A number as an answer may tell it: no sign, no exponent, no word. */
  private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,18})?");

  /** No wait or limit is believed beyond these: an hour and a million calls a second. */
  private static final double MAX_RETRY_AFTER_S = 3600;

  private static final double MAX_CALLS_PER_SECOND = 1e6;
  private static final double MAX_SHARE_LEFT = 2;

  private EndpointResponseParser() {}

  /** What an answer with this head says of a message. */
  static Dispatcher.DispatchOutcome parse(final HttpResponse head, final long waitUs) {
    final LoadReport allowance = parseLoadReport(head.headers().get("X-Server-Load"));
    final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
    return switch (head.status().code()) {
      case OK -> new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, waitUs, allowance);
      case TOO_MANY_REQUESTS ->
          new Dispatcher.DispatchOutcome(AttemptResult.REFUSED, false, waitUs, allowance);
      case SERVICE_UNAVAILABLE ->
          new Dispatcher.DispatchOutcome(
              lineBusy ? AttemptResult.NOT_SENT : AttemptResult.REFUSED, false, waitUs, allowance);
      case GATEWAY_TIMEOUT ->
          new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, false, waitUs, allowance);
      case GONE -> new Dispatcher.DispatchOutcome(AttemptResult.NOT_SENT, true, waitUs, allowance);
      default -> new Dispatcher.DispatchOutcome(AttemptResult.ERROR, false, waitUs, allowance);
    };
  }

  /** The wait that an answer tells: seconds, with decimals. One that cannot be read is none. */
  static long retryAfterUs(final HttpResponse head) {
    final double seconds = parseNumber(head.headers().get(HttpHeaderNames.RETRY_AFTER));
    return seconds >= 0
        ? (long) Math.ceil(Math.min(seconds, MAX_RETRY_AFTER_S) * US_PER_SECOND)
        : 0;
  }

  /** What a destination told of its limit; null if it told nothing, or nothing that can be read. */
  private static LoadReport parseLoadReport(final String report) {
    if (report == null) {
      return null;
    }
    double shareLeft = -1;
    double callsPerSecond = -1;
    for (final String field : report.split(",")) {
      final String value = field.substring(field.indexOf('=') + 1);
      if (field.trim().startsWith("x0=")) {
        shareLeft = parseNumber(value);
      } else if (field.trim().startsWith("x1=")) {
        callsPerSecond = parseNumber(value);
      }
    }
    // A little over one is noise; far over it is nonsense.
    final boolean whole =
        shareLeft >= 0
            && shareLeft <= MAX_SHARE_LEFT
            && callsPerSecond >= 0
            && callsPerSecond <= MAX_CALLS_PER_SECOND;
    return whole ? new LoadReport(Math.min(1, shareLeft), callsPerSecond) : null;
  }

  /** A number that an answer tells, or -1 if it tells none. */
  private static double parseNumber(final String text) {
    return text != null && NUMBER.matcher(text.trim()).matches()
        ? Double.parseDouble(text.trim())
        : -1;
  }
}

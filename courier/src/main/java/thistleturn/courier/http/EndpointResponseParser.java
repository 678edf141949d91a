package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import thistleturn.courier.port.Dispatcher.DispatchOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.pools.AnswerHistory;

/** Parses the heads of endpoints' responses strictly: outcome, Retry-After and load report. */
final class EndpointResponseParser {
  /** How every response begins. */
  static final String START = "HTTP/";

  static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double US_PER_SECOND = 1_000_000;
  private static final double INVALID = -1;

  /** A decimal number without sign or exponent. */
  private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,18})?");

  /** A longer Retry-After is shortened to this. */
  private static final double MAX_RETRY_AFTER_S = 3600;

  /** A load report with a higher rate is ignored. */
  private static final double MAX_CALLS_PER_SECOND = 1e6;

  /** A share slightly above 1 is noise; a load report with a share above this is ignored. */
  private static final double MAX_SHARE_LEFT = 2;

  private EndpointResponseParser() {}

  /** Bytes that do not begin like a response belong to the body of the previous one. */
  static boolean beginsLikeResponse(final ByteBuf bytes) {
    final int length = Math.min(bytes.readableBytes(), START.length());
    return bytes
        .toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII)
        .equals(START.substring(0, length));
  }

  /** Whether bytes that follow the end of a body hold the beginning of another response with it. */
  static boolean continuesAsResponse(final String endOfBody, final ByteBuf bytes) {
    final int length = Math.min(bytes.readableBytes(), START.length());
    final String begin = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
    return (endOfBody + begin).contains(START);
  }

  /** Whether a response is not an informational one, which another one follows. */
  static boolean isFinal(final HttpResponse head) {
    return head.status().code() >= OK;
  }

  /** What a response states, as far as copies of it can be told from other responses. */
  static AnswerHistory.Kind kindOf(final HttpResponse head) {
    return kindOf(head.status().code());
  }

  /** The same of a response with this status. */
  static AnswerHistory.Kind kindOf(final int status) {
    return new AnswerHistory.Kind(status, status == GONE || status == GATEWAY_TIMEOUT);
  }

  /** The outcome of a call with one message whose response has this head, with its Retry-After. */
  static DispatchOutcome parse(final HttpResponse head) {
    return parse(head, retryAfterUs(head));
  }

  /** The outcome of a call with one message whose response has this head. */
  static DispatchOutcome parse(final HttpResponse head, final long retryAfterUs) {
    final LoadReport load = parseLoadReport(head.headers().get("X-Server-Load"));
    final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
    return switch (head.status().code()) {
      case OK -> new DispatchOutcome(AttemptResult.DELIVERED, true, retryAfterUs, load);
      case TOO_MANY_REQUESTS ->
          new DispatchOutcome(AttemptResult.REFUSED, false, retryAfterUs, load);
      case SERVICE_UNAVAILABLE ->
          new DispatchOutcome(
              lineBusy ? AttemptResult.NOT_SENT : AttemptResult.REFUSED, false, retryAfterUs, load);
      case GATEWAY_TIMEOUT ->
          new DispatchOutcome(
              AttemptResult.NOT_SENT, MessageDisposition.NO_FURTHER_ATTEMPT, retryAfterUs, load);
      case GONE -> new DispatchOutcome(AttemptResult.NOT_SENT, true, retryAfterUs, load);
      default -> new DispatchOutcome(AttemptResult.ERROR, false, retryAfterUs, load);
    };
  }

  /** The Retry-After of a response, sent as decimal seconds; 0 if absent or invalid. */
  static long retryAfterUs(final HttpResponse head) {
    final double seconds = parseNumber(head.headers().get(HttpHeaderNames.RETRY_AFTER));
    return seconds >= 0
        ? (long) Math.ceil(Math.min(seconds, MAX_RETRY_AFTER_S) * US_PER_SECOND)
        : 0;
  }

  /** Parses the report of a destination's limit; returns null if it is absent or invalid. */
  private static LoadReport parseLoadReport(final String report) {
    if (report == null) {
      return null;
    }
    double shareLeft = INVALID;
    double callsPerSecond = INVALID;
    for (final String field : report.split(",")) {
      final String value = field.substring(field.indexOf('=') + 1);
      if (field.trim().startsWith("x0=")) {
        shareLeft = parseNumber(value);
      } else if (field.trim().startsWith("x1=")) {
        callsPerSecond = parseNumber(value);
      }
    }
    final boolean valid =
        isBetweenZeroAnd(MAX_SHARE_LEFT, shareLeft)
            && isBetweenZeroAnd(MAX_CALLS_PER_SECOND, callsPerSecond);
    return valid ? new LoadReport(Math.min(1, shareLeft), callsPerSecond) : null;
  }

  private static boolean isBetweenZeroAnd(final double limit, final double value) {
    return value >= 0 && value <= limit;
  }

  private static double parseNumber(final String text) {
    return text != null && NUMBER.matcher(text.trim()).matches()
        ? Double.parseDouble(text.trim())
        : INVALID;
  }
}

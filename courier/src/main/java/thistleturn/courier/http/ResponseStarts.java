package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.BitSet;
import thistleturn.decisions.pools.AnswerHistory.Kind;

/**
 * The statuses of the responses that have begun since a call was sent, as the received bytes show
 * them: also of one that cannot be decoded, since it follows half of another one. Used on the event
 * loop of the connection.
 */
final class ResponseStarts implements ByteProcessor {
  private static final String BEGINNING = "HTTP/1.1 ";

  /** The place of the minor version, of which both are read. */
  private static final int MINOR_VERSION = BEGINNING.indexOf(".1") + 1;

  private static final int STATUS_DIGITS = 3;
  private static final int DECIMAL = 10;

  private final BitSet statuses = new BitSet();
  private int matched;
  private int digits;
  private int status;
  private Kind latest = Kind.UNKNOWN;

  /** Begins anew for the next call. */
  void reset() {
    statuses.clear();
    matched = 0;
    latest = Kind.UNKNOWN;
  }

  /** Reads the next bytes of the connection. */
  void read(final ByteBuf bytes) {
    bytes.forEachByte(this);
  }

  @Override
  public boolean process(final byte value) {
    if (matched < BEGINNING.length()) {
      match(value);
    } else if (value >= '0' && value <= '9') {
      onDigit(value - '0');
    } else {
      restart(value);
    }
    return true;
  }

  private void match(final byte value) {
    if (value == BEGINNING.charAt(matched) || (matched == MINOR_VERSION && value == '0')) {
      matched++;
      digits = 0;
      status = 0;
    } else {
      restart(value);
    }
  }

  /** Only the first character of the beginning can begin another one. */
  private void restart(final byte value) {
    matched = value == BEGINNING.charAt(0) ? 1 : 0;
  }

  private void onDigit(final int digit) {
    status = DECIMAL * status + digit;
    digits++;
    if (digits == STATUS_DIGITS) {
      matched = 0;
      statuses.set(status);
      latest = EndpointResponseParser.kindOf(status);
    }
  }

  /** What the latest response states. */
  Kind latest() {
    return latest;
  }

  /** Whether one of the responses states that no further attempt may follow. */
  boolean statesEndOfAttempts() {
    return statuses.stream().anyMatch(each -> EndpointResponseParser.kindOf(each).endsAttempts());
  }
}

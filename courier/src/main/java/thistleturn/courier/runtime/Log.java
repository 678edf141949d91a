package thistleturn.courier.runtime;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLongArray;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The courier's log, through SLF4J: one line an event, its fields as {@code name=value}. Every
 * event is counted; of one kind at most {@value #MAX_LINES_PER_SECOND} lines are written in a
 * second, and the next one says how many were left out, so that a storm of failures costs no more
 * than its counting.
 */
public final class Log {
  private static final int FATAL_EXIT_STATUS = 70;
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final int MAX_STACK_FRAMES = 16;
  private static final long NS_PER_S = 1_000_000_000;
  private static final Logger LOGGER = LoggerFactory.getLogger("thistleturn");
  private static final Event[] EVENTS = Event.values();
  private static final AtomicLongArray COUNTS = new AtomicLongArray(EVENTS.length);

  /**
   * The second in which an event was last written, how often in it, and how many lines were left
   * out since.
   */
  private static final long[] LAST_LOGGED_SECOND = new long[EVENTS.length];

  private static final int[] LINES_IN_SECOND = new int[EVENTS.length];
  private static final long[] SUPPRESSED_LINES = new long[EVENTS.length];

  /** What a rehearsal does to itself is nobody's event. */
  private static volatile boolean muted;

  private Log() {}

  /** Events are neither counted nor written from now on, or they are again. */
  public static void setMuted(final boolean mute) {
    muted = mute;
  }

  /** One line of text, for what an operator should know of the process as a whole. */
  public static void info(final String text) {
    LOGGER.info("ts={} {}", Instant.now(), text);
  }

  /** An event is counted, and not written. */
  public static void count(final Event event) {
    if (!muted) {
      COUNTS.incrementAndGet(event.ordinal());
    }
  }

  /** An event with its fields, names and values in turn. */
  public static void event(final Event event, final Object... fields) {
    if (muted && event != Event.FAILURE) {
      return;
    }
    count(event);
    final long leftOut = suppressedLinesOrLimit(event);
    if (leftOut < 0) {
      return;
    }
    final StringBuilder line =
        new StringBuilder("ts=").append(Instant.now()).append(" event=").append(event.label());
    for (int index = 0; index + 1 < fields.length; index += 2) {
      appendField(line, fields[index], fields[index + 1]);
    }
    if (leftOut > 0) {
      appendField(line, "lines_left_out", leftOut);
    }
    LOGGER.info(line.toString());
  }

  private static void appendField(final StringBuilder line, final Object name, final Object value) {
    final String text = String.valueOf(value);
    line.append(' ').append(name).append('=');
    if (text.isEmpty() || text.chars().anyMatch(one -> one <= ' ' || one == '"' || one == '=')) {
      line.append('"')
          .append(
              text.replace("\\", "\\\\")
                  .replace("\"", "\\\"")
                  .replace("\n", "\\n")
                  .replace("\r", "\\r"))
          .append('"');
    } else {
      line.append(text);
    }
  }

  /**
   * How many lines of an event were left out before this one; below 0 if this one is left out as
   * well.
   */
  private static synchronized long suppressedLinesOrLimit(final Event event) {
    final int index = event.ordinal();
    final long second = System.nanoTime() / NS_PER_S;
    if (LAST_LOGGED_SECOND[index] != second) {
      LAST_LOGGED_SECOND[index] = second;
      LINES_IN_SECOND[index] = 0;
    }
    if (++LINES_IN_SECOND[index] > MAX_LINES_PER_SECOND) {
      SUPPRESSED_LINES[index]++;
      return -1;
    }
    final long before = SUPPRESSED_LINES[index];
    SUPPRESSED_LINES[index] = 0;
    return before;
  }

  /** How often each event came since the process began, in the form that Prometheus reads. */
  public static String prometheusCounters() {
    final StringBuilder text = new StringBuilder("# TYPE courier_events_total counter\n");
    for (final Event event : EVENTS) {
      text.append("courier_events_total{event=\"")
          .append(event.label())
          .append("\"} ")
          .append(COUNTS.get(event.ordinal()))
          .append('\n');
    }
    return text.toString();
  }

  /** Says what failed and why, with the place: an unexpected exception. */
  public static void failure(final String what, final Throwable cause) {
    event(Event.FAILURE, "what", what, "cause", cause, "at", formatStack(cause));
    if (cause instanceof VirtualMachineError) {
      // Nothing can be trusted after that, least of all that anyone is served; the next process
      // resumes.
      Runtime.getRuntime().halt(FATAL_EXIT_STATUS);
    }
  }

  private static String formatStack(final Throwable cause) {
    final StringBuilder text = new StringBuilder();
    final StackTraceElement[] frames = cause.getStackTrace();
    for (int index = 0; index < Math.min(MAX_STACK_FRAMES, frames.length); index++) {
      text.append(index == 0 ? "" : " < ")
          .append(frames[index].getClassName())
          .append('.')
          .append(frames[index].getMethodName())
          .append(':')
          .append(frames[index].getLineNumber());
    }
    if (cause.getCause() != null && cause.getCause() != cause) {
      text.append(" caused by ")
          .append(cause.getCause())
          .append(" at ")
          .append(formatStack(cause.getCause()));
    }
    return text.toString();
  }
}

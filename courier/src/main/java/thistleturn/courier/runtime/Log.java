package thistleturn.courier.runtime;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The courier's structured log, through SLF4J: one line for each event, with its fields as {@code
 * name=value}. Every event is counted. Lines of one event are rate-limited, and the next line says
 * how many were suppressed, so that a burst of failures costs little more than its counting.
 * Thread-safe.
 */
public final class Log {
  private static final int FATAL_EXIT_STATUS = 70;
  private static final Logger LOGGER = LoggerFactory.getLogger("thistleturn");
  private static final Event[] EVENTS = Event.values();
  private static final AtomicLongArray COUNTS = new AtomicLongArray(EVENTS.length);
  private static final LineLimiter LIMITER = new LineLimiter(EVENTS.length);

  /** True during a takeover warm-up, whose calls to itself are not events of the courier. */
  private static volatile boolean muted;

  private Log() {}

  /** Stops, or resumes, counting and logging events. Failures are logged in any case. */
  public static void setMuted(final boolean mute) {
    muted = mute;
  }

  /** Returns whether events are neither counted nor logged now. */
  static boolean isMuted() {
    return muted;
  }

  /** Logs a line of text, for information about the process as a whole that operators need. */
  public static void info(final String text) {
    LOGGER.info(LogLine.ofText(text));
  }

  /** Counts an event without logging it. */
  public static void count(final Event event) {
    if (!muted) {
      COUNTS.incrementAndGet(event.ordinal());
    }
  }

  /**
   * Counts an event and logs it with its fields.
   *
   * @param fields names and values alternately; a supplier is evaluated only if the line is written
   */
  public static void event(final Event event, final Object... fields) {
    if (muted && event != Event.FAILURE) {
      return;
    }
    count(event);
    final long suppressed = LIMITER.tryAcquire(event.ordinal());
    if (suppressed == LineLimiter.LIMITED) {
      return;
    }
    final LogLine line = LogLine.ofEvent(event);
    for (int index = 0; index + 1 < fields.length; index += 2) {
      line.field(fields[index], valueOf(fields[index + 1]));
    }
    if (suppressed > 0) {
      line.field("lines_left_out", suppressed);
    }
    LOGGER.info(line.toString());
  }

  private static Object valueOf(final Object field) {
    return field instanceof Supplier<?> lazy ? lazy.get() : field;
  }

  /**
   * Returns how often each event occurred since the process started, in Prometheus' text format.
   */
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

  /**
   * Logs an unexpected exception with its stack. An {@link Error} ends the process: memory, a class
   * or the virtual machine itself has failed, so nothing can be relied on after that, not even that
   * clients are still served; the next process resumes the messages.
   */
  public static void failure(final String what, final Throwable cause) {
    event(Event.FAILURE, "what", what, "cause", cause, "at", StackSummary.of(cause));
    if (cause instanceof Error) {
      Runtime.getRuntime().halt(FATAL_EXIT_STATUS);
    }
  }

  /**
   * Does the same for an {@link Error}, and nothing for an exception. For code in which a remote
   * side can cause exceptions, which are then no defect of the courier.
   */
  public static void failureIfError(final String what, final Throwable cause) {
    if (cause instanceof Error) {
      failure(what, cause);
    }
  }
}

package thistleturn.courier.runtime;

import java.time.Instant;

/** Formats one line of the log: its time, then a text or an event with its fields. */
final class LogLine {
  private final StringBuilder line;

  private LogLine(final Event event) {
    this.line =
        new StringBuilder("ts=").append(Instant.now()).append(" event=").append(event.label());
  }

  /** Begins the line of an event. */
  static LogLine ofEvent(final Event event) {
    return new LogLine(event);
  }

  /** Returns a line of plain text. */
  static String ofText(final String text) {
    return "ts=" + Instant.now() + " " + text;
  }

  /** Appends a field; its value is quoted if it would otherwise be ambiguous. */
  void field(final Object name, final Object value) {
    final String text = String.valueOf(value);
    line.append(' ').append(name).append('=');
    if (mustBeQuoted(text)) {
      line.append('"').append(escape(text)).append('"');
    } else {
      line.append(text);
    }
  }

  private static boolean mustBeQuoted(final String text) {
    return text.isEmpty()
        || text.chars().anyMatch(letter -> letter <= ' ' || letter == '"' || letter == '=');
  }

  private static String escape(final String text) {
    return text.replace("\\", "\\\\")
        .replace("\"", "\\\"")
        .replace("\n", "\\n")
        .replace("\r", "\\r");
  }

  @Override
  public String toString() {
    return line.toString();
  }
}

package thistleturn.courier.runtime;

/** A stack trace on one line. */
final class StackSummary {
  private static final int MAX_FRAMES = 16;

  private StackSummary() {}

  /** Returns the topmost frames of an exception, then those of its causes. */
  static String of(final Throwable failure) {
    final StringBuilder text = new StringBuilder();
    appendFrames(text, failure.getStackTrace());
    final Throwable cause = failure.getCause();
    if (cause != null && cause != failure) {
      text.append(" caused by ").append(cause).append(" at ").append(of(cause));
    }
    return text.toString();
  }

  private static void appendFrames(final StringBuilder text, final StackTraceElement[] frames) {
    for (int index = 0; index < Math.min(MAX_FRAMES, frames.length); index++) {
      final StackTraceElement frame = frames[index];
      text.append(index == 0 ? "" : " < ")
          .append(frame.getClassName())
          .append('.')
          .append(frame.getMethodName())
          .append(':')
          .append(frame.getLineNumber());
    }
  }
}

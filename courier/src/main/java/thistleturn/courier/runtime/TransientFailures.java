package thistleturn.courier.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;

/**
 * Tells which failures of a start are worth a retry: the system lacks something that may come back
 * by itself (ENOSPC, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM). What somebody has to mend (a file that
 * is missing, an address in use, a setting that is not valid) is permanent.
 */
public final class TransientFailures {
  /** How long a start is retried, us: a courier is to be ready within 30 s. */
  public static final long RETRY_BUDGET_US = 22_000_000;

  /** The delay before a retry, ms. */
  public static final long RETRY_DELAY_MS = 25;

  /**
   * What the message of an {@link OutOfMemoryError} contains if the system has no thread to give.
   */
  private static final String NO_NATIVE_THREAD = "native thread";

  private TransientFailures() {}

  /** True if the failure, or what caused it, may pass by itself. */
  public static boolean isTransient(final Throwable failure) {
    boolean systemFailure = false;
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (isPermanent(cause)) {
        return false;
      }
      systemFailure |= cause instanceof IOException || isThreadShortage(cause);
    }
    return systemFailure;
  }

  private static boolean isPermanent(final Throwable cause) {
    return cause instanceof BindException
        || cause instanceof NoSuchFileException
        || cause instanceof AccessDeniedException
        || cause instanceof JsonProcessingException
        || cause instanceof PermanentFailureException;
  }

  private static boolean isThreadShortage(final Throwable cause) {
    return cause instanceof OutOfMemoryError
        && String.valueOf(cause.getMessage()).contains(NO_NATIVE_THREAD);
  }

  /** True if the failure, or what caused it, is that another socket has the address. */
  public static boolean isAddressInUse(final Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof BindException) {
        return true;
      }
    }
    return false;
  }
}

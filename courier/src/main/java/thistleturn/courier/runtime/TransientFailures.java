package thistleturn.courier.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;

/**
 * Classifies which failures of a start are worth a retry. A failure is transient if the system
 * lacks a resource that may become available again (ENOSPC, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM).
 * One that an operator has to fix (a missing file, an address in use, an invalid setting) is
 * permanent.
 */
public final class TransientFailures {
  /** How long a start is retried, us: a courier must be ready within 30 s. */
  public static final long RETRY_BUDGET_US = 22_000_000;

  /** The delay before a retry, ms. */
  public static final long RETRY_DELAY_MS = 25;

  /**
   * Part of the message of an {@link OutOfMemoryError} that reports that no thread can be created.
   */
  private static final String NO_NATIVE_THREAD = "native thread";

  private TransientFailures() {}

  /** Returns true if the failure, or one of its causes, is transient and none is permanent. */
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

  /** Returns true if the failure, or one of its causes, is that an address is in use. */
  public static boolean isAddressInUse(final Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof BindException) {
        return true;
      }
    }
    return false;
  }
}

package thistleturn.courier.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;

/**
 * Which failures of a start may pass by themselves: what the system refuses for want of something
 * (ENOSPC, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM). What somebody has to mend (a file that is
 * missing, an address that is taken, a setting that cannot be read) stays.
 */
public final class TransientFailures {
  /** A courier is to be ready within 30 s of its start. */
  public static final long RETRY_BUDGET_US = 22_000_000;

  /** How soon what failed is tried again, ms. */
  public static final long RETRY_DELAY_MS = 25;

  private static final String NO_NATIVE_THREAD = "native thread";

  private TransientFailures() {}

  /** True if the failure, or what caused it, may pass. */
  public static boolean isTransient(final Throwable failure) {
    boolean system = false;
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof BindException
          || cause instanceof NoSuchFileException
          || cause instanceof AccessDeniedException
          || cause instanceof JsonProcessingException
          || cause instanceof PermanentFailureException) {
        return false;
      }
      system |=
          cause instanceof IOException
              || (cause instanceof OutOfMemoryError
                  && String.valueOf(cause.getMessage()).contains(NO_NATIVE_THREAD));
    }
    return system;
  }

  /** True if somebody else has the address. */
  public static boolean isAddressInUse(final Throwable failure) {
    return failure instanceof BindException
        || (failure != null && isAddressInUse(failure.getCause()));
  }
}

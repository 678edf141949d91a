package thistleturn.courier;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;

/**
 * Starts a real courier, has it read its configuration again on SIGHUP, and ends it in order on
 * SIGTERM.
 */
public final class Main {
  private Main() {}

  /** Runs a courier with what the environment tells, until it is ended. */
  public static void main(final String[] args) {
    try {
      serve(System.getenv(), null, CourierOptions.platformDefaults());
    } catch (final ConfigurationException | IOException e) {
      System.err.println("cannot start: " + e.getMessage());
      System.exit(1);
    }
  }

  /**
   * Runs a courier as this process: signals are its own, and a start that fails later ends the
   * process.
   *
   * @param extension a subsystem beside the platform's own, or null
   * @param tuning how large it is made
   */
  public static CourierServer serve(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions tuning)
      throws ConfigurationException, IOException {
    final AtomicReference<CourierServer> started = new AtomicReference<>();
    final AtomicBoolean asked = new AtomicBoolean();
    // First of all: until this is in place, a SIGHUP ends the process.
    ReloadSignal.onHangup(
        () -> {
          asked.set(true);
          final CourierServer process = started.get();
          if (process == null) {
            Log.info("SIGHUP: the configuration is read again once this process has started");
          } else {
            process.reload();
          }
        });
    final CourierServer process = startWithRetry(environment, extension, tuning);
    started.set(process);
    if (asked.get()) {
      // What was read may be what was there before the signal.
      process.reload();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(process::shutDownGracefully, "stop"));
    process
        .ready()
        .exceptionally(
            failure -> {
              System.err.println("cannot start: " + failure.getMessage());
              Runtime.getRuntime().halt(1);
              return null;
            });
    return process;
  }

  /**
   * What the system cannot give now it may give in a moment: a start that ends for that is a crash.
   */
  private static CourierServer startWithRetry(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions tuning)
      throws ConfigurationException, IOException {
    final Clock clock = new Clock();
    final long untilUs = clock.nowUs() + TransientFailures.RETRY_BUDGET_US;
    while (true) {
      try {
        return CourierServer.start(environment, extension, tuning);
      } catch (final ConfigurationException | IOException | RuntimeException | OutOfMemoryError e) {
        if (!TransientFailures.isTransient(e) || clock.nowUs() > untilUs) {
          throw e;
        }
        Log.event(Event.START_RETRIED, "step", "open", "cause", e);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TransientFailures.RETRY_DELAY_MS));
    }
  }
}

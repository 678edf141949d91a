package thistleturn.courier;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;

/**
 * Runs a courier as a process of its own: SIGHUP reloads its configuration, SIGTERM shuts it down
 * gracefully.
 */
public final class Main {
  private static final int START_FAILED_STATUS = 1;

  private Main() {}

  /** Runs a courier with the configuration that the environment names, until the process ends. */
  public static void main(final String[] args) {
    try {
      serve(System.getenv(), null, CourierOptions.platformDefaults());
    } catch (final ConfigurationException | IOException | RuntimeException | Error e) {
      System.err.println(describe(e));
      System.exit(START_FAILED_STATUS);
    }
  }

  /**
   * Runs a courier as this process: it handles SIGHUP and SIGTERM, and a start that fails after
   * this method has returned ends the process.
   *
   * @param environment the environment variables that name the configuration
   * @param extension an additional subsystem, or null
   * @param options the size of the courier
   * @throws ConfigurationException if the configuration cannot be used
   * @throws IOException if the journal cannot be opened
   */
  public static CourierServer serve(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException, IOException {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) -> Log.failure("thread " + thread.getName(), failure));
    final AtomicReference<CourierServer> started = new AtomicReference<>();
    final AtomicBoolean reloadRequested = new AtomicBoolean();
    // Installed first: until then, a SIGHUP ends the process.
    ReloadSignal.onHangup(() -> onHangup(reloadRequested, started.get()));
    final CourierServer server = startWithRetry(environment, extension, options);
    started.set(server);
    if (reloadRequested.get()) {
      // The configuration may have been read before the signal.
      server.reload();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "stop"));
    server.ready().whenComplete(Main::haltIfStartFailed);
    return server;
  }

  private static void onHangup(final AtomicBoolean reloadRequested, final CourierServer server) {
    reloadRequested.set(true);
    if (server == null) {
      Log.info("SIGHUP: the configuration is read again once this process has started");
    } else {
      server.reload();
    }
  }

  private static void haltIfStartFailed(final String address, final Throwable failure) {
    if (failure != null) {
      System.err.println(describe(failure));
      Runtime.getRuntime().halt(START_FAILED_STATUS);
    }
  }

  /** Returns one line on why the start failed, with the type of an unexpected failure. */
  private static String describe(final Throwable failure) {
    final boolean expected =
        failure instanceof ConfigurationException || failure instanceof IOException;
    return "cannot start: " + (expected ? failure.getMessage() : failure);
  }

  /**
   * Starts a courier, and retries after a transient failure: a resource that the system lacks now
   * may soon be available.
   */
  private static CourierServer startWithRetry(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException, IOException {
    final Clock clock = new Clock();
    final long retryUntilUs = clock.nowUs() + TransientFailures.RETRY_BUDGET_US;
    while (true) {
      try {
        return CourierServer.start(environment, extension, options);
      } catch (final ConfigurationException | IOException | RuntimeException | OutOfMemoryError e) {
        if (!TransientFailures.isTransient(e) || clock.nowUs() > retryUntilUs) {
          throw e;
        }
        Log.event(Event.START_RETRIED, "step", "open", "cause", e);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TransientFailures.RETRY_DELAY_MS));
    }
  }
}

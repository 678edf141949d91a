package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import thistleturn.courier.operator.DisabledEndpointsFile;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.PermanentFailureException;
import thistleturn.decisions.model.ResourceLimits;

/**
 * A courier: for each shard one event loop with a journal, an ingress, a dispatcher and an outcome
 * notifier, and one endpoint directory for all of them.
 *
 * <p>A server is started once and ended once; several can run in one Java virtual machine. {@link
 * LifecycleState} describes the states in between. The work is done by {@link Startup}, {@link
 * TakeoverCoordinator}, {@link ConfigurationReload} and {@link GracefulShutdown}.
 */
public final class CourierServer {
  private final ServerContext context;
  private final ConfigurationReload configurationReload;
  private final GracefulShutdown gracefulShutdown;

  /** The outcome of the start; a failure is reported after the start has been undone. */
  private final CompletableFuture<String> ready = new CompletableFuture<>();

  private final DisabledEndpointRegistry disabledEndpoints;

  private CourierServer(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException, IOException {
    this.context = createContext(environment, extension, options);
    this.configurationReload = new ConfigurationReload(environment, context);
    this.gracefulShutdown = new GracefulShutdown(context);
    this.disabledEndpoints =
        new DisabledEndpointRegistry(
            context.shards(),
            context.hasOperators()
                ? new DisabledEndpointsFile(
                    context.config().stateFolder(), ProcessHandle.current().pid())
                : null);
    // Each step from here on opens a resource; if one fails, the previous ones are undone, the last
    // one first.
    try {
      lockStateFolder();
      disabledEndpoints.load();
    } catch (final IOException | RuntimeException | Error e) {
      kill();
      throw e;
    }
    context.progress().serving().whenComplete(this::onStartDecided);
  }

  private static ServerContext createContext(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException {
    final Clock clock = new Clock();
    final long startedUs = clock.nowUs();
    final CourierConfig config = CourierConfig.read(environment);
    requireCapacityForEachShard(config.settings().limits(), options.shardCount());
    final LatestConfig latestConfig = new LatestConfig(config);
    final ShardGroup shards =
        new ShardGroup(options.shardCount(), () -> new Shard(config, options, clock, latestConfig));
    return new ServerContext(
        config,
        options,
        clock,
        latestConfig,
        extension,
        shards,
        new StateFolder(config),
        new Lifecycle(),
        new StartupProgress(clock, shards.first().eventLoop(), startedUs));
  }

  private static void requireCapacityForEachShard(final ResourceLimits limits, final int shardCount)
      throws ConfigurationException {
    if (limits.concurrencyLimit() < shardCount || limits.maxPendingMessages() < shardCount) {
      throw new ConfigurationException(
          "shards: "
              + shardCount
              + " shards need at least as many concurrent calls ("
              + limits.concurrencyLimit()
              + ") and pending messages ("
              + limits.maxPendingMessages()
              + ")");
    }
  }

  /**
   * Locks the state folder and opens its journals. A process that may take over from the holder of
   * the lock continues without it.
   */
  private void lockStateFolder() throws IOException {
    final StateFolder stateFolder = context.stateFolder();
    if (stateFolder.tryLock()) {
      context.shards().openJournals(stateFolder, stateFolder.lock().earlierProcesses());
    } else if (!context.hasOperators() || context.shards().size() > 1) {
      throw new PermanentFailureException(
          context.config().stateFolder() + ": another courier that runs uses this folder");
    }
  }

  private void onStartDecided(final String address, final Throwable failure) {
    if (failure == null) {
      ready.complete(address);
      return;
    }
    try {
      // Not on an event loop, because undoing the start ends the event loops.
      new Thread(() -> undoStart(failure), "undo-start").start();
    } catch (final RuntimeException | Error e) {
      // No thread can be created, but the failure must still be reported to those who wait for it.
      failure.addSuppressed(e);
      ready.completeExceptionally(failure);
    }
  }

  private void undoStart(final Throwable failure) {
    try {
      kill();
    } catch (final RuntimeException | Error e) {
      failure.addSuppressed(e);
    } finally {
      ready.completeExceptionally(failure);
    }
  }

  /**
   * Starts a courier with the configuration file that the environment names.
   *
   * @throws ConfigurationException if the configuration cannot be used; its message is one line
   *     that names the fault
   * @throws IOException if the journal cannot be opened
   */
  public static CourierServer start(final Map<String, String> environment)
      throws ConfigurationException, IOException {
    return start(environment, null);
  }

  /** Starts a courier with an extension; null for none. */
  public static CourierServer start(
      final Map<String, String> environment, final CourierExtension extension)
      throws ConfigurationException, IOException {
    return start(environment, extension, CourierOptions.platformDefaults());
  }

  /** Starts a courier with other options than the platform's defaults. */
  public static CourierServer start(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException, IOException {
    final CourierServer server =
        new CourierServer(environment, extension == null ? new NoExtension() : extension, options);
    final Startup startup =
        new Startup(
            server.context,
            server.disabledEndpoints,
            new ExternalInputs(server.disabledEndpoints, server.configurationReload));
    server.eventLoop().execute(startup::run);
    return server;
  }

  /**
   * Returns a future of the address at which the courier serves, or of the failure of the start.
   */
  public CompletableFuture<String> ready() {
    return ready;
  }

  /** Returns the first shard's event loop, which also owns the state shared by all shards. */
  public EventLoop eventLoop() {
    return context.eventLoop();
  }

  /**
   * Reloads the configuration, as on SIGHUP: moves to the discovery address in the file. The file
   * of the latest call applies. A file that cannot be used changes nothing.
   */
  public void reload() {
    configurationReload.reload();
  }

  /**
   * Shuts down as on SIGTERM: completes messages for a limited time and leaves the rest to the next
   * process. Returns when done; a second call waits for the first to end.
   */
  public void shutDownGracefully() {
    gracefulShutdown.runAndAwait();
  }

  /**
   * Ends the server at once, as a power failure would: connections break, and the state folder is
   * left as it is. For couriers that share a Java virtual machine with others; a courier in its own
   * process is ended by ending the process. Resources are released in the reverse order of the
   * start: the event loops with everything that they own, the journals, the lock of the folder.
   */
  public void kill() {
    context.shards().terminateEventLoops();
    context.shards().closeJournals();
    context.stateFolder().unlock();
    context.lifecycle().onTerminated();
  }
}

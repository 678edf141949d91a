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
 * A courier as one process: one event loop for each shard, with a journal, an ingress, a dispatcher
 * and an outcome notifier, and one endpoint directory for all of them.
 *
 * <p>A server is started once and ended once; several can run in one Java virtual machine. What
 * happens between is described by {@link LifecycleState}. The work is done by {@link Startup},
 * {@link TakeoverCoordinator}, {@link ConfigurationReload} and {@link GracefulShutdown}.
 */
public final class CourierServer {
  private final ServerContext context;
  private final ConfigurationReload configurationReload;
  private final GracefulShutdown gracefulShutdown;

  /** The outcome of the start, once a start that failed is undone. */
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
    // From here on each step opens something; if one fails, those before it are undone, the last
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
              + " of them need at least as many slots ("
              + limits.concurrencyLimit()
              + ") and open messages ("
              + limits.maxPendingMessages()
              + ")");
    }
  }

  /**
   * Takes the state folder, and its journals with it. A process that may take over from the one
   * that holds the folder goes on without it.
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
      // Not on an event loop: they are what is ended.
      new Thread(() -> undoStart(failure), "undo the start").start();
    } catch (final RuntimeException | Error e) {
      // The system has no thread for it: whoever waits for the outcome must hear of it all the
      // same.
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
   * Starts a courier with the configuration that the environment names.
   *
   * @throws ConfigurationException if the configuration cannot be used; one line that names what is
   *     wrong
   * @throws IOException if the journal cannot be opened
   */
  public static CourierServer start(final Map<String, String> environment)
      throws ConfigurationException, IOException {
    return start(environment, null);
  }

  /** Starts a courier with a subsystem beside the platform's own, or (null) without one. */
  public static CourierServer start(
      final Map<String, String> environment, final CourierExtension extension)
      throws ConfigurationException, IOException {
    return start(environment, extension, CourierOptions.platformDefaults());
  }

  /** Starts a courier of another size than the platform's. */
  public static CourierServer start(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions options)
      throws ConfigurationException, IOException {
    final CourierServer server =
        new CourierServer(environment, extension == null ? new NoExtension() : extension, options);
    final Startup startup = new Startup(server.context, server.disabledEndpoints);
    server.eventLoop().execute(startup::run);
    return server;
  }

  /** Completes with the address at which it serves, or with the reason why it cannot. */
  public CompletableFuture<String> ready() {
    return ready;
  }

  /** Returns the first shard's event loop, which also owns what all shards share. */
  public EventLoop eventLoop() {
    return context.eventLoop();
  }

  /**
   * Reads the configuration again, as on SIGHUP: moves to the discovery that the file names now. Of
   * two calls in a row the later one's file applies. A file that cannot be used changes nothing.
   */
  public void reload() {
    configurationReload.reload();
  }

  /**
   * Shuts down as on SIGTERM: goes on for a while, and leaves what is not complete by then to the
   * next process. Returns when done; a second call waits for the first one's end.
   */
  public void shutDownGracefully() {
    gracefulShutdown.runAndAwait();
  }

  /**
   * Ends the server at once, as a power cut would: connections break, and the folder stays as it
   * is. For couriers that share a Java virtual machine with others; a process of its own is ended
   * by its end. What the start opened is released in reverse: the event loops with everything that
   * lives on them, the journals, the lock of the folder.
   */
  public void kill() {
    context.shards().terminateEventLoops();
    context.shards().closeJournals();
    context.stateFolder().unlock();
    context.lifecycle().onTerminated();
  }
}

package thistleturn.courier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverServer;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.learned.LearnedStateFile;
import thistleturn.courier.operator.OperatorServer;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.shard.CapacityExchange;
import thistleturn.courier.shard.ShardedIngressHandler;
import thistleturn.courier.shard.SharedDirectory;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;

/**
 * The steps of a start on the first event loop, from the operators' listener to the clients'
 * listeners; each shard's part runs on that shard's event loop, which owns it from then on.
 */
final class Startup {
  /**
   * How often this process reads which endpoints operators disabled at another process of this
   * courier.
   */
  private static final long DISABLED_ENDPOINTS_POLL_MS = 200;

  private final ServerContext context;
  private final CourierConfig config;
  private final EventLoop eventLoop;
  private final ShardGroup shards;
  private final StartupProgress progress;
  private final DisabledEndpointRegistry disabledEndpoints;
  private final ExternalInputs externalInputs;
  private final DirectiveBroadcaster directives;
  private final TakeoverCoordinator takeover;
  private final ClientListeners clientListeners;

  /** The directory that all shards follow. */
  private EndpointDirectory directory;

  Startup(
      final ServerContext context,
      final DisabledEndpointRegistry disabledEndpoints,
      final ExternalInputs externalInputs) {
    this.context = context;
    this.externalInputs = externalInputs;
    this.config = context.config();
    this.eventLoop = context.eventLoop();
    this.shards = context.shards();
    this.progress = context.progress();
    this.disabledEndpoints = disabledEndpoints;
    this.directives = new DirectiveBroadcaster(shards, disabledEndpoints);
    this.takeover =
        new TakeoverCoordinator(
            context, externalInputs, this::startFromHandover, this::startFromJournals);
    this.clientListeners = new ClientListeners(context, takeover, this::onListening);
  }

  /** Runs all steps; a failure is reported to the progress of the start. */
  void run() {
    progress.watch();
    progress.run("begin", this::begin);
  }

  private void begin() {
    if (context.hasOperators()) {
      listenToOperators();
    }
    directory =
        context
            .extension()
            .createDirectory(shards.first().createDiscoveryClient(), extensionContext());
    if (context.stateFolder().isLocked()) {
      startFromJournals();
    } else {
      takeover.takeOver();
    }
  }

  private ExtensionContext extensionContext() {
    return new ExtensionContext(
        config,
        eventLoop,
        context.clock(),
        this::routeStatus,
        () -> shards.first().decisionLoop().healthStatus(),
        directives);
  }

  /**
   * Returns the status of the first shard's routes; those of other shards are accessible only on
   * their own loops.
   */
  private JsonNode routeStatus() {
    return shards.first().decisionLoop().routeStatus();
  }

  private void listenToOperators() {
    // Created only here: without an address for operators the service is not needed.
    final AdminService adminService =
        new AdminService(context.lifecycle(), shards, directives, disabledEndpoints);
    new OperatorServer(adminService)
        .listen(eventLoop, config.operatorAddress())
        .whenComplete(
            progress.step(
                "listen to operators",
                (bound, failure) -> {
                  if (failure == null) {
                    Log.info(config.name() + " listens to operators at " + bound);
                  } else {
                    progress.retryOrFail("listen to operators", failure, this::listenToOperators);
                  }
                }));
  }

  private void startFromJournals() {
    startShards(Shard::startFromJournal);
  }

  private void startFromHandover(
      final HandoverSnapshot snapshot, final HandoverClient predecessor) {
    progress.serving().thenAccept(bound -> predecessor.announceListening());
    predecessor.setReloadListener(externalInputs::onReloadRequested);
    startShards(shard -> shard.startFromHandover(snapshot, predecessor));
  }

  /** Begins to decide on every shard; {@code start} returns the number of messages resumed. */
  private void startShards(final ToIntFunction<Shard> start) {
    final SharedDirectory sharedDirectory =
        shards.size() == 1 ? null : new SharedDirectory(directory, eventLoop, shards.eventLoops());
    final List<CompletableFuture<Void>> started = new ArrayList<>();
    for (int index = 0; index < shards.size(); index++) {
      final Shard shard = shards.get(index);
      shard.prepare(
          sharedDirectory == null ? directory : sharedDirectory.view(index),
          learnedStateFile(index));
      started.add(runOn(shard.eventLoop(), () -> startShard(shard, start)));
    }
    CompletableFuture.allOf(started.toArray(CompletableFuture[]::new))
        .whenCompleteAsync(
            progress.step(
                "open the listeners",
                (done, failure) -> {
                  if (failure == null) {
                    onShardsStarted(sharedDirectory);
                  } else {
                    progress.fail(failure);
                  }
                }),
            eventLoop);
  }

  /** Returns where a shard keeps its learned state, or null where it is not retained. */
  private LearnedStateFile learnedStateFile(final int index) {
    if (!context.options().retainsLearnedState()) {
      return null;
    }
    final List<String> classNames =
        config.settings().classes().stream().map(MessageClass::name).toList();
    return new LearnedStateFile(
        config.stateFolder(), index, classNames, config.diskBudgetBytes() / shards.size());
  }

  /** Runs a task on an event loop, at once if that is the current one. */
  private static CompletableFuture<Void> runOn(final EventLoop loop, final Runnable task) {
    return CompletableFuture.runAsync(
        task,
        queued -> {
          if (loop.inEventLoop()) {
            queued.run();
          } else {
            loop.execute(queued);
          }
        });
  }

  private void startShard(final Shard shard, final ToIntFunction<Shard> start) {
    final DecisionLoop decisionLoop = shard.createDecisionLoop();
    if (shards.size() > 1) {
      // Divided evenly, until capacity is moved to where it is needed.
      final ResourceLimits limits = config.settings().limits();
      decisionLoop.applyCapacityLimits(
          limits.concurrencyLimit() / shards.size(), limits.maxPendingMessages() / shards.size());
    }
    if (context.hasOperators()) {
      decisionLoop.setDisabledEndpoints(disabledEndpoints.endpoints());
    }
    final int resumed = start.applyAsInt(shard);
    if (context.latestConfig().isChanged()) {
      // It was reloaded before there was a decision loop to apply it to.
      shard.reload(context.latestConfig().get());
    }
    if (resumed > 0) {
      Log.info("resumed " + resumed + " messages");
    }
  }

  private void onShardsStarted(final SharedDirectory sharedDirectory) {
    final List<EventLoop> eventLoops = shards.eventLoops();
    final List<DecisionLoop> decisionLoops = shards.decisionLoops();
    if (sharedDirectory != null) {
      sharedDirectory.start();
      new CapacityExchange(config.settings().limits(), eventLoop, eventLoops, decisionLoops)
          .start();
    }
    for (int index = 0; index < shards.size(); index++) {
      final Shard shard = shards.get(index);
      final IngressHandler handler =
          sharedDirectory == null
              ? new LocalIngressHandler(shard)
              : new ShardedIngressHandler(index, eventLoops, decisionLoops);
      shard.createIngress(handler);
    }
    shards.stream().forEach(Shard::startSavingLearnedState);
    context.lifecycle().onShardsStarted();
    clientListeners.open();
    if (context.hasOperators()) {
      eventLoop.scheduleWithFixedDelay(
          GuardedTasks.guard("apply disabled endpoints", disabledEndpoints::applyStoredChanges),
          DISABLED_ENDPOINTS_POLL_MS,
          DISABLED_ENDPOINTS_POLL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void onListening(final String bound) {
    final String shardCount = shards.size() > 1 ? " on " + shards.size() + " shards" : "";
    Log.info(config.name() + " is ready at " + bound + shardCount);
    context.lifecycle().onListening();
    if (context.hasOperators() && shards.size() == 1) {
      new HandoverServer(
              new ShardHandoverSource(context, directives, externalInputs, clientListeners::open))
          .listen(eventLoop, config.stateFolder());
    }
    context.extension().onServing(bound);
    progress.succeed(bound);
  }
}

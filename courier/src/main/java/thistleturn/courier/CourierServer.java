package thistleturn.courier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverServer;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.HandoverSource;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.courier.handover.StateLock;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.http.HttpDispatcher;
import thistleturn.courier.http.HttpIngress;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.learned.LearnedStateFile;
import thistleturn.courier.learned.LearnedStateWriter;
import thistleturn.courier.operator.AdminOperations;
import thistleturn.courier.operator.CourierMetrics;
import thistleturn.courier.operator.DisabledEndpointsFile;
import thistleturn.courier.operator.OperatorServer;
import thistleturn.courier.platform.DiscoveryClient;
import thistleturn.courier.platform.HttpOutcomeNotifier;
import thistleturn.courier.port.DirectiveSink;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PermanentFailureException;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.runtime.TransientFailures;
import thistleturn.courier.shard.CapacityExchange;
import thistleturn.courier.shard.ShardJournals;
import thistleturn.courier.shard.ShardedIngressHandler;
import thistleturn.courier.shard.SharedDirectory;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;

/**
 * A courier with its ports wired: one event loop that owns all state, a journal, a front, a
 * carrier, a directory and the telling of ends. It is started once and ended once; several can run
 * in one Java machine.
 */
public final class CourierServer {
  /** After SIGTERM new connections still come for up to 0.4 s. */
  private static final long LISTENER_DRAIN_MS = 550;

  /** When the process ends after SIGTERM: SIGKILL comes no sooner than 3.7 s after it. */
  private static final long SHUTDOWN_TIMEOUT_MS = 3100;

  private static final long SHUTDOWN_POLL_MS = 20;

  /** What an extension has to take leave at least. */
  private static final long EXTENSION_SHUTDOWN_MS = 300;

  private static final long US_PER_MS = 1000;

  /** How soon it is seen what another process of this courier was told by operators. */
  private static final long SHARED_STATE_POLL_MS = 200;

  /** Looks after which what was learnt is put down in any case: once a second. */
  private static final int POLLS_BETWEEN_SAVES = 5;

  /** How soon a process that cannot hand over now is asked again. */
  private static final long HANDOVER_RETRY_MS = 50;

  private static final int SUCCESSOR_LOST_EXIT_STATUS = 75;

  /** How often a lock is tried that a process which has ended may still hold. */
  private static final int LOCK_ATTEMPTS = 100;

  private final Clock clock = new Clock();
  private final long startedUs = clock.nowUs();
  private final List<Shard> shards = new ArrayList<>();
  private final EventLoop loop;
  private final CountDownLatch stopped = new CountDownLatch(1);

  /**
   * What the steps of the start come to; and what is told of it, once a start that failed is
   * undone.
   */
  private final CompletableFuture<String> serving = new CompletableFuture<>();

  private final CompletableFuture<String> ready = new CompletableFuture<>();
  private final Map<String, String> environment;
  private final CourierExtension extension;
  private final CourierOptions tuning;
  private final CourierConfig config;

  /**
   * What was read last, at the start or on SIGHUP: of it only the platform's address counts in this
   * process.
   */
  private volatile CourierConfig latestConfig;

  /** Null where operators have no address here. */
  private final Operators operators;

  /** Endpoints that operators have left out, as all shards were last told. */
  private volatile Set<String> disabledEndpoints;

  /** Who hears what this courier is told and finds out; null: nobody. */
  private StateObserver stateObserver;

  /** What tells that this process writes in the folder; null while another one does. */
  private StateLock stateLock;

  private EndpointDirectory platformDirectory;
  private boolean running;

  /**
   * The older process that handed over to this one, or null; whether it was asked to leave the
   * clients' address before its time.
   */
  private HandoverClient predecessor;

  private boolean askedForAddress;
  private boolean listening;
  private boolean stopping;

  private static final class NoExtension implements CourierExtension {
    @Override
    public EndpointDirectory createDirectory(
        final EndpointDirectory own, final ExtensionContext surroundings) {
      return own;
    }

    @Override
    public void onServing(final String address) {
      // Nobody else is told.
    }

    @Override
    public void onShutdownStarted() {
      // Nobody else is told.
    }

    @Override
    public boolean tryFinishShutdown() {
      return true;
    }

    @Override
    public void onConfigurationReload() {
      // It has nothing to read.
    }
  }

  private CourierServer(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions tuning)
      throws ConfigurationException, IOException {
    this.environment = environment;
    this.extension = extension;
    this.tuning = tuning;
    this.config = CourierConfig.read(environment);
    this.latestConfig = config;
    final ResourceLimits limits = config.settings().limits();
    if (limits.concurrencyLimit() < tuning.shardCount()
        || limits.maxPendingMessages() < tuning.shardCount()) {
      throw new ConfigurationException(
          "shards: "
              + tuning.shardCount()
              + " of them need at least as many slots ("
              + limits.concurrencyLimit()
              + ") and open messages ("
              + limits.maxPendingMessages()
              + ")");
    }
    for (int index = 0; index < tuning.shardCount(); index++) {
      shards.add(new Shard());
    }
    this.loop = shards.get(0).loop;
    this.operators = config.operatorAddress() == null ? null : new Operators();
    // From here on each step opens something; one that fails has those before it undone, the last
    // one first.
    try {
      lockFolder();
      this.disabledEndpoints = operators == null ? Set.of() : operators.file.read();
    } catch (final IOException | RuntimeException e) {
      kill();
      throw e;
    }
    serving.whenComplete(
        (bound, failure) -> {
          if (failure == null) {
            ready.complete(bound);
          } else {
            // Not on a loop: they are what is ended.
            new Thread(
                    () -> {
                      kill();
                      ready.completeExceptionally(failure);
                    },
                    "undo the start")
                .start();
          }
        });
  }

  /**
   * Takes the folder, and its journals with it; a process that may take over from another one waits
   * for that.
   */
  private void lockFolder() throws IOException {
    stateLock = StateLock.tryLock(config.stateFolder());
    if (stateLock == null && (config.operatorAddress() == null || tuning.shardCount() > 1)) {
      throw new PermanentFailureException(
          config.stateFolder() + ": another courier that runs uses this folder");
    }
    if (stateLock != null) {
      openJournals();
    }
  }

  private void openJournals() throws IOException {
    final List<Journal> journals =
        ShardJournals.open(config.stateFolder(), config.diskBudgetBytes(), shards.size());
    for (int index = 0; index < shards.size(); index++) {
      shards.get(index).journal = journals.get(index);
    }
  }

  /** What a newer process is handed: all that this one decides, and its journal. */
  private final class Estate implements HandoverSource {
    private final Shard only = shards.get(0);

    @Override
    public HandoverSnapshot handOver(final Successor heir) throws IOException {
      final HandoverSnapshot inheritance = only.host.handOver(heir);
      // From here on the heir decides: what fails now must not keep it from that.
      only.journal.compactAndClose();
      close("unlocking the folder", stateLock);
      Log.info("handed over with " + inheritance.calls().size() + " calls out");
      return inheritance;
    }

    @Override
    public void abandonCall(final long call, final AttemptResult result) {
      only.host.abandonHandedOverCall(call, result);
    }

    @Override
    public void onSuccessorListening() {
      listening = false;
      only.front.drainForHandover();
    }

    @Override
    public void onSuccessorGone() {
      takeUpAgain(LOCK_ATTEMPTS, clock.nowUs() + TransientFailures.RETRY_BUDGET_US);
    }

    /**
     * The system may lift the lock of a process that died a moment after it has closed its
     * connections.
     */
    private void takeUpAgain(final int tries, final long untilUs) {
      if (stopping) {
        return;
      }
      try {
        stateLock = StateLock.tryLock(config.stateFolder());
        if (stateLock == null && tries > 0) {
          loop.schedule(
              () -> takeUpAgain(tries - 1, untilUs), SHUTDOWN_POLL_MS, TimeUnit.MILLISECONDS);
          return;
        }
        if (stateLock == null) {
          throw new PermanentFailureException("another process holds " + config.stateFolder());
        }
        openJournals();
        Log.info("the newer process has ended: this one takes up again");
        only.host = new Succession(only.host).next();
        listen(0, config.listenAddress());
      } catch (final IOException e) {
        if (TransientFailures.isTransient(e) && clock.nowUs() < untilUs) {
          Log.event(Event.START_RETRIED, "step", "take up again", "cause", e);
          unlock();
          loop.schedule(
              () -> takeUpAgain(LOCK_ATTEMPTS, untilUs),
              TransientFailures.RETRY_DELAY_MS,
              TimeUnit.MILLISECONDS);
          return;
        }
        Log.info("the newer process has ended, and so does this one: " + e.getMessage());
        new Thread(() -> System.exit(SUCCESSOR_LOST_EXIT_STATUS), "heir gone").start();
      }
    }
  }

  /**
   * A host of this process that decides for one that had handed over, and goes on carrying out what
   * it has out.
   */
  private final class Succession implements Successor, RemoteCallExecutor {
    private final DecisionLoop before;
    private final DecisionLoop next;

    private Succession(final DecisionLoop before) {
      this.before = before;
      this.next = new DecisionLoop(config, loop, clock, shards.get(0).journal, shards.get(0));
    }

    private DecisionLoop next() {
      next.continueCountersOf(before);
      next.setDisabledEndpoints(disabledEndpoints);
      if (stateObserver != null) {
        next.setObserver(new Relayed(stateObserver));
      }
      final int resumed = next.start(before.handOverAgain(this), this);
      Log.info("resumed " + resumed + " messages");
      return next;
    }

    @Override
    public void submit(
        final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
      next.onMessageSubmitted(held, reply);
    }

    @Override
    public void withdraw(final String id, final long destination) {
      next.withdraw(id, destination);
    }

    @Override
    public void reportOutcome(
        final long call, final String messageId, final Dispatcher.DispatchOutcome answer) {
      next.onRemoteOutcome(messageId, answer);
    }

    @Override
    public void setListener(final HandoverClient.Listener to) {
      // It is the next host, and known.
    }

    @Override
    public void abandonCall(final long call, final AttemptResult result) {
      before.abandonHandedOverCall(call, result);
    }
  }

  /** The desk of the host that counts: another may take its place. */
  private record Counter(Shard shard) implements IngressHandler {
    @Override
    public MessageClass messageClass(final String className) {
      return shard.host.messageClass(className);
    }

    @Override
    public boolean isAnsweredOnThisLoop(final long destination) {
      return shard.host.isAnsweredOnThisLoop(destination);
    }

    @Override
    public void submit(
        final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
      shard.host.submit(held, validUntilUs, reply);
    }

    @Override
    public void withdraw(final String id, final long destination) {
      shard.host.withdraw(id, destination);
    }
  }

  /** What operators ask and tell, carried to all shards. Lives on the first one's loop. */
  private final class Operators implements AdminOperations {
    private final DisabledEndpointsFile file =
        new DisabledEndpointsFile(config.stateFolder(), ProcessHandle.current().pid());

    @Override
    public boolean isServing() {
      return listening;
    }

    @Override
    public boolean isStarted() {
      return running;
    }

    @Override
    public CompletionStage<CourierMetrics> collectMetrics() {
      return onEachShard(shard -> shard.host.metrics()).thenApply(CourierMetrics::sum);
    }

    @Override
    public CompletionStage<Boolean> setEndpointDisabled(
        final String endpoint, final boolean leaveOut) {
      return onEachShard(shard -> shard.host.isKnownEndpoint(endpoint))
          .thenComposeAsync(
              known -> {
                if (!known.contains(true)) {
                  return CompletableFuture.completedStage(false);
                }
                try {
                  if (stateObserver != null) {
                    stateObserver.onEndpointDisabled(endpoint, leaveOut);
                  }
                  return set(endpoint, leaveOut).thenApply(done -> true);
                } catch (final IOException e) {
                  return CompletableFuture.failedStage(e);
                }
              },
              loop);
    }

    /** Another process of this courier may have written since: its word counts too. */
    private CompletionStage<?> set(final String endpoint, final boolean leaveOut)
        throws IOException {
      final Set<String> names = file.read();
      if (leaveOut ? names.add(endpoint) : names.remove(endpoint)) {
        file.replace(names);
        Log.info("operator: " + endpoint + (leaveOut ? " is left out" : " may serve again"));
      }
      return disableExactly(names);
    }

    /** Takes over what another process of this courier has written. */
    private void look() {
      try {
        final Set<String> names = file.read();
        if (!names.equals(disabledEndpoints)) {
          disableExactly(names);
        }
      } catch (final IOException e) {
        Log.info("operator: cannot read who is left out: " + e.getMessage());
      }
    }
  }

  /** Has exactly these left out on all shards. */
  private CompletionStage<?> disableExactly(final Set<String> names) {
    disabledEndpoints = Set.copyOf(names);
    return onEachShard(
        shard -> {
          shard.host.setDisabledEndpoints(names);
          return true;
        });
  }

  /** Asks each shard on its own loop. */
  private <T> CompletionStage<List<T>> onEachShard(final Function<Shard, T> question) {
    final List<CompletableFuture<T>> answers =
        shards.stream()
            .map(shard -> CompletableFuture.supplyAsync(() -> question.apply(shard), shard.loop))
            .toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
  }

  /**
   * What subsystems may say to the decisions, carried to all shards. Lives on the first one's loop.
   */
  private final class Helm implements DirectiveSink {
    @Override
    public void observe(final StateObserver by) {
      stateObserver = by;
      onEachShard(
          shard -> {
            shard.host.setObserver(new Relayed(by));
            return true;
          });
    }

    @Override
    public void applyDirective(final long destination, final Directive word) {
      onEachShard(
          shard -> {
            shard.host.applyDirective(destination, word);
            return true;
          });
    }

    @Override
    public void setDisabled(final String endpoint, final boolean leaveOut) {
      try {
        if (operators != null) {
          operators.set(endpoint, leaveOut);
          return;
        }
      } catch (final IOException e) {
        Log.info("who is left out cannot be put down: " + e.getMessage());
      }
      final Set<String> names = new TreeSet<>(disabledEndpoints);
      if (leaveOut ? names.add(endpoint) : names.remove(endpoint)) {
        disableExactly(names);
      }
    }

    @Override
    public Set<String> disabledEndpoints() {
      return disabledEndpoints;
    }
  }

  /** What a shard finds out, told on the first one's loop. */
  private final class Relayed implements StateObserver {
    private final StateObserver to;

    private Relayed(final StateObserver to) {
      this.to = to;
    }

    private void tell(final Runnable what) {
      if (loop.inEventLoop()) {
        what.run();
      } else {
        loop.execute(what);
      }
    }

    @Override
    public void onEndpointsListed() {
      tell(to::onEndpointsListed);
    }

    @Override
    public void onRetryAfter(final long destination, final long untilUs) {
      tell(() -> to.onRetryAfter(destination, untilUs));
    }

    @Override
    public void onRateLimit(final long destination, final double perSecond) {
      tell(() -> to.onRateLimit(destination, perSecond));
    }

    @Override
    public void onOutageChanged(final long destination, final boolean isOut) {
      tell(() -> to.onOutageChanged(destination, isOut));
    }

    @Override
    public void onEndpointDisabled(final String endpoint, final boolean leaveOut)
        throws IOException {
      to.onEndpointDisabled(endpoint, leaveOut);
    }
  }

  /** One event loop with all that it owns. */
  private final class Shard implements DecisionLoop.Ports {
    private final PollTracker turns = new PollTracker(clock);
    private final EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, NioIoHandler.newFactory(SelectorProvider.provider(), turns));
    private final EventLoop loop = group.next();
    private final DescriptorBudget descriptors =
        new DescriptorBudget(
            part(tuning.clientDescriptorShare()), part(tuning.endpointDescriptorShare()));
    private Journal journal;

    /** Where what was learnt is kept; null where it is not. */
    private LearnedStateFile learnt;

    private long keptTurns;
    private int looksSinceKept;
    private EndpointDirectory directory;
    private DecisionLoop host;
    private HttpIngress front;

    /** Nothing is under way here; told across loops while the process ends. */
    private volatile boolean idle;

    /**
     * From now on what is learnt is put down: now and then, and soon after a lane went out or
     * returns.
     */
    private void keepLearnt() {
      final LearnedStateWriter keeper = new LearnedStateWriter(learnt, clock);
      loop.scheduleWithFixedDelay(
          GuardedTasks.guard(
              "what was learnt",
              () -> {
                if (++looksSinceKept < POLLS_BETWEEN_SAVES
                    && host.learnedStateVersion() == keptTurns) {
                  return;
                }
                looksSinceKept = 0;
                keptTurns = host.learnedStateVersion();
                final HandoverSnapshot now = host.learnedState();
                if (now != null) {
                  keeper.save(now);
                }
              }),
          SHARED_STATE_POLL_MS,
          SHARED_STATE_POLL_MS,
          TimeUnit.MILLISECONDS);
    }

    private int part(final double share) {
      return (int) Math.max(1, share * config.maxSockets() / tuning.shardCount());
    }

    @Override
    public Dispatcher dispatcher(final Dispatcher.Listener listener) {
      return new HttpDispatcher(config, loop, clock, turns, listener, descriptors);
    }

    @Override
    public OutcomeNotifier outcomeNotifier(final OutcomeNotifier.Listener listener) {
      return new HttpOutcomeNotifier(latestConfig.discoveryAddress(), loop, clock, turns, listener);
    }

    @Override
    public EndpointDirectory endpointDirectory() {
      return directory;
    }

    @Override
    public void afterPoll(final long us, final Runnable action) {
      turns.runAfterPoll(loop, us, action);
    }
  }

  /**
   * Starts a courier with what the environment tells.
   *
   * @throws ConfigurationException if the configuration cannot be used; one line that names what is
   *     wrong
   * @throws IOException if the journal cannot be opened
   */
  public static CourierServer start(final Map<String, String> environment)
      throws ConfigurationException, IOException {
    return start(environment, null);
  }

  /** Starts a courier with a subsystem beside the platform's own. */
  public static CourierServer start(
      final Map<String, String> environment, final CourierExtension extension)
      throws ConfigurationException, IOException {
    return start(environment, extension, CourierOptions.platformDefaults());
  }

  /** Starts a courier of another size than the platform's, with a subsystem or (null) without. */
  public static CourierServer start(
      final Map<String, String> environment,
      final CourierExtension extension,
      final CourierOptions tuning)
      throws ConfigurationException, IOException {
    final CourierServer process =
        new CourierServer(environment, extension == null ? new NoExtension() : extension, tuning);
    process.loop.execute(
        () -> {
          try {
            process.startOnEventLoop();
          } catch (final RuntimeException e) {
            // On the loop's thread this would be swallowed, and a courier left that is never ready.
            process.serving.completeExceptionally(e);
          }
        });
    return process;
  }

  /** The address at which it serves, or why it cannot. */
  public CompletableFuture<String> ready() {
    return ready;
  }

  /** The loop that owns all its state. */
  public EventLoop eventLoop() {
    return loop;
  }

  /** Builds everything, each shard's part on its event loop, which owns it from then on. */
  private void startOnEventLoop() {
    if (config.operatorAddress() != null) {
      listenToOperators();
    }
    platformDirectory =
        extension.createDirectory(
            new DiscoveryClient(config, loop, clock, shards.get(0).turns),
            new ExtensionContext(
                config,
                loop,
                clock,
                this::routeStatus,
                () -> shards.get(0).host.healthStatus(),
                new Helm()));
    if (stateLock != null) {
      startShards(null, null);
    } else {
      Log.info(config.name() + " takes over from the process that serves");
      new TakeoverWarmUp(config, loop, clock).runThen(this::requestHandover);
    }
  }

  private void listenToOperators() {
    new OperatorServer(operators)
        .listen(loop, config.operatorAddress())
        .whenComplete(
            (bound, failure) -> {
              if (failure == null) {
                Log.info(config.name() + " hears operators at " + bound);
              } else {
                retryOrFail("listen to operators", failure, this::listenToOperators);
              }
            });
  }

  /**
   * Tries a step of the start again if what it failed for may pass; else, or after a while, the
   * start has failed.
   */
  private void retryOrFail(final String step, final Throwable failure, final Runnable action) {
    if (TransientFailures.isTransient(failure)
        && clock.nowUs() < startedUs + TransientFailures.RETRY_BUDGET_US) {
      Log.event(Event.START_RETRIED, "step", step, "cause", failure);
      loop.schedule(action, TransientFailures.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    } else {
      serving.completeExceptionally(failure);
    }
  }

  private void unlock() {
    if (stateLock != null) {
      close("unlocking the folder", stateLock);
      stateLock = null;
    }
  }

  /**
   * Asks the process that holds the folder to hand over; again, while it cannot; unless it has
   * ended meanwhile.
   */
  private void requestHandover() {
    final AtomicReference<HandoverClient> asked = new AtomicReference<>();
    asked.set(
        HandoverClient.requestHandover(
            loop,
            config.stateFolder(),
            inheritance -> acceptHandover(inheritance, asked.get()),
            () -> {
              try {
                stateLock = StateLock.tryLock(config.stateFolder());
                if (stateLock != null) {
                  openJournals();
                  startShards(null, null);
                } else {
                  loop.schedule(this::requestHandover, HANDOVER_RETRY_MS, TimeUnit.MILLISECONDS);
                }
              } catch (final IOException e) {
                unlock();
                retryOrFail("take over", e, this::requestHandover);
              }
            }));
  }

  private void acceptHandover(
      final HandoverSnapshot inheritance, final HandoverClient predecessor) {
    try {
      stateLock = StateLock.tryLock(config.stateFolder());
      if (stateLock == null) {
        throw new IOException(config.stateFolder() + ": handed over, but still in use");
      }
      openJournals();
      startShards(inheritance, predecessor);
    } catch (final IOException e) {
      unlock();
      retryOrFail("succeed", e, () -> acceptHandover(inheritance, predecessor));
    }
  }

  /** Begins to decide; where an older process handed over, with what it handed on. */
  private void startShards(final HandoverSnapshot inheritance, final HandoverClient from) {
    predecessor = from;
    final List<EventLoop> loops = shards.stream().map(shard -> shard.loop).toList();
    final SharedDirectory shared =
        shards.size() == 1 ? null : new SharedDirectory(platformDirectory, loop, loops);
    final ResourceLimits limits = config.settings().limits();
    final List<CompletableFuture<Void>> built = new ArrayList<>();
    final List<String> classes =
        config.settings().classes().stream().map(MessageClass::name).toList();
    for (int index = 0; index < shards.size(); index++) {
      final Shard shard = shards.get(index);
      shard.learnt =
          tuning.retainsLearnedState()
              ? new LearnedStateFile(
                  config.stateFolder(), index, classes, config.diskBudgetBytes() / shards.size())
              : null;
      shard.directory = shared == null ? platformDirectory : shared.view(index);
      built.add(
          on(
              shard,
              () -> {
                shard.host = new DecisionLoop(config, shard.loop, clock, shard.journal, shard);
                if (shared != null) {
                  // An even part, until room is moved by need.
                  shard.host.applyCapacityLimits(
                      limits.concurrencyLimit() / shards.size(),
                      limits.maxPendingMessages() / shards.size());
                }
                if (operators != null) {
                  shard.host.setDisabledEndpoints(disabledEndpoints);
                }
                if (inheritance == null && shard.learnt != null) {
                  shard.host.restoreWhenListed(shard.learnt.read(clock.nowUs()));
                }
                final int resumed =
                    inheritance == null ? shard.host.start() : shard.host.start(inheritance, from);
                if (latestConfig != config) {
                  // SIGHUP came before there was anybody to tell.
                  shard.host.reload(latestConfig);
                }
                if (resumed > 0) {
                  Log.info("resumed " + resumed + " messages");
                }
              }));
    }
    CompletableFuture.allOf(built.toArray(CompletableFuture[]::new))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                serving.completeExceptionally(failure);
                return;
              }
              final List<DecisionLoop> hosts = shards.stream().map(shard -> shard.host).toList();
              if (shared != null) {
                shared.start();
                new CapacityExchange(limits, loop, loops, hosts).start();
              }
              for (int index = 0; index < shards.size(); index++) {
                final Shard shard = shards.get(index);
                final IngressHandler desk =
                    shared == null
                        ? new Counter(shard)
                        : new ShardedIngressHandler(index, loops, hosts);
                shard.front =
                    new HttpIngress(
                        config,
                        shard.group,
                        shard.loop,
                        clock,
                        shard.turns,
                        desk,
                        shard.descriptors,
                        tuning);
              }
              shards.stream().filter(shard -> shard.learnt != null).forEach(Shard::keepLearnt);
              running = true;
              serving.thenAccept(
                  bound -> {
                    if (from != null) {
                      from.announceListening();
                    }
                  });
              listen(0, config.listenAddress());
              if (operators != null) {
                loop.scheduleWithFixedDelay(
                    GuardedTasks.guard("who is left out", operators::look),
                    SHARED_STATE_POLL_MS,
                    SHARED_STATE_POLL_MS,
                    TimeUnit.MILLISECONDS);
              }
            },
            loop);
  }

  /**
   * How each destination is; those of other shards are left out, since only their loops may ask.
   */
  private JsonNode routeStatus() {
    return shards.get(0).host.routeStatus();
  }

  /** Does something on a shard's loop, at once if that is this one. */
  private static CompletableFuture<Void> on(final Shard shard, final Runnable action) {
    return CompletableFuture.runAsync(
        action,
        task -> {
          if (shard.loop.inEventLoop()) {
            task.run();
          } else {
            shard.loop.execute(task);
          }
        });
  }

  /** One front after the other listens; the first one's port is that of all. */
  private void listen(final int index, final InetSocketAddress address) {
    // A newer process will listen there beside this one.
    final boolean several = shards.size() > 1 || operators != null;
    shards
        .get(index)
        .front
        .listen(address, several)
        .whenCompleteAsync(
            (bound, failure) -> {
              if (failure != null && serving.isDone() && !stopping) {
                // It served before: nobody else would try again.
                Log.event(Event.START_RETRIED, "step", "listen again", "cause", failure);
                loop.schedule(
                    () -> listen(index, address),
                    TransientFailures.RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
              } else if (failure != null
                  && predecessor != null
                  && !askedForAddress
                  && TransientFailures.isAddressInUse(failure)) {
                // Java looks once whether sockets may share an address, and takes a failure of that
                // look for a no.
                askedForAddress = true;
                predecessor.announceListening();
                loop.schedule(
                    () -> listen(index, address),
                    TransientFailures.RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
              } else if (failure != null
                  && askedForAddress
                  && clock.nowUs() < startedUs + TransientFailures.RETRY_BUDGET_US) {
                loop.schedule(
                    () -> listen(index, address),
                    TransientFailures.RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
              } else if (failure != null) {
                retryOrFail(
                    "listen",
                    new IOException(
                        "cannot listen on " + config.listenAddress() + ": " + failure.getMessage(),
                        failure),
                    () -> listen(index, address));
              } else if (index + 1 < shards.size()) {
                listen(index + 1, CourierConfig.parseAddress("listen", bound));
              } else {
                Log.info(
                    config.name()
                        + " is ready at "
                        + bound
                        + (shards.size() > 1 ? " on " + shards.size() + " shards" : ""));
                listening = true;
                if (operators != null && shards.size() == 1) {
                  new HandoverServer(new Estate()).listen(loop, config.stateFolder());
                }
                extension.onServing(bound);
                serving.complete(bound);
              }
            },
            loop);
  }

  /**
   * On SIGHUP: moves to the discovery that the file names now. One reading at a time, so that of
   * two signals in a row the later one's file counts. A file that cannot be used changes nothing.
   */
  public synchronized void reload() {
    reload(clock.nowUs() + TransientFailures.RETRY_BUDGET_US);
  }

  private synchronized void reload(final long untilUs) {
    try {
      final CourierConfig fresh = CourierConfig.read(environment);
      latestConfig = fresh;
      shards.forEach(
          shard ->
              shard.loop.execute(
                  () -> {
                    if (shard.host != null) {
                      shard.host.reload(fresh);
                    }
                  }));
    } catch (final ConfigurationException e) {
      if (TransientFailures.isTransient(e) && clock.nowUs() < untilUs) {
        loop.schedule(
            () -> reload(untilUs), TransientFailures.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        return;
      }
      Log.info("SIGHUP: the configuration stays as it was: " + e.getMessage());
    }
    extension.onConfigurationReload();
  }

  /**
   * On SIGTERM: goes on for a while, and leaves what is not done by then to the next process.
   * Returns when done.
   */
  public void shutDownGracefully() {
    loop.execute(
        () -> {
          if (!running) {
            stopped.countDown();
            return;
          }
          final long stopUs = clock.nowUs() + SHUTDOWN_TIMEOUT_MS * US_PER_MS;
          listening = false;
          stopping = true;
          extension.onShutdownStarted();
          if (shards.get(0).host.hasSuccessor()) {
            awaitShutdownBesideSuccessor(stopUs);
            return;
          }
          shards.forEach(
              shard ->
                  shard.loop.execute(
                      () -> {
                        shard.front.drain();
                        shard.host.prepareToStop(stopUs);
                      }));
          loop.schedule(() -> awaitShutdown(stopUs), LISTENER_DRAIN_MS, TimeUnit.MILLISECONDS);
        });
    try {
      if (!stopped.await(SHUTDOWN_TIMEOUT_MS + LISTENER_DRAIN_MS / 2, TimeUnit.MILLISECONDS)) {
        Log.info("the event loop did not stop in time");
      }
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * What is out ends here, and clients are served while they stay; what they keep open is closed
   * last of all.
   */
  private void awaitShutdownBesideSuccessor(final long stopUs) {
    final Shard only = shards.get(0);
    loop.schedule(
        only.front::drain, SHUTDOWN_TIMEOUT_MS - EXTENSION_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard(
            "end beside a newer process",
            () -> {
              final boolean due = only.host.isIdle() && only.front.hasNoConnections();
              if ((due && extension.tryFinishShutdown()) || clock.nowUs() >= stopUs) {
                stopped.countDown();
              }
            }),
        SHUTDOWN_POLL_MS,
        SHUTDOWN_POLL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void awaitShutdown(final long stopUs) {
    shards.forEach(
        shard ->
            shard.loop.execute(
                () -> {
                  shard.front.stopListening();
                  // So long before the process ends that its answers are on their way by then.
                  shard.loop.schedule(
                      shard.front::rejectIncompleteRequests,
                      stopUs - 2 * EXTENSION_SHUTDOWN_MS * US_PER_MS - clock.nowUs(),
                      TimeUnit.MICROSECONDS);
                  // A request that is coming in, or an answer on its way, would be cut off by the
                  // end of the process.
                  shard.loop.scheduleWithFixedDelay(
                      GuardedTasks.guard(
                          "end in order",
                          () -> shard.idle = shard.host.isIdle() && shard.front.hasNoConnections()),
                      0,
                      SHUTDOWN_POLL_MS,
                      TimeUnit.MILLISECONDS);
                }));
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard(
            "end in order",
            () -> {
              final boolean due =
                  shards.stream().allMatch(shard -> shard.idle)
                      || clock.nowUs() >= stopUs - EXTENSION_SHUTDOWN_MS * US_PER_MS;
              if ((due && extension.tryFinishShutdown()) || clock.nowUs() >= stopUs) {
                stopped.countDown();
              }
            }),
        SHUTDOWN_POLL_MS,
        SHUTDOWN_POLL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Ends it at once, as a power cut would: connections break, and the folder stays as it is. For
   * couriers that share a Java machine with others; a process of its own is ended by its end. What
   * the start opened is let go in reverse: the loops with all that lives on them, the journals, the
   * folder.
   */
  public void kill() {
    // Else a loop that is ending would send again what broke by its own end, beside the next
    // process.
    shards.stream()
        .filter(shard -> !shard.loop.isShuttingDown())
        .forEach(
            shard ->
                shard.loop.execute(
                    () -> {
                      if (shard.host != null) {
                        shard.host.halt();
                      }
                    }));
    final List<? extends Future<?>> ending =
        shards.stream()
            .map(shard -> shard.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS))
            .toList();
    ending.forEach(Future::awaitUninterruptibly);
    for (final Shard shard : shards) {
      if (shard.journal != null) {
        close("closing the journal", shard.journal);
      }
    }
    if (stateLock != null) {
      close("unlocking the folder", stateLock);
    }
  }

  private static void close(final String what, final AutoCloseable open) {
    try {
      open.close();
    } catch (final Exception e) {
      Log.failure(what, e);
    }
  }
}

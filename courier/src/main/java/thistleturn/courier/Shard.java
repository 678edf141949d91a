package thistleturn.courier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.courier.http.HttpDispatcher;
import thistleturn.courier.http.HttpIngress;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.learned.LearnedStateFile;
import thistleturn.courier.learned.LearnedStateWriter;
import thistleturn.courier.platform.DiscoveryClient;
import thistleturn.courier.platform.HttpOutcomeNotifier;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.GuardedEventLoopGroup;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.PollTracker;

/**
 * One event loop with all that it owns: a decision loop, its journal and its ports. The methods
 * that concern the decision loop or the ingress run on the shard's event loop.
 */
final class Shard implements DecisionLoop.Ports {
  private static final long LEARNED_STATE_POLL_MS = 200;

  /** Polls after which the learned state is saved even if it is the same version: once a second. */
  private static final int POLLS_BETWEEN_SAVES = 5;

  private static final long SHUTDOWN_POLL_MS = 20;

  private final CourierConfig config;
  private final CourierOptions options;
  private final Clock clock;
  private final LatestConfig latestConfig;
  private final PollTracker pollTracker;
  private final EventLoopGroup eventLoopGroup;
  private final EventLoop eventLoop;
  private final DescriptorBudget descriptors;
  private Journal journal;
  private EarlierProcesses earlierProcesses;

  /** Null where learned state is not retained. */
  private LearnedStateFile learnedStateFile;

  private long savedLearnedStateVersion;
  private int pollsSinceSave;
  private EndpointDirectory directory;

  /** Null until the shard decides. */
  private DecisionLoop decisionLoop;

  private HttpIngress ingress;

  /** True if nothing is under way here; read by the first event loop during a graceful shutdown. */
  private volatile boolean idle;

  Shard(
      final CourierConfig config,
      final CourierOptions options,
      final Clock clock,
      final LatestConfig latestConfig) {
    this.config = config;
    this.options = options;
    this.clock = clock;
    this.latestConfig = latestConfig;
    this.pollTracker = new PollTracker(clock);
    this.eventLoopGroup =
        new GuardedEventLoopGroup(
            NioIoHandler.newFactory(SelectorProvider.provider(), pollTracker));
    this.eventLoop = eventLoopGroup.next();
    this.descriptors =
        new DescriptorBudget(
            descriptorLimit(options.clientDescriptorShare()),
            descriptorLimit(options.endpointDescriptorShare()));
  }

  private int descriptorLimit(final double share) {
    return (int) Math.max(1, share * config.maxSockets() / options.shardCount());
  }

  /** Returns the event loop that owns this shard. */
  EventLoop eventLoop() {
    return eventLoop;
  }

  /** Returns the current decision loop of this shard; null before {@link #createDecisionLoop()}. */
  DecisionLoop decisionLoop() {
    return decisionLoop;
  }

  /** Returns the client of the platform's discovery, to be used on this shard's event loop. */
  DiscoveryClient createDiscoveryClient() {
    return new DiscoveryClient(config, eventLoop, clock, pollTracker);
  }

  /**
   * Sets the journal; the folder is locked by this process.
   *
   * @param earlier the processes whose calls the journal may show as in flight
   */
  void useJournal(final Journal opened, final EarlierProcesses earlier) {
    journal = opened;
    earlierProcesses = earlier;
  }

  /** Sets the directory that the decision loop follows, and the file of learned state, or null. */
  void prepare(final EndpointDirectory followed, final LearnedStateFile learnedState) {
    directory = followed;
    learnedStateFile = learnedState;
  }

  /** Creates the decision loop; it decides once it is started by one of the methods below. */
  DecisionLoop createDecisionLoop() {
    decisionLoop = newDecisionLoop();
    return decisionLoop;
  }

  private DecisionLoop newDecisionLoop() {
    return new DecisionLoop(config, eventLoop, clock, journal, this);
  }

  /** Begins to decide with the messages in the journal; returns the number of messages resumed. */
  int startFromJournal() {
    if (learnedStateFile != null) {
      decisionLoop.restoreWhenListed(learnedStateFile.read(clock.nowUs()));
    }
    return decisionLoop.start();
  }

  /** Begins to decide in place of an older process; returns the number of messages resumed. */
  int startFromHandover(final HandoverSnapshot snapshot, final RemoteCallExecutor predecessor) {
    return decisionLoop.start(snapshot, predecessor);
  }

  /**
   * Resumes the decisions that had been handed over: a new decision loop replaces the one that
   * handed over, which continues the calls that it has in flight.
   */
  void replaceDecisionLoop(final DecisionLoopReplacement.Setup setup) {
    decisionLoop = DecisionLoopReplacement.replace(decisionLoop, newDecisionLoop(), setup);
  }

  /**
   * Applies a configuration that was read again; before there is a decision loop it does nothing.
   */
  void reload(final CourierConfig fresh) {
    if (decisionLoop != null) {
      decisionLoop.reload(fresh);
    }
  }

  /** Compacts and closes the journal, so that a newer process can open it. */
  void releaseJournal() {
    journal.compactAndClose();
  }

  /** Creates the listener for clients; it is opened by {@link #listen}. */
  void createIngress(final IngressHandler handler) {
    ingress =
        new HttpIngress(
            config, eventLoopGroup, eventLoop, clock, pollTracker, handler, descriptors, options);
  }

  /** Accepts clients; completes with the address in use. */
  CompletionStage<String> listen(final InetSocketAddress address, final boolean sharesAddress) {
    return ingress.listen(address, sharesAddress);
  }

  /**
   * Starts to save the learned state: once a second, and at the next poll after a route's state
   * changed.
   */
  void startSavingLearnedState() {
    if (learnedStateFile == null) {
      return;
    }
    final LearnedStateWriter writer = new LearnedStateWriter(learnedStateFile, clock);
    eventLoop.scheduleWithFixedDelay(
        GuardedTasks.guard("save learned state", () -> saveLearnedStateIfDue(writer)),
        LEARNED_STATE_POLL_MS,
        LEARNED_STATE_POLL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void saveLearnedStateIfDue(final LearnedStateWriter writer) {
    pollsSinceSave++;
    if (pollsSinceSave < POLLS_BETWEEN_SAVES
        && decisionLoop.learnedStateVersion() == savedLearnedStateVersion) {
      return;
    }
    pollsSinceSave = 0;
    savedLearnedStateVersion = decisionLoop.learnedStateVersion();
    final HandoverSnapshot learnedState = decisionLoop.learnedState();
    if (learnedState != null) {
      writer.save(learnedState);
    }
  }

  /** Asks clients to connect elsewhere while they are still accepted. */
  void drainIngress() {
    ingress.drain();
  }

  /** Accepts no further clients, since a newer process accepts them. */
  void drainIngressForHandover() {
    ingress.drainForHandover();
  }

  /**
   * Prepares for the end of the process at {@code stopUs}: drains clients, and starts no call that
   * cannot end by then.
   */
  void startDraining(final long stopUs) {
    ingress.drain();
    decisionLoop.prepareToStop(stopUs);
  }

  /**
   * Accepts no further connections, and watches from now on for the moment when nothing is under
   * way; requests that are incomplete at {@code rejectAtUs} are rejected.
   */
  void finishDraining(final long rejectAtUs) {
    ingress.stopListening();
    eventLoop.schedule(
        ingress::rejectIncompleteRequests, rejectAtUs - clock.nowUs(), TimeUnit.MICROSECONDS);
    eventLoop.scheduleWithFixedDelay(
        GuardedTasks.guard("graceful shutdown", () -> idle = hasNothingUnderWay()),
        0,
        SHUTDOWN_POLL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether neither a message nor a connection is under way: a request that is being
   * received, or an answer that is being sent, would be cut off by the end of the process.
   */
  boolean hasNothingUnderWay() {
    return decisionLoop.isIdle() && ingress.hasNoConnections();
  }

  /**
   * Records the deliveries that are not confirmed, before the process ends; returns if it could.
   */
  boolean resolveUnconfirmedAnswers() {
    return decisionLoop.resolveUnconfirmedAnswers();
  }

  /** Returns whether nothing was under way lately; may be called on any thread. */
  boolean isIdle() {
    return idle;
  }

  /**
   * Stops deciding and recording: calls that break from now on are broken by the end of the
   * process.
   */
  void halt() {
    if (decisionLoop != null) {
      decisionLoop.halt();
    }
  }

  /** Ends the event loop and everything that runs on it. */
  Future<?> terminateEventLoop() {
    return eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Closes the journal if it is open. */
  void closeJournal() {
    if (journal != null) {
      Resources.close("closing the journal", journal);
    }
  }

  @Override
  public Dispatcher dispatcher(final Dispatcher.Listener listener) {
    return new HttpDispatcher(
        config, eventLoop, clock, pollTracker, listener, descriptors, options);
  }

  @Override
  public OutcomeNotifier outcomeNotifier(final OutcomeNotifier.Listener listener) {
    return new HttpOutcomeNotifier(
        latestConfig.get().discoveryAddress(), eventLoop, clock, pollTracker, listener);
  }

  @Override
  public EarlierProcesses earlierProcesses() {
    return earlierProcesses;
  }

  @Override
  public EndpointDirectory endpointDirectory() {
    return directory;
  }

  @Override
  public void afterPoll(final long sinceUs, final Runnable action) {
    pollTracker.runAfterPoll(eventLoop, sinceUs, action);
  }
}

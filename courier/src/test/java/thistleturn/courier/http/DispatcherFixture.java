package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.HttpStandIn;

/** A dispatcher on its event loop, with one endpoint on another loop. */
final class DispatcherFixture implements AutoCloseable {
  static final long TIMEOUT_S = 10;
  static final long SECOND_US = 1_000_000;
  static final long ENDPOINT = 1;
  static final long DESTINATION = 7;

  /** The outcome of one message, as the dispatcher reported it. */
  record ReportedOutcome(String id, AttemptResult result) {}

  private final Clock clock = new Clock();
  private final PollTracker polls = new PollTracker(clock);
  private final AtomicLong pollCount = new AtomicLong();
  private final EventLoopGroup servers =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), countingPolls()));
  private final EventLoop loop = group.next();
  private final BlockingQueue<ReportedOutcome> outcomes = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> retryAfterReports = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> statedEnds = new LinkedBlockingQueue<>();
  private final HttpStandIn server;
  private HttpDispatcher dispatcher;

  /**
   * Starts the endpoint and the dispatcher.
   *
   * @param script handles the calls that the endpoint receives
   */
  DispatcherFixture(final Path folder, final HttpStandIn.Handler script) throws Exception {
    server = new HttpStandIn(servers, new InetSocketAddress("127.0.0.1", 0), script);
    final CourierConfig config =
        CourierConfig.read(
            CourierFiles.write(
                folder,
                "n0",
                "127.0.0.1:1",
                "{\"seq\":1,\"whole\":true,\"hosts\":[]}",
                CourierFiles.Size.usual()));
    run(
        () -> {
          dispatcher =
              new HttpDispatcher(
                  config,
                  loop,
                  clock,
                  polls,
                  new Recorder(),
                  new DescriptorBudget(100, 100),
                  CourierOptions.platformDefaults());
          updateEndpoint(EndpointState.LISTED);
        });
  }

  private SelectStrategyFactory countingPolls() {
    return () -> {
      final SelectStrategy strategy = polls.newSelectStrategy();
      return (supplier, hasTasks) -> {
        pollCount.incrementAndGet();
        return strategy.calculateStrategy(supplier, hasTasks);
      };
    };
  }

  /** Records what the dispatcher reports. */
  private final class Recorder implements Dispatcher.Listener {
    @Override
    public void onOutcome(
        final Dispatcher.Attempt attempt,
        final Dispatcher.Call call,
        final Dispatcher.DispatchOutcome outcome) {
      outcomes.add(new ReportedOutcome(attempt.message().id(), outcome.result()));
      if (outcome.retryAfterUs() > 0) {
        retryAfterReports.add(outcome.retryAfterUs());
      }
    }

    @Override
    public void onRetryAfter(final long endpoint, final long retryAfterUs) {
      retryAfterReports.add(retryAfterUs);
    }

    @Override
    public void onAnswerConfirmed(final Dispatcher.Attempt attempt) {
      // Not recorded: the tests wait for the outcome.
    }

    @Override
    public void onAnswerInDoubt(
        final Dispatcher.Attempt attempt, final Dispatcher.Call call, final boolean mayBeEnd) {
      // Not recorded: the tests wait for the outcome.
    }

    @Override
    public void onRejectionInDoubt(final Dispatcher.Attempt attempt, final Dispatcher.Call call) {
      // Not recorded: the tests wait for the outcome.
    }

    @Override
    public void onEndStated(final Dispatcher.Attempt attempt, final Dispatcher.Call call) {
      statedEnds.add(attempt.message().id());
    }

    @Override
    public void onMessagesWritten(final int messages) {
      // Not recorded: the tests wait for the outcome.
    }
  }

  long nowUs() {
    return clock.nowUs();
  }

  /** The number of times that the event loop of the dispatcher has polled its sockets. */
  long pollCount() {
    return pollCount.get();
  }

  HttpDispatcher dispatcher() {
    return dispatcher;
  }

  /** Runs an action on the event loop of the dispatcher, and waits for its end. */
  void run(final Runnable action) throws Exception {
    CompletableFuture.runAsync(action, loop).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Blocks the event loop, on which it is called, until after the given time. */
  void pauseUntil(final long untilUs) {
    while (clock.nowUs() <= untilUs) {
      Thread.onSpinWait();
    }
  }

  /** Sets the state of the endpoint. Called on the event loop. */
  void updateEndpoint(final EndpointState state) {
    dispatcher.updateEndpoint(
        new Endpoint(ENDPOINT, state, "a", 0, 0, DESTINATION),
        false,
        new InetSocketAddress("127.0.0.1", server.port()));
  }

  /** Prepares and starts a call. Called on the event loop. */
  Dispatcher.Call start(final Dispatcher.Attempt... attempts) {
    final Dispatcher.Call call = dispatcher.prepare(ENDPOINT, List.of(attempts));
    dispatcher.start(call);
    return call;
  }

  /** Starts a call on the event loop, and returns once that is done. */
  Dispatcher.Call call(final Dispatcher.Attempt... attempts) throws Exception {
    return CompletableFuture.supplyAsync(() -> start(attempts), loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Starts a call, and pauses the event loop afterwards. */
  void callAndPause(final long untilUs, final Dispatcher.Attempt... attempts) throws Exception {
    run(
        () -> {
          start(attempts);
          pauseUntil(untilUs);
        });
  }

  /** The next outcome that is reported; null if there is none in time. */
  ReportedOutcome awaitOutcome() throws InterruptedException {
    return outcomes.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** The id of the next message whose end is reported as stated; null if there is none in time. */
  String awaitStatedEnd() throws InterruptedException {
    return statedEnds.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Whether no end was reported as stated so far. */
  boolean hasNoStatedEnd() {
    return statedEnds.isEmpty();
  }

  /** The next Retry-After that is reported, us; null if there is none in time. */
  Long awaitRetryAfterUs() throws InterruptedException {
    return retryAfterReports.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    server.close();
    servers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}

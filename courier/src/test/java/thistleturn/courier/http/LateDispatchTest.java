package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.HttpExchange;
import thistleturn.testkit.HttpStandIn;

/**
 * A decision that is carried out too late: what must not go any more by then does not, and the rest
 * does.
 */
final class LateDispatchTest {
  private static final long TIMEOUT_S = 10;
  private static final long SECOND_US = 1_000_000;
  private static final long CALL_TIMEOUT_US = 60 * SECOND_US;
  private static final long DESTINATION = 7;

  private record ReportedOutcome(String id, AttemptResult result) {}

  private final Clock clock = new Clock();
  private final PollTracker turns = new PollTracker(clock);
  private final EventLoopGroup servers =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), turns));
  private final EventLoop loop = group.next();
  private final List<String> receivedBodies = new CopyOnWriteArrayList<>();

  /** The courier has closed the connection of a call that is not answered. */
  private final CountDownLatch bulkConnectionClosed = new CountDownLatch(1);

  private final BlockingQueue<ReportedOutcome> outcomes = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> retryAfterReports = new LinkedBlockingQueue<>();

  /** A call that is answered by the test. */
  private final BlockingQueue<HttpExchange> unansweredExchanges = new LinkedBlockingQueue<>();

  private HttpStandIn server;
  private HttpDispatcher dispatcher;

  private record TestParcel(StoredMessage message, long latestSendUs, long messageDeadlineUs)
      implements Dispatcher.Attempt {
    @Override
    public long timeoutUs() {
      return CALL_TIMEOUT_US;
    }
  }

  @BeforeEach
  void startDispatcher(@TempDir final Path folder) throws Exception {
    server =
        new HttpStandIn(
            servers,
            new InetSocketAddress("127.0.0.1", 0),
            exchange -> {
              receivedBodies.add(new String(exchange.body(), StandardCharsets.UTF_8));
              if (receivedBodies.contains("open")) {
                unansweredExchanges.add(exchange);
              } else if (exchange.path().equals("/inbox/bulk")) {
                exchange
                    .channel()
                    .closeFuture()
                    .addListener(closed -> bulkConnectionClosed.countDown());
              } else {
                exchange.answer(200, "");
              }
            });
    final CourierConfig config =
        CourierConfig.read(
            CourierFiles.write(
                folder,
                "n0",
                "127.0.0.1:1",
                "{\"seq\":1,\"whole\":true,\"hosts\":[]}",
                CourierFiles.Size.usual()));
    final Dispatcher.Listener listener =
        new Dispatcher.Listener() {
          @Override
          public void onOutcome(
              final Dispatcher.Attempt parcel,
              final Dispatcher.Call call,
              final Dispatcher.DispatchOutcome answer) {
            outcomes.add(new ReportedOutcome(parcel.message().id(), answer.result()));
            if (answer.retryAfterUs() > 0) {
              retryAfterReports.add(answer.retryAfterUs());
            }
          }

          @Override
          public void onRetryAfter(final long endpoint, final long waitUs) {
            retryAfterReports.add(waitUs);
          }

          @Override
          public void onMessagesWritten(final int messages) {
            // Told by the outcome.
          }
        };
    CompletableFuture.runAsync(
            () -> {
              dispatcher =
                  new HttpDispatcher(
                      config, loop, clock, turns, listener, new DescriptorBudget(100, 100));
              updateEndpoint(EndpointState.LISTED);
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stopDispatcher() {
    server.close();
    servers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private void updateEndpoint(final EndpointState condition) {
    dispatcher.updateEndpoint(
        new Endpoint(1, condition, "a", 0, 0, DESTINATION),
        false,
        new InetSocketAddress("127.0.0.1", server.port()));
  }

  private Dispatcher.Attempt parcel(final String id, final long goesUntilUs) {
    return parcel(id, goesUntilUs, clock.nowUs() + 9 * SECOND_US);
  }

  private Dispatcher.Attempt parcel(
      final String id, final long goesUntilUs, final long validUntilUs) {
    return new TestParcel(
        new StoredMessage(
            id, "keyed", id, DESTINATION, validUntilUs, id.getBytes(StandardCharsets.UTF_8)),
        goesUntilUs,
        validUntilUs);
  }

  /**
   * Makes a call, and holds the loop up after that until the given moment: the connection is used
   * after it.
   */
  private void call(final long heldUpUntilUs, final Dispatcher.Attempt... parcels)
      throws Exception {
    CompletableFuture.runAsync(
            () -> {
              dispatcher.start(dispatcher.prepare(1, List.of(parcels)));
              while (clock.nowUs() <= heldUpUntilUs) {
                Thread.onSpinWait();
              }
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private ReportedOutcome awaitOutcome() throws InterruptedException {
    return outcomes.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  void idempotencyKeyExpiredDuringConnect_isNotSent() throws Exception {
    final long untilUs = clock.nowUs() + 20_000;
    call(untilUs, parcel("late", untilUs));
    assertEquals(new ReportedOutcome("late", AttemptResult.NOT_SENT), awaitOutcome());
    // The connection that was made for it is closed, or serves what comes next; nothing of the late
    // one is in it.
    call(0, parcel("next", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("next", AttemptResult.DELIVERED), awaitOutcome());
    assertEquals(List.of("next"), receivedBodies);
  }

  @Test
  void expiredCall_isNotSentOverIdleConnection() throws Exception {
    call(0, parcel("first", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("first", AttemptResult.DELIVERED), awaitOutcome());
    call(0, parcel("late", clock.nowUs() - 1));
    assertEquals(new ReportedOutcome("late", AttemptResult.NOT_SENT), awaitOutcome());
    assertEquals(List.of("first"), receivedBodies);
  }

  @Test
  void expiredParcel_doesNotBlockOthersOfItsCall() throws Exception {
    final long untilUs = clock.nowUs() + 20_000;
    call(untilUs, parcel("late", untilUs), parcel("free", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("late", AttemptResult.NOT_SENT), awaitOutcome());
    assertEquals(new ReportedOutcome("free", AttemptResult.DELIVERED), awaitOutcome());
    assertEquals(List.of("free"), receivedBodies);
  }

  /**
   * The time of one is up while the connection is made: the call would run for nobody's answer, and
   * the other may go at once.
   */
  @Test
  void callWithOneExpiredMessage_isNotSent() throws Exception {
    final long untilUs = clock.nowUs() + 20_000;
    call(untilUs, parcel("late", Long.MAX_VALUE, untilUs), parcel("free", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("late", AttemptResult.NOT_SENT), awaitOutcome());
    assertEquals(new ReportedOutcome("free", AttemptResult.NOT_SENT), awaitOutcome());
    call(0, parcel("next", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("next", AttemptResult.DELIVERED), awaitOutcome());
    assertEquals(List.of("next"), receivedBodies);
  }

  /**
   * Several in a call share its fate, and it is over with the time of the first, however long
   * others would wait.
   */
  @Test
  void call_timesOutWithItsFirstMessage() throws Exception {
    call(
        0,
        parcel("brief", Long.MAX_VALUE, clock.nowUs() + SECOND_US / 2),
        parcel("patient", Long.MAX_VALUE, clock.nowUs() + CALL_TIMEOUT_US));
    assertEquals(new ReportedOutcome("brief", AttemptResult.TIMED_OUT), awaitOutcome());
    assertEquals(new ReportedOutcome("patient", AttemptResult.TIMED_OUT), awaitOutcome());
    assertTrue(bulkConnectionClosed.await(TIMEOUT_S, TimeUnit.SECONDS), "its connection is closed");
  }

  /**
   * The list says that an endpoint drains, or names it no more, while a connection to it is made:
   * nothing new goes there.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callPreparedBeforeDrain_isNotSentAfterIt(final boolean gone) throws Exception {
    CompletableFuture.runAsync(
            () -> {
              dispatcher.start(dispatcher.prepare(1, List.of(parcel("late", Long.MAX_VALUE))));
              if (gone) {
                dispatcher.removeEndpoint(1);
              } else {
                updateEndpoint(EndpointState.DRAINING);
              }
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
    assertEquals(new ReportedOutcome("late", AttemptResult.NOT_SENT), awaitOutcome());
    CompletableFuture.runAsync(() -> updateEndpoint(EndpointState.LISTED), loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
    call(0, parcel("next", Long.MAX_VALUE));
    assertEquals(new ReportedOutcome("next", AttemptResult.DELIVERED), awaitOutcome());
    assertEquals(List.of("next"), receivedBodies);
  }

  /**
   * The answer lies unread, or comes, in the moment in which its call is given up: the wait that it
   * tells binds.
   */
  @Test
  void retryAfterOfAbandonedCall_isReported() throws Exception {
    final Dispatcher.Attempt parcel = parcel("open", Long.MAX_VALUE);
    final Dispatcher.Call call =
        CompletableFuture.supplyAsync(
                () -> {
                  final Dispatcher.Call made = dispatcher.prepare(1, List.of(parcel));
                  dispatcher.start(made);
                  return made;
                },
                loop)
            .get(TIMEOUT_S, TimeUnit.SECONDS);
    final HttpExchange exchange = unansweredExchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    CompletableFuture.runAsync(
            () -> {
              exchange.answer(429, "", "Retry-After", "1.5").syncUninterruptibly();
              dispatcher.abandon(call, AttemptResult.TIMED_OUT);
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
    assertEquals(new ReportedOutcome("open", AttemptResult.TIMED_OUT), awaitOutcome());
    assertEquals(3 * SECOND_US / 2, retryAfterReports.poll(TIMEOUT_S, TimeUnit.SECONDS));
  }

  /** The same of an answer whose head is whole and whose rest never comes. */
  @Test
  void retryAfterOfTruncatedResponse_isReported() throws Exception {
    call(0, parcel("open", Long.MAX_VALUE));
    final HttpExchange exchange = unansweredExchanges.poll(TIMEOUT_S, TimeUnit.SECONDS);
    exchange
        .raw(
            "HTTP/1.1 429 X\r\nRetry-After: 1.5\r\nContent-Length: 10\r\n\r\nab"
                .getBytes(StandardCharsets.US_ASCII))
        .addListener(written -> exchange.channel().close());
    assertEquals(new ReportedOutcome("open", AttemptResult.RESET), awaitOutcome());
    assertEquals(3 * SECOND_US / 2, retryAfterReports.poll(TIMEOUT_S, TimeUnit.SECONDS));
  }
}

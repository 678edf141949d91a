package thistleturn.courier.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
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
import thistleturn.testkit.HttpStandIn;

/** Time-outs of calls are judged once, after a look, and cost the loop no more than that. */
@Tag("health")
final class HttpDispatcherTimeoutTest {
  private static final long TIMEOUT_S = 10;
  private static final long SECOND_US = 1_000_000;

  private final Clock clock = new Clock();
  private final PollTracker turns = new PollTracker(clock);
  private final AtomicLong polls = new AtomicLong();
  private final EventLoopGroup servers =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), countingPolls(turns)));
  private final EventLoop loop = group.next();
  private final BlockingQueue<AttemptResult> reportedResults = new LinkedBlockingQueue<>();
  private final Semaphore callsReceived = new Semaphore(0);
  private final Semaphore responsePermits = new Semaphore(0);
  private final Semaphore surplusResponsesSent = new Semaphore(0);
  private HttpStandIn server;
  private HttpDispatcher dispatcher;

  private record TestParcel(
      StoredMessage message, long timeoutUs, long latestSendUs, long messageDeadlineUs)
      implements Dispatcher.Attempt {}

  private SelectStrategyFactory countingPolls(final PollTracker its) {
    return () -> {
      final SelectStrategy strategy = its.newSelectStrategy();
      return (supplier, hasTasks) -> {
        polls.incrementAndGet();
        return strategy.calculateStrategy(supplier, hasTasks);
      };
    };
  }

  @BeforeEach
  void startDispatcher(@TempDir final Path folder) throws Exception {
    server =
        new HttpStandIn(
            servers,
            new InetSocketAddress("127.0.0.1", 0),
            exchange -> {
              final String body = new String(exchange.body(), StandardCharsets.UTF_8);
              if (body.startsWith("well")) {
                exchange.answer(200, "");
              } else if (body.startsWith("held")) {
                callsReceived.release();
                responsePermits.acquireUninterruptibly();
                exchange.answer(200, "");
              } else if (body.startsWith("trail")) {
                exchange.answer(200, "");
                callsReceived.release();
                responsePermits.acquireUninterruptibly();
                exchange
                    .channel()
                    .pipeline()
                    .firstContext()
                    .writeAndFlush(
                        Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                            StandardCharsets.US_ASCII));
                surplusResponsesSent.release();
              } else if (body.startsWith("[")) {
                callsReceived.release();
                responsePermits.acquireUninterruptibly();
                exchange.answer(
                    200,
                    "[{\"id\":\"held\",\"state\":\"accepted\"},{\"id\":\"patient\",\"state\":\"accepted\"}]");
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
            reportedResults.add(answer.result());
          }

          @Override
          public void onRetryAfter(final long endpoint, final long waitUs) {
            // Nobody here tells one.
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
              dispatcher.updateEndpoint(
                  new Endpoint(1, EndpointState.LISTED, "a", 0, 0, 1),
                  false,
                  new InetSocketAddress("127.0.0.1", server.port()));
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stopDispatcher() {
    // Whoever still holds a call lets it go: else the loop never ends.
    responsePermits.release(100);
    server.close();
    servers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private void call(final String id, final long timeoutUs) throws Exception {
    final Dispatcher.Attempt parcel =
        new TestParcel(
            new StoredMessage(
                id,
                "safe",
                id,
                1,
                clock.nowUs() + 9 * SECOND_US,
                id.getBytes(StandardCharsets.UTF_8)),
            timeoutUs,
            Long.MAX_VALUE,
            clock.nowUs() + 9 * SECOND_US);
    CompletableFuture.runAsync(() -> dispatcher.start(dispatcher.prepare(1, List.of(parcel))), loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /**
   * The timer of a call that is over finds a later one's time still to come: it waited for that
   * without a rest.
   */
  @Test
  void timerOfCompletedCall_doesNotSpinTheLoop() throws Exception {
    call("well", SECOND_US);
    assertEquals(AttemptResult.DELIVERED, reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS));
    call("silent", 5 * SECOND_US / 2);
    final long before = polls.get();
    assertEquals(AttemptResult.TIMED_OUT, reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS));
    assertTrue(
        polls.get() - before < 200, polls.get() - before + " turns of the loop for one time-out");
  }

  /** A loop that stood still while the answer came reads it before it judges. */
  @Test
  void unreadResponse_isReadBeforeTimeout() throws Exception {
    call("well-0", 2 * SECOND_US);
    assertEquals(AttemptResult.DELIVERED, reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS));
    for (int round = 1; round <= 10; round++) {
      call("held-" + round, 80_000);
      assertTrue(callsReceived.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS), "the call comes");
      CompletableFuture.runAsync(
              () -> {
                responsePermits.release();
                final long untilUs = clock.nowUs() + 120_000;
                while (clock.nowUs() < untilUs) {
                  Thread.onSpinWait();
                }
              },
              loop)
          .get(TIMEOUT_S, TimeUnit.SECONDS);
      assertEquals(
          AttemptResult.DELIVERED,
          reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS),
          "round " + round);
    }
  }

  /**
   * A pass that takes longer than a connection rests has not looked at it: what trails an answer is
   * not the next call's.
   */
  @Test
  void surplusResponse_neverAnswersNextCall() throws Exception {
    for (int round = 0; round < 5; round++) {
      call("trail", 2 * SECOND_US);
      assertEquals(AttemptResult.DELIVERED, reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS));
      assertTrue(callsReceived.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS), "the call comes");
      final Dispatcher.Attempt next =
          new TestParcel(
              new StoredMessage(
                  "silent",
                  "safe",
                  "silent",
                  1,
                  clock.nowUs() + 9 * SECOND_US,
                  "silent".getBytes(StandardCharsets.UTF_8)),
              SECOND_US / 5,
              Long.MAX_VALUE,
              clock.nowUs() + 9 * SECOND_US);
      CompletableFuture.runAsync(
              () -> {
                responsePermits.release();
                surplusResponsesSent.acquireUninterruptibly();
                final long untilUs = clock.nowUs() + 20_000;
                while (clock.nowUs() < untilUs) {
                  Thread.onSpinWait();
                }
                dispatcher.start(dispatcher.prepare(1, List.of(next)));
              },
              loop)
          .get(TIMEOUT_S, TimeUnit.SECONDS);
      assertEquals(
          AttemptResult.TIMED_OUT,
          reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS),
          "round " + round);
    }
  }

  /**
   * A loop that stood still between a decision and its first byte, until its time was up: sent now,
   * the call would run unheard.
   */
  @Test
  void callExpiredBeforeFirstByte_isNotSent() throws Exception {
    for (int round = 0; round < 5; round++) {
      final Dispatcher.Attempt late =
          new TestParcel(
              new StoredMessage(
                  "held",
                  "safe",
                  "held",
                  1,
                  clock.nowUs() + 9 * SECOND_US,
                  "held".getBytes(StandardCharsets.UTF_8)),
              50_000,
              Long.MAX_VALUE,
              clock.nowUs() + 9 * SECOND_US);
      CompletableFuture.runAsync(
              () -> {
                dispatcher.start(dispatcher.prepare(1, List.of(late)));
                final long untilUs = clock.nowUs() + 100_000;
                while (clock.nowUs() < untilUs) {
                  Thread.onSpinWait();
                }
              },
              loop)
          .get(TIMEOUT_S, TimeUnit.SECONDS);
      assertEquals(
          AttemptResult.NOT_SENT,
          reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS),
          "round " + round);
      // One loop serves there: what came before this one would have been seen.
      call("well", 2 * SECOND_US);
      assertEquals(AttemptResult.DELIVERED, reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(0, callsReceived.availablePermits(), "it came all the same");
      closeIdleConnections();
    }
  }

  /**
   * A loop that stood still beyond the time of a message, or of one of several in a call: the
   * answer that it finds may be from after that, and counts for nothing then.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void responseReadAfterMessageExpiry_isNotDelivery(final boolean several) throws Exception {
    final long nowUs = clock.nowUs();
    final long briefUs = nowUs + SECOND_US / 2;
    final List<Dispatcher.Attempt> parcels = new ArrayList<>();
    parcels.add(
        new TestParcel(
            new StoredMessage(
                "held", "safe", "held", 1, briefUs, "held".getBytes(StandardCharsets.UTF_8)),
            5 * SECOND_US,
            Long.MAX_VALUE,
            briefUs));
    if (several) {
      parcels.add(
          new TestParcel(
              new StoredMessage(
                  "patient",
                  "safe",
                  "patient",
                  1,
                  clock.nowUs() + 9 * SECOND_US,
                  "patient".getBytes(StandardCharsets.UTF_8)),
              5 * SECOND_US,
              Long.MAX_VALUE,
              nowUs + 9 * SECOND_US));
    }
    CompletableFuture.runAsync(() -> dispatcher.start(dispatcher.prepare(1, parcels)), loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(callsReceived.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS), "the call comes");
    CompletableFuture.runAsync(
            () -> {
              responsePermits.release();
              while (clock.nowUs() <= briefUs + 100_000) {
                Thread.onSpinWait();
              }
            },
            loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
    for (final Dispatcher.Attempt parcel : parcels) {
      assertEquals(
          AttemptResult.TIMED_OUT,
          reportedResults.poll(TIMEOUT_S, TimeUnit.SECONDS),
          parcel.message().id());
    }
  }

  /** Closes what is kept, so that the next call needs a connection of its own. */
  private void closeIdleConnections() throws Exception {
    CompletableFuture.runAsync(() -> dispatcher.closeIdleConnections(1), loop)
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }
}

package thistleturn.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;

/** What a stand-in reports to the rule checker while one of its two event loops is blocked. */
@Tag("health")
final class StandInEndpointTest {
  private static final long TIMEOUT_US = 60_000_000;

  /** Longer than one batch of the selector. */
  private static final long BLOCK_US = 50_000;

  private static final long ANSWER_MS = 100;

  private static final long WAIT_NS = TimeUnit.SECONDS.toNanos(10);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final RuleChecker ruleChecker =
      new RuleChecker(RuleChecker.Tolerances.standard(), CourierFiles.CLASSES);
  private final MonotonicClock clock = new MonotonicClock();
  private final StandInEndpoint endpoint = new StandInEndpoint(group, "e", 1, ruleChecker, clock);
  private final CountDownLatch release = new CountDownLatch(1);
  private final List<Socket> connections = new ArrayList<>();

  @BeforeEach
  void submitMessage() {
    endpoint.setBehavior(Behavior.of(Action.NO_ANSWER));
    ruleChecker.recordSubmitted(clock.nowUs(), "m1", "keyed", 1, null, TIMEOUT_US);
    ruleChecker.recordAccepted(clock.nowUs(), "m1");
  }

  @AfterEach
  void close() throws IOException {
    release.countDown();
    for (final Socket connection : connections) {
      connection.close();
    }
    endpoint.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static void await(final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + WAIT_NS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < untilNs, "condition not met in time");
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  private Socket call(final long callsThen) throws IOException {
    return call(endpoint, callsThen);
  }

  private Socket call(final StandInEndpoint called, final long callsThen) throws IOException {
    final Socket connection = send(called.port());
    await(() -> called.calls() >= callsThen);
    return connection;
  }

  private Socket send(final int port) throws IOException {
    final Socket connection = new Socket(InetAddress.getLoopbackAddress(), port);
    connections.add(connection);
    connection
        .getOutputStream()
        .write(
            "POST /inbox HTTP/1.1\r\nHost: e\r\nX-Request-ID: m1\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
    return connection;
  }

  /** Blocks the event loop of a connection. */
  private void blockLoopOf(final Socket first) {
    group.forEach(
        loop ->
            loop.execute(
                () -> {
                  if (endpoint.server().serves(first.getLocalPort(), loop)) {
                    awaitRelease();
                  }
                }));
  }

  private void awaitRelease() {
    try {
      release.await();
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Violation> violations() {
    final long releaseUs = clock.nowUs() + BLOCK_US;
    await(() -> clock.nowUs() >= releaseUs);
    release.countDown();
    endpoint.server().resetAll();
    await(() -> endpoint.server().connections() == 0);
    return ruleChecker.finish(clock.nowUs());
  }

  /**
   * Guards against a reported second copy where a blocked event loop read the end of the first one
   * late.
   */
  @Test
  void firstCopyEndedBeforeSecond_loopOfFirstBlocked_hasNoViolation() throws IOException {
    final Socket first = call(1);
    blockLoopOf(first);
    first.shutdownOutput();
    call(2);
    assertEquals(List.of(), violations());
  }

  @Test
  void firstCopyInFlight_loopOfFirstBlocked_isDouble() throws IOException {
    final Socket first = call(1);
    blockLoopOf(first);
    call(2);
    first.close();
    assertEquals(
        List.of(Violation.Rule.DOUBLE), violations().stream().map(Violation::rule).toList());
  }

  /**
   * Guards against a reported repeat of a delivered message where an answer was written to a
   * connection whose end lay unread: its event loop was blocked between its poll and its timers.
   */
  @Test
  void firstCopyEndedBeforeItsAnswer_loopBlocked_isNoDelivery() throws IOException {
    final CountDownLatch blocked = new CountDownLatch(1);
    final EventLoopGroup oneLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (StandInEndpoint slow = new StandInEndpoint(oneLoop, "slow", 1, ruleChecker, clock);
        HttpStandIn blocker =
            new HttpStandIn(
                oneLoop,
                anyPort,
                exchange -> {
                  blocked.countDown();
                  awaitRelease();
                })) {
      slow.setBehavior(Behavior.deliverAfter(ANSWER_MS));
      final Socket first = call(slow, 1);
      send(blocker.port());
      await(() -> blocked.getCount() == 0);
      first.shutdownOutput();
      final long releaseUs = clock.nowUs() + 2 * ANSWER_MS * 1000;
      await(() -> clock.nowUs() >= releaseUs);
      release.countDown();
      await(
          () ->
              !ruleChecker.outcomeCounts().containsKey("open") || slow.server().connections() == 0);
      call(slow, 2);
      await(() -> ruleChecker.outcomeCounts().containsKey("delivered"));
      assertEquals(List.of(), ruleChecker.finish(clock.nowUs()));
    } finally {
      oneLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }
}

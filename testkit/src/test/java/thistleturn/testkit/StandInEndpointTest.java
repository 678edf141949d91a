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

/** What a stand-in tells the rule checker when one of its two loops is held up. */
@Tag("health")
final class StandInEndpointTest {
  private static final long TIMEOUT_US = 60_000_000;

  /** Longer than what is read in one batch. */
  private static final long HOLD_UP_US = 50_000;

  private static final long ANSWER_MS = 100;

  private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(10);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final RuleChecker auditor =
      new RuleChecker(RuleChecker.Tolerances.standard(), CourierFiles.CLASSES);
  private final MonotonicClock ticks = new MonotonicClock();
  private final StandInEndpoint endpoint = new StandInEndpoint(group, "e", 1, auditor, ticks);
  private final CountDownLatch heldUp = new CountDownLatch(1);
  private final List<Socket> connections = new ArrayList<>();

  @BeforeEach
  void handIn() {
    endpoint.setBehavior(Behavior.of(Action.NO_ANSWER));
    auditor.recordSubmitted(ticks.nowUs(), "m1", "keyed", 1, null, TIMEOUT_US);
    auditor.recordAccepted(ticks.nowUs(), "m1");
  }

  @AfterEach
  void close() throws IOException {
    heldUp.countDown();
    for (final Socket connection : connections) {
      connection.close();
    }
    endpoint.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static void await(final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + PATIENCE_NS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < untilNs, "not in time");
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

  /** Holds up the loop of the first connection: the group gives its loops out in turn. */
  private void holdUpLoopOf(final Socket first) {
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
      heldUp.await();
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Violation> verdict() {
    final long releaseUs = ticks.nowUs() + HOLD_UP_US;
    await(() -> ticks.nowUs() >= releaseUs);
    heldUp.countDown();
    endpoint.server().resetAll();
    await(() -> endpoint.server().connections() == 0);
    return auditor.finish(ticks.nowUs());
  }

  /** Guards against "two copies are out" where a held-up loop read the first one's end late. */
  @Test
  void firstCopyEndedBeforeSecond_loopOfFirstHeldUp_nothingIsBroken() throws IOException {
    final Socket first = call(1);
    holdUpLoopOf(first);
    first.shutdownOutput();
    call(2);
    assertEquals(List.of(), verdict());
  }

  @Test
  void firstCopyStillOut_loopOfFirstHeldUp_isBroken() throws IOException {
    final Socket first = call(1);
    holdUpLoopOf(first);
    call(2);
    first.close();
    assertEquals(List.of(Violation.Rule.DOUBLE), verdict().stream().map(Violation::rule).toList());
  }

  /**
   * Guards against "sent after it was delivered" where an answer was written to a connection whose
   * end lay unread: its loop was held up between its poll and its timers.
   */
  @Test
  void firstCopyEndedBeforeItsAnswer_loopHeldUp_isNoDelivery() throws IOException {
    final CountDownLatch blocked = new CountDownLatch(1);
    final EventLoopGroup oneLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (StandInEndpoint slow = new StandInEndpoint(oneLoop, "slow", 1, auditor, ticks);
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
      final long releaseUs = ticks.nowUs() + 2 * ANSWER_MS * 1000;
      await(() -> ticks.nowUs() >= releaseUs);
      heldUp.countDown();
      await(() -> !auditor.outcomeCounts().containsKey("open") || slow.server().connections() == 0);
      call(slow, 2);
      await(() -> auditor.outcomeCounts().containsKey("delivered"));
      assertEquals(List.of(), auditor.finish(ticks.nowUs()));
    } finally {
      oneLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }
}

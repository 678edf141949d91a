package thistleturn.testkit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Everything around one courier: the platform, endpoints, a registry, a client that submits
 * messages at a seeded rate, and the rule checker that observes them. The caller starts its own
 * courier with {@link #environment}.
 */
public final class StandInWorld implements AutoCloseable {
  private static final long AWAIT_TIMEOUT_S = 30;
  private static final long US_PER_MS = 1000;
  private static final long GRACE_MS = 400;

  /**
   * Interval at which each event loop of the stand-ins checks that it runs; a check that is late by
   * more than {@link #LATE_CHECK_US} means that the loop was paused.
   */
  private static final long LOOP_CHECK_MS = 20;

  private static final long LATE_CHECK_US = 20_000;

  /** The message classes that are submitted, evenly mixed. */
  private static final List<String> CLASSES = List.of("safe", "keyed", "once");

  /** Checks the rules. */
  public final RuleChecker ruleChecker =
      new RuleChecker(RuleChecker.Tolerances.standard(), CourierFiles.CLASSES);

  /** The clock of everything that is reported to the rule checker. */
  public final MonotonicClock clock = new MonotonicClock();

  /** The endpoint list, the watch on it and the receiver of outcome notices. */
  public final StandInPlatform platform;

  /** A registry, empty and without a fault at first. */
  public final StandInRegistry registry;

  /** The client that submits messages. */
  public final StandInClient client;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final List<StandInRegistry> registries = new ArrayList<>();
  private final Random random;
  private final Path folder;
  private volatile boolean loading;
  private volatile List<String> loadedClasses = CLASSES;

  /** Keeps its files in a folder; all randomness comes from the seed. */
  public StandInWorld(final Path folder, final long seed) {
    this.folder = folder;
    this.random = new Random(seed);
    this.platform = new StandInPlatform(group, ruleChecker, clock);
    this.registry = registry();
    this.client = new StandInClient(group, "m" + Long.toHexString(seed) + "-", ruleChecker, clock);
    group.forEach(loop -> monitorLoop((EventLoop) loop, clock.nowUs() + LOOP_CHECK_MS * US_PER_MS));
  }

  /**
   * Detects pauses of the test process itself: what arrived while a loop did not run was observed
   * late.
   */
  private void monitorLoop(final EventLoop loop, final long dueUs) {
    final long delayUs = Math.max(0, dueUs - clock.nowUs());
    loop.schedule(
        () -> {
          final long nowUs = clock.nowUs();
          if (nowUs - dueUs > LATE_CHECK_US) {
            ruleChecker.recordCheckerPause(dueUs, nowUs);
          }
          monitorLoop(loop, nowUs + LOOP_CHECK_MS * US_PER_MS);
        },
        delayUs,
        TimeUnit.MICROSECONDS);
  }

  /** Returns a further client, for another courier of the same fleet; the caller closes it. */
  public StandInClient client(final String prefix) {
    return new StandInClient(group, prefix, ruleChecker, clock);
  }

  /** Returns a further registry. */
  public StandInRegistry registry() {
    final StandInRegistry added = new StandInRegistry(group);
    registries.add(added);
    return added;
  }

  /** Returns a further endpoint of a destination; the platform doesn't list it yet. */
  public StandInEndpoint endpoint(final long destination) {
    final StandInEndpoint endpoint =
        new StandInEndpoint(group, "e" + endpoints.size(), destination, ruleChecker, clock);
    endpoints.add(endpoint);
    return endpoint;
  }

  /** The endpoints that were added so far. */
  public List<StandInEndpoint> endpoints() {
    return List.copyOf(endpoints);
  }

  /**
   * Resets the connections that a killed process had open at the endpoints, and waits until all of
   * them are gone. Unread data on them is dropped, also that of a connection that was only half
   * established. Whatever is read from then on comes from the next process, which starts within
   * milliseconds when it runs in the same Java machine.
   */
  public void resetConnections() {
    endpoints.forEach(endpoint -> endpoint.server().resetAll());
    await(
        "the end of the old connections at every endpoint",
        () -> endpoints.stream().allMatch(endpoint -> endpoint.server().connections() == 0));
  }

  /** Returns a random number below the bound, from the seed. */
  public int randomInt(final int bound) {
    return random.nextInt(bound);
  }

  /**
   * Writes the configuration with the endpoint list as it is now, and returns the environment of a
   * courier.
   */
  public Map<String, String> environment(final CourierFiles.Size size) throws IOException {
    return CourierFiles.write(folder, "n0", platform.address(), platform.known(), size);
  }

  /** Submits messages of these classes from now on, evenly mixed. */
  public void setLoadClasses(final String... names) {
    loadedClasses = List.of(names);
  }

  /**
   * Submits that many messages a second, to each destination in turn, until {@link
   * #stopLoadAndCheck}.
   */
  public void startLoad(final double perSecond, final long timeoutMs, final long... destinations) {
    startLoad(client, perSecond, timeoutMs, destinations);
  }

  /** Does the same with a further client. */
  public void startLoad(
      final StandInClient sender,
      final double perSecond,
      final long timeoutMs,
      final long... destinations) {
    loading = true;
    final long gapUs = (long) (1_000_000 / perSecond);
    final long beganUs = clock.nowUs();
    group.next().execute(() -> submitDue(sender, beganUs, 0, gapUs, timeoutMs, destinations));
  }

  private void submitDue(
      final StandInClient sender,
      final long beganUs,
      final long number,
      final long gapUs,
      final long timeoutMs,
      final long[] destinations) {
    if (!loading) {
      return;
    }
    long next = number;
    // The rate follows the clock: messages missed by a late timer are submitted at once.
    while (beganUs + next * gapUs <= clock.nowUs()) {
      sender.submit(
          loadedClasses.get(random.nextInt(loadedClasses.size())),
          destinations[(int) (next % destinations.length)],
          timeoutMs);
      next++;
    }
    final long following = next;
    group
        .next()
        .schedule(
            () -> submitDue(sender, beganUs, following, gapUs, timeoutMs, destinations),
            Math.max(1, beganUs + following * gapUs - clock.nowUs()),
            TimeUnit.MICROSECONDS);
  }

  /** Stops submitting; messages in progress run to their final outcome. */
  public void stopSubmitting() {
    loading = false;
  }

  /**
   * Stops submitting, waits until every accepted message has its final outcome, and returns the
   * violations.
   */
  public List<Violation> stopLoadAndCheck() {
    loading = false;
    await(
        "the final outcome of every message",
        () -> client.pendingRequests() <= 0 && ruleChecker.allEnded());
    return ruleChecker.finish(clock.nowUs());
  }

  /**
   * Stops submitting, and waits until the deadline of the last message has passed, unless all have
   * their outcome earlier: for couriers that may lose some. Messages whose clients timed out are
   * waited for as well.
   */
  public List<Violation> stopLoadAndCheck(final long timeoutMs) {
    loading = false;
    final long untilUs = clock.nowUs() + (timeoutMs + GRACE_MS) * 1000;
    await("the last message's deadline", () -> clock.nowUs() > untilUs || ruleChecker.allSettled());
    return ruleChecker.finish(clock.nowUs());
  }

  /** Waits until the stand-ins' clock shows that time, us. */
  public void waitUntil(final long us) {
    while (clock.nowUs() < us) {
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(Math.max(1, us - clock.nowUs())));
    }
  }

  /** Waits for a condition; the limit is only reached by a failure. */
  public void await(final String what, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > untilNs) {
        throw new AssertionError(
            "timed out waiting for "
                + what
                + "; outcomes so far "
                + ruleChecker.outcomeCounts()
                + ", "
                + ruleChecker.finish(clock.nowUs()));
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  @Override
  public void close() {
    loading = false;
    client.close();
    endpoints.forEach(StandInEndpoint::close);
    registries.forEach(StandInRegistry::close);
    platform.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}

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
 * Everything round one courier: the platform, endpoints, a registry, a client that hands in at a
 * seeded pace, and the Auditor that sees it all. Whoever makes one starts a courier of its own with
 * {@link #environment}.
 */
public final class StandInWorld implements AutoCloseable {
  private static final long AWAIT_S = 30;
  private static final long US_PER_MS = 1000;
  private static final long GRACE_MS = 400;

  /**
   * How often each loop of the stand-ins looks whether it runs; later by so much, us, it did not.
   */
  private static final long BEAT_MS = 20;

  private static final long LATE_BEAT_US = 20_000;

  /** The classes that are handed in, evenly mixed. */
  private static final List<String> CLASSES = List.of("safe", "keyed", "once");

  /** What the rules have to say. */
  public final RuleChecker ruleChecker =
      new RuleChecker(RuleChecker.Tolerances.standard(), CourierFiles.CLASSES);

  /** The clock of all that is told to the Auditor. */
  public final MonotonicClock clock = new MonotonicClock();

  /** The list, the watch and the ends. */
  public final StandInPlatform platform;

  /** A registry, at first empty and sound. */
  public final StandInRegistry registry;

  /** Who hands in. */
  public final StandInClient client;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<StandInEndpoint> endpoints = new ArrayList<>();
  private final List<StandInRegistry> registries = new ArrayList<>();
  private final Random random;
  private final Path folder;
  private volatile boolean loading;
  private volatile List<String> loadedClasses = CLASSES;

  /** A world that keeps its files in a folder; all chance comes from the seed. */
  public StandInWorld(final Path folder, final long seed) {
    this.folder = folder;
    this.random = new Random(seed);
    this.platform = new StandInPlatform(group, ruleChecker, clock);
    this.registry = registry();
    this.client = new StandInClient(group, "m" + Long.toHexString(seed) + "-", ruleChecker, clock);
    group.forEach(loop -> beat((EventLoop) loop, clock.nowUs() + BEAT_MS * US_PER_MS));
  }

  /** The judge's own pulse: a loop that did not run saw what came meanwhile late. */
  private void beat(final EventLoop loop, final long dueUs) {
    final long delayUs = Math.max(0, dueUs - clock.nowUs());
    loop.schedule(
        () -> {
          final long nowUs = clock.nowUs();
          if (nowUs - dueUs > LATE_BEAT_US) {
            ruleChecker.recordCheckerPause(dueUs, nowUs);
          }
          beat(loop, nowUs + BEAT_MS * US_PER_MS);
        },
        delayUs,
        TimeUnit.MICROSECONDS);
  }

  /** A further client, of another courier of the same fleet; to be closed by whoever asks. */
  public StandInClient client(final String prefix) {
    return new StandInClient(group, prefix, ruleChecker, clock);
  }

  /** A further registry. */
  public StandInRegistry registry() {
    final StandInRegistry further = new StandInRegistry(group);
    registries.add(further);
    return further;
  }

  /** A further endpoint of a destination; nobody names it yet. */
  public StandInEndpoint endpoint(final long destination) {
    final StandInEndpoint endpoint =
        new StandInEndpoint(group, "e" + endpoints.size(), destination, ruleChecker, clock);
    endpoints.add(endpoint);
    return endpoint;
  }

  /**
   * Ends what a killed process had open at the endpoints, and waits until all of it is over. What
   * it said and is not read yet goes with its connections, also one that its end left half made:
   * whatever is read from then on is the next one's, which within one Java machine begins within
   * milliseconds.
   */
  public void resetConnections() {
    endpoints.forEach(endpoint -> endpoint.server().resetAll());
    await(
        "the end of the old process at every endpoint",
        () -> endpoints.stream().allMatch(endpoint -> endpoint.server().connections() == 0));
  }

  /** A number from the world's chance. */
  public int randomInt(final int bound) {
    return random.nextInt(bound);
  }

  /** What a courier of this world finds in its environment, with the list as it is now. */
  public Map<String, String> environment(final CourierFiles.Size size) throws IOException {
    return CourierFiles.write(folder, "n0", platform.address(), platform.known(), size);
  }

  /** From now on messages of these classes are handed in, evenly mixed. */
  public void setLoadClasses(final String... names) {
    loadedClasses = List.of(names);
  }

  /**
   * Hands in so many messages a second, to each destination in turn, until {@link
   * #stopLoadAndCheck}.
   */
  public void startLoad(final double perSecond, final long timeoutMs, final long... destinations) {
    startLoad(client, perSecond, timeoutMs, destinations);
  }

  /** The same by a further client. */
  public void startLoad(
      final StandInClient by,
      final double perSecond,
      final long timeoutMs,
      final long... destinations) {
    loading = true;
    final long gapUs = (long) (1_000_000 / perSecond);
    final long beganUs = clock.nowUs();
    group.next().execute(() -> handIn(by, beganUs, 0, gapUs, timeoutMs, destinations));
  }

  private void handIn(
      final StandInClient by,
      final long beganUs,
      final long number,
      final long gapUs,
      final long timeoutMs,
      final long[] destinations) {
    if (!loading) {
      return;
    }
    long next = number;
    // The pace is that of the clock: what a late timer missed is handed in at once.
    while (beganUs + next * gapUs <= clock.nowUs()) {
      by.submit(
          loadedClasses.get(random.nextInt(loadedClasses.size())),
          destinations[(int) (next % destinations.length)],
          timeoutMs);
      next++;
    }
    final long then = next;
    group
        .next()
        .schedule(
            () -> handIn(by, beganUs, then, gapUs, timeoutMs, destinations),
            Math.max(1, beganUs + then * gapUs - clock.nowUs()),
            TimeUnit.MICROSECONDS);
  }

  /** Hands in no more; what is out comes to its end. */
  public void stopSubmitting() {
    loading = false;
  }

  /** Hands in no more, and waits until all that was taken on has its end, or its time is up. */
  public List<Violation> stopLoadAndCheck() {
    loading = false;
    await(
        "an end for every message", () -> client.pendingRequests() <= 0 && ruleChecker.allEnded());
    return ruleChecker.finish(clock.nowUs());
  }

  /**
   * Hands in no more, and lets the last messages' time pass, unless all have ended before: for
   * couriers that may lose some. Messages whose clients gave up waiting are waited for as well.
   */
  public List<Violation> stopLoadAndCheck(final long timeoutMs) {
    loading = false;
    final long untilUs = clock.nowUs() + (timeoutMs + GRACE_MS) * 1000;
    await("the last message's time", () -> clock.nowUs() > untilUs || ruleChecker.allSettled());
    return ruleChecker.finish(clock.nowUs());
  }

  /** Waits until that moment of the stand-ins' clock, us. */
  public void waitUntil(final long us) {
    while (clock.nowUs() < us) {
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(Math.max(1, us - clock.nowUs())));
    }
  }

  /** Waits for what must come, under a bound that only a failure reaches. */
  public void await(final String what, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > untilNs) {
        throw new AssertionError(
            "never came: "
                + what
                + "; ends so far "
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

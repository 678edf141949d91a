package thistleturn.decisions.oracle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * Measures the cost of decisions per message, for the reference controller and the current one in
 * the same run, at a constant number of pending messages: each delivered message is replaced by a
 * new one. Runs only on demand, with {@code -DargLine=-Dbench=true}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBench {
  private static final long SECOND = 1_000_000;
  private static final int MESSAGES_PER_ROUND = 4;
  private static final long ROUND_INTERVAL_US = 50;

  /** The reference controller ({@code frozen}) or the current one ({@code present}). */
  @Param({"frozen", "present"})
  public String module;

  /** Number of destinations, and of pending messages. */
  @Param({"10x100", "10x10000", "10x100000", "1000x10000", "10000x10000", "100000x100000"})
  public String size;

  private ArrayDeque<String> inFlight;
  private ArrayDeque<Long> endpoints;
  private Random random;
  private int destinations;
  private DeliveryController controller;
  private long nowUs;
  private int messages;

  /** Adds the destinations to the endpoint list and accepts the pending messages. */
  @Setup(Level.Trial)
  public void begin() {
    inFlight = new ArrayDeque<>();
    endpoints = new ArrayDeque<>();
    random = new Random(1);
    nowUs = 1000 * SECOND;
    messages = 0;
    destinations = Integer.parseInt(size.substring(0, size.indexOf('x')));
    final RandomScenario.ControllerFactory factory =
        module.equals("frozen") ? ReferenceController::new : OverloadController::new;
    controller = factory.create(settings(), 1, new QueueingActions());
    final List<Endpoint> list = new ArrayList<>();
    for (int id = 1; id <= destinations; id++) {
      list.add(new Endpoint(id, EndpointState.LISTED, "a", 0, 0, id));
    }
    controller.onEndpointList(nowUs, EndpointUpdate.COMPLETE_SNAPSHOT, list);
    final int pending = Integer.parseInt(size.substring(size.indexOf('x') + 1));
    for (int index = 0; index < pending; index++) {
      acceptMessage();
    }
    controller.decide(nowUs);
  }

  /** Delivers four messages, accepts four others, and runs a decision round. */
  @Benchmark
  @OperationsPerInvocation(MESSAGES_PER_ROUND)
  public int pass() {
    int delivered = 0;
    // While windows or spacing leave no call in flight, only the time advances.
    while (delivered == 0) {
      nowUs += ROUND_INTERVAL_US;
      for (int index = 0; index < MESSAGES_PER_ROUND && !inFlight.isEmpty(); index++) {
        controller.onOutcome(
            nowUs,
            new AttemptOutcome(
                inFlight.poll(), AttemptResult.DELIVERED, true, endpoints.poll(), 1000, 0, null));
        acceptMessage();
        delivered++;
      }
      controller.decide(nowUs);
    }
    return delivered;
  }

  @Test
  @EnabledIfSystemProperty(named = "bench", matches = "true")
  void table() throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(DecideBench.class.getSimpleName())
                .forks(1)
                .warmupIterations(2)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(3)
                .measurementTime(TimeValue.seconds(1))
                .jvmArgs("-XX:+UseSerialGC", "-Xmx3g")
                .build())
        .run();
  }

  private static DeliverySettings settings() {
    return new DeliverySettings(
        1,
        "a",
        false,
        WeightMeaning.NONE,
        ValueDecay.LINEAR,
        List.of(
            new MessageClass(
                "safe", Idempotence.IDEMPOTENT, false, false, 1, 0, 5 * SECOND, 2000 * SECOND, 0)),
        List.of(),
        List.of(new DestinationKind("x", false, 1)),
        new Guarantees(10 * SECOND, 0.5, SECOND, 2, 0),
        new ResourceLimits(64, 1_000_000, 8, true, 10 * SECOND, 1, 0));
  }

  private final class QueueingActions implements DeliveryActions {
    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      inFlight.add(messageId);
      endpoints.add(endpoint);
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      throw new IllegalStateException("no message is shed in this benchmark");
    }

    @Override
    public void fail(final String messageId) {
      throw new IllegalStateException("no message fails in this benchmark");
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      // No call is overdue in this benchmark.
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      // The benchmark has no connections.
    }

    @Override
    public void subscribeToEndpointList() {
      // The endpoint list does not change.
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      // The benchmark runs the next round in any case.
    }
  }

  private void acceptMessage() {
    controller.onMessage(
        nowUs,
        new Message(
            "m" + messages++,
            0,
            -1,
            null,
            nowUs + 2000 * SECOND,
            1 + random.nextInt(destinations)));
  }
}

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
 * What a message costs the decisions, the frozen module beside the present one in one run: so many
 * messages are held, and for each that is delivered another comes. Played on demand, with {@code
 * -DargLine=-Dbench=true}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBench {
  private static final long SECOND = 1_000_000;
  private static final int TOGETHER = 4;
  private static final long PASS_US = 50;

  @Param({"frozen", "present"})
  public String module;

  /** Destinations, and messages held. */
  @Param({"10x100", "10x10000", "10x100000", "1000x10000", "10000x10000", "100000x100000"})
  public String size;

  private ArrayDeque<String> out;
  private ArrayDeque<Long> endpoints;
  private Random random;
  private int destinations;
  private DeliveryController courier;
  private long nowUs;
  private int messages;

  /** Lists the destinations and takes what is held. */
  @Setup(Level.Trial)
  public void begin() {
    out = new ArrayDeque<>();
    endpoints = new ArrayDeque<>();
    random = new Random(1);
    nowUs = 1000 * SECOND;
    messages = 0;
    destinations = Integer.parseInt(size.substring(0, size.indexOf('x')));
    final RandomScenario.ControllerFactory maker =
        module.equals("frozen") ? ReferenceController::new : OverloadController::new;
    courier = maker.make(settings(), 1, new Answering());
    final List<Endpoint> list = new ArrayList<>();
    for (int id = 1; id <= destinations; id++) {
      list.add(new Endpoint(id, EndpointState.LISTED, "a", 0, 0, id));
    }
    courier.onEndpointList(nowUs, EndpointUpdate.COMPLETE_SNAPSHOT, list);
    final int held = Integer.parseInt(size.substring(size.indexOf('x') + 1));
    for (int index = 0; index < held; index++) {
      take();
    }
    courier.decide(nowUs);
  }

  /** Four messages are delivered, four others come, and one pass decides. */
  @Benchmark
  @OperationsPerInvocation(TOGETHER)
  public int pass() {
    int delivered = 0;
    // Where windows or spacing leave nothing out, time alone brings the next.
    while (delivered == 0) {
      nowUs += PASS_US;
      for (int index = 0; index < TOGETHER && !out.isEmpty(); index++) {
        courier.onOutcome(
            nowUs,
            new AttemptOutcome(
                out.poll(), AttemptResult.DELIVERED, true, endpoints.poll(), 1000, 0, null));
        take();
        delivered++;
      }
      courier.decide(nowUs);
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

  private final class Answering implements DeliveryActions {
    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      out.add(messageId);
      endpoints.add(endpoint);
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      throw new IllegalStateException("nothing is refused here");
    }

    @Override
    public void fail(final String messageId) {
      throw new IllegalStateException("nothing fails here");
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      // Nothing is overdue here.
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      // There are no connections.
    }

    @Override
    public void subscribeToEndpointList() {
      // The list stays as it is.
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      // The next pass comes anyway.
    }
  }

  private void take() {
    courier.onMessage(
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

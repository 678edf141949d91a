package thistleturn.benchmarks.noise;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import thistleturn.decisions.model.WeightMeaning;
import thistleturn.lab.model.Fault;
import thistleturn.lab.model.Limit;
import thistleturn.lab.model.SimulatedDestination;
import thistleturn.lab.model.SlowStartModel;
import thistleturn.lab.virtual.Scenario;

/** Scenarios of the measurement: faults that do not depend on load, and limits that do. */
final class Scenarios {
  static final long SECOND_US = 1_000_000;
  private static final int DESTINATIONS = 3;

  /** Messages per second of the scenarios with random faults. */
  static final double RATE = 200;

  /** Time from a kill until the next process serves, us. */
  static final long RESTART_US = 300_000;

  /** The rate configured for each endpoint in scenarios with configured rates, per second. */
  private static final double CONFIGURED_RATE = 500;

  private Scenarios() {}

  /** Returns a scenario with three identical destinations. */
  static Scenario identicalDestinations(
      final LongFunction<SimulatedDestination> destination,
      final double messagesPerSecond,
      final long lengthUs,
      final boolean ratesConfigured) {
    final List<SimulatedDestination> destinations = new ArrayList<>();
    for (long id = 1; id <= DESTINATIONS; id++) {
      destinations.add(destination.apply(id));
    }
    return new Scenario(
        destinations,
        messagesPerSecond,
        lengthUs,
        Scenario.settings(ratesConfigured ? WeightMeaning.NOMINAL : WeightMeaning.NONE),
        ratesConfigured ? CONFIGURED_RATE : 0);
  }

  /**
   * Random faults by their row label; the values are the shares of calls that are rejected, reset,
   * answered with an error, and left unanswered.
   */
  static Map<String, double[]> faults() {
    final Map<String, double[]> faults = new LinkedHashMap<>();
    faults.put("none", new double[] {0, 0, 0, 0});
    faults.put("4% reset", new double[] {0, 0.04, 0, 0});
    faults.put("4% answered 500", new double[] {0, 0, 0.04, 0});
    faults.put("1% silent", new double[] {0, 0, 0, 0.01});
    faults.put("3% silent", new double[] {0, 0, 0, 0.03});
    faults.put("1% refused", new double[] {0.01, 0, 0, 0});
    faults.put("3% refused", new double[] {0.03, 0, 0, 0});
    faults.put("10% refused", new double[] {0.10, 0, 0, 0});
    return faults;
  }

  /** Faults during which the courier is killed, in the form of {@link #faults}. */
  static Map<String, double[]> faultsWithKills() {
    final Map<String, double[]> faults = new LinkedHashMap<>();
    faults.put("none", new double[] {0, 0, 0, 0});
    faults.put("2% refused, reset, 500; 1% silent", new double[] {0.02, 0.02, 0.02, 0.01});
    faults.put("10% refused, 4% reset, 500; 1% silent", new double[] {0.10, 0.04, 0.04, 0.01});
    return faults;
  }

  /** Shortest and longest lifetime of a process that is killed, us, by row label. */
  static Map<String, long[]> lifetimes() {
    final Map<String, long[]> lifetimes = new LinkedHashMap<>();
    lifetimes.put("0.05 to 1.5 s", new long[] {50_000, 1_500_000});
    lifetimes.put("1.2 s", new long[] {1_200_000, 1_200_000});
    return lifetimes;
  }

  /** Returns a scenario in which every destination fails calls at the given shares. */
  static Scenario withFaults(
      final double[] shares, final long lengthUs, final boolean ratesConfigured) {
    final Fault fault = Fault.shares(shares[0], shares[1], shares[2], shares[3]);
    return identicalDestinations(
        id -> SimulatedDestination.plain(id).withFault(fault), RATE, lengthUs, ratesConfigured);
  }

  /**
   * Capacity limits by row label, each of {@link #CAPACITY} calls per second and destination, at
   * several loads, with and without 5% of random rejections.
   */
  static Map<String, Supplier<Scenario>> limits(final long lengthUs) {
    final Map<String, Supplier<Scenario>> scenarios = new LinkedHashMap<>();
    final Fault noise = Fault.shares(0.05, 0, 0, 0);
    for (final double load : new double[] {0.7, 1.3, 3}) {
      for (final boolean noisy : new boolean[] {false, true}) {
        final String labelSuffix =
            String.format(Locale.ROOT, ", load %.1f%s", load, noisy ? ", 5% noise" : "");
        final Fault fault = noisy ? noise : Fault.NONE;
        scenarios.put(
            "spans of 1 s, 30 a span" + labelSuffix,
            () -> limited(() -> Limit.fixedWindow(30, SECOND_US, false), fault, load, lengthUs));
        scenarios.put(
            "spans that tell waits" + labelSuffix,
            () -> limited(() -> Limit.fixedWindow(30, SECOND_US, true), fault, load, lengthUs));
        scenarios.put(
            "tokens, 30/s" + labelSuffix,
            () -> limited(() -> Limit.tokenBucket(30, 5), fault, load, lengthUs));
        scenarios.put(
            "3 at once, 100 ms" + labelSuffix,
            () -> limited(() -> Limit.concurrency(3), fault, load, lengthUs));
        scenarios.put(
            "3 servers, 6 places" + labelSuffix,
            () -> limited(() -> Limit.queue(3, 6), fault, load, lengthUs));
      }
    }
    return scenarios;
  }

  /**
   * Returns a scenario in which all destinations reject every call for a minute, starting after ten
   * seconds of traffic, at a given rate of messages.
   */
  static Scenario storm(final double messagesPerSecond) {
    final Fault rejectAll =
        Fault.shares(1, 0, 0, 0).between(STORM_FROM_US, STORM_TO_US, Fault.NONE);
    return identicalDestinations(
        id -> SimulatedDestination.plain(id).withFault(rejectAll),
        messagesPerSecond,
        STORM_SCENARIO_S * SECOND_US,
        false);
  }

  /**
   * Seconds of traffic at which the storm begins and ends. The clock of a scenario starts at 5 s,
   * so {@link #STORM_FROM_US} and {@link #STORM_TO_US} are 5 s later.
   */
  static final int STORM_FROM_S = 10;

  static final int STORM_TO_S = 70;

  /** Seconds of traffic of a scenario with a storm. */
  static final int STORM_SCENARIO_S = 90;

  private static final long STORM_FROM_US = (STORM_FROM_S + 5) * SECOND_US;
  private static final long STORM_TO_US = (STORM_TO_S + 5) * SECOND_US;

  /**
   * Returns a scenario with two destinations that go down and return with slow start, with a given
   * share of random rejections. The seed determines capacities, times and load.
   *
   * @param models receives the slow start model of each destination
   */
  static Scenario slowStarts(
      final long seed, final List<SlowStartModel> models, final double noise) {
    final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    final List<SimulatedDestination> destinations = new ArrayList<>();
    for (long id = 1; id <= 2; id++) {
      final double capacity = 20 + 60 * random.nextDouble();
      final long fromUs = (long) ((7 + 3 * random.nextDouble()) * SECOND_US);
      final long toUs = fromUs + (long) ((1 + 8 * random.nextDouble()) * SECOND_US);
      final SlowStartModel slowStart =
          new SlowStartModel(
              fromUs, toUs, capacity, COLD_CAPACITY_SHARE, SLOW_START_US, 2, 3 * SECOND_US);
      models.add(slowStart);
      destinations.add(
          SimulatedDestination.plain(id)
              .withFault(Fault.shares(noise, 0, 0, 0))
              .withOutage(slowStart));
    }
    return new Scenario(
        destinations,
        20 + 80 * random.nextDouble(),
        24 * SECOND_US,
        Scenario.settings(WeightMeaning.NONE, SLOW_START_US),
        0);
  }

  private static final double COLD_CAPACITY_SHARE = 0.3;
  private static final long SLOW_START_US = 8 * SECOND_US;

  /** Calls per second that each limit permits for each destination. */
  static final double CAPACITY = 30;

  private static Scenario limited(
      final Supplier<Limit> limit, final Fault fault, final double load, final long lengthUs) {
    return identicalDestinations(
        id ->
            SimulatedDestination.plain(id)
                .withService(SimulatedDestination.Service.exponential(100_000))
                .withLimit(limit.get())
                .withFault(fault),
        DESTINATIONS * CAPACITY * load,
        lengthUs,
        false);
  }
}

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

/** Evenings that are played: trouble that answers to nothing of ours, and limits that do. */
final class Worlds {
  static final long SECOND_US = 1_000_000;
  private static final int PARTNERS = 3;
  static final double PER_SECOND = 200;

  /** From a kill until the next process serves, us. */
  static final long START_US = 300_000;

  /** The rate told for an endpoint where rates are told. */
  private static final double TOLD = 500;

  private Worlds() {}

  /** Three partners alike, as the table of the issue has them. */
  static Scenario evening(
      final LongFunction<SimulatedDestination> partner,
      final double perSecond,
      final long lengthUs,
      final boolean told) {
    final List<SimulatedDestination> partners = new ArrayList<>();
    for (long id = 1; id <= PARTNERS; id++) {
      partners.add(partner.apply(id));
    }
    return new Scenario(
        partners,
        perSecond,
        lengthUs,
        Scenario.settings(told ? WeightMeaning.NOMINAL : WeightMeaning.NONE),
        told ? TOLD : 0);
  }

  /** Random trouble; the key names it, the value is its shares refused, reset, in error, silent. */
  static Map<String, double[]> troubles() {
    final Map<String, double[]> troubles = new LinkedHashMap<>();
    troubles.put("none", new double[] {0, 0, 0, 0});
    troubles.put("4% reset", new double[] {0, 0.04, 0, 0});
    troubles.put("4% answered 500", new double[] {0, 0, 0.04, 0});
    troubles.put("1% silent", new double[] {0, 0, 0, 0.01});
    troubles.put("3% silent", new double[] {0, 0, 0, 0.03});
    troubles.put("1% refused", new double[] {0.01, 0, 0, 0});
    troubles.put("3% refused", new double[] {0.03, 0, 0, 0});
    troubles.put("10% refused", new double[] {0.10, 0, 0, 0});
    return troubles;
  }

  /** Trouble amid which the courier is killed; as above. */
  static Map<String, double[]> killed() {
    final Map<String, double[]> troubles = new LinkedHashMap<>();
    troubles.put("none", new double[] {0, 0, 0, 0});
    troubles.put("2% refused, reset, 500; 1% silent", new double[] {0.02, 0.02, 0.02, 0.01});
    troubles.put("10% refused, 4% reset, 500; 1% silent", new double[] {0.10, 0.04, 0.04, 0.01});
    return troubles;
  }

  /** Shortest and longest life of a process that is killed, us. */
  static Map<String, long[]> lives() {
    final Map<String, long[]> lives = new LinkedHashMap<>();
    lives.put("0.05 to 1.5 s", new long[] {50_000, 1_500_000});
    lives.put("1.2 s", new long[] {1_200_000, 1_200_000});
    return lives;
  }

  static Scenario troubled(final double[] shares, final long lengthUs, final boolean told) {
    final Fault fault = Fault.shares(shares[0], shares[1], shares[2], shares[3]);
    return evening(
        id -> SimulatedDestination.plain(id).withFault(fault), PER_SECOND, lengthUs, told);
  }

  /**
   * True limits, each with what it can do a second for one partner, with and without 5% noise, at
   * several loads.
   */
  static Map<String, Supplier<Scenario>> limits(final long lengthUs) {
    final Map<String, Supplier<Scenario>> worlds = new LinkedHashMap<>();
    final Fault noise = Fault.shares(0.05, 0, 0, 0);
    for (final double load : new double[] {0.7, 1.3, 3}) {
      for (final boolean noisy : new boolean[] {false, true}) {
        final String name =
            String.format(Locale.ROOT, ", load %.1f%s", load, noisy ? ", 5% noise" : "");
        final Fault fault = noisy ? noise : Fault.NONE;
        worlds.put(
            "spans of 1 s, 30 a span" + name,
            () -> limited(() -> Limit.fixedWindow(30, SECOND_US, false), fault, load, lengthUs));
        worlds.put(
            "spans that tell waits" + name,
            () -> limited(() -> Limit.fixedWindow(30, SECOND_US, true), fault, load, lengthUs));
        worlds.put(
            "tokens, 30/s" + name,
            () -> limited(() -> Limit.tokenBucket(30, 5), fault, load, lengthUs));
        worlds.put(
            "3 at once, 100 ms" + name,
            () -> limited(() -> Limit.concurrency(3), fault, load, lengthUs));
        worlds.put(
            "3 servers, 6 places" + name,
            () -> limited(() -> Limit.queue(3, 6), fault, load, lengthUs));
      }
    }
    return worlds;
  }

  /**
   * All partners refuse everything for a minute, ten seconds after the start, at a given rate of
   * messages.
   */
  static Scenario storm(final double perSecond) {
    final Fault all = Fault.shares(1, 0, 0, 0).between(STORM_FROM_US, STORM_TO_US, Fault.NONE);
    return evening(
        id -> SimulatedDestination.plain(id).withFault(all),
        perSecond,
        STORM_EVENING_S * SECOND_US,
        false);
  }

  /**
   * Seconds of traffic at which the storm begins and ends: the clock of an evening starts at five.
   */
  static final int STORM_FROM_S = 10;

  static final int STORM_TO_S = 70;

  /** Seconds of traffic of a stormy evening. */
  static final int STORM_EVENING_S = 90;

  private static final long STORM_FROM_US = (STORM_FROM_S + 5) * SECOND_US;
  private static final long STORM_TO_US = (STORM_TO_S + 5) * SECOND_US;

  /**
   * Two partners that go down and come back cold, one after the other, amid 5% noise; sizes and
   * moments by the seed.
   */
  static Scenario returns(final long seed, final List<SlowStartModel> returns, final double noise) {
    final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    final List<SimulatedDestination> partners = new ArrayList<>();
    for (long id = 1; id <= 2; id++) {
      final double capacity = 20 + 60 * random.nextDouble();
      final long fromUs = (long) ((7 + 3 * random.nextDouble()) * SECOND_US);
      final long toUs = fromUs + (long) ((1 + 8 * random.nextDouble()) * SECOND_US);
      final SlowStartModel cold =
          new SlowStartModel(fromUs, toUs, capacity, COLD_FROM, COLD_US, 2, 3 * SECOND_US);
      returns.add(cold);
      partners.add(
          SimulatedDestination.plain(id).withFault(Fault.shares(noise, 0, 0, 0)).withOutage(cold));
    }
    return new Scenario(
        partners,
        20 + 80 * random.nextDouble(),
        24 * SECOND_US,
        Scenario.settings(WeightMeaning.NONE, COLD_US),
        0);
  }

  private static final double COLD_FROM = 0.3;
  private static final long COLD_US = 8 * SECOND_US;

  /** Each can do 30 a second for each partner. */
  static final double CAPACITY = 30;

  private static Scenario limited(
      final Supplier<Limit> limit, final Fault fault, final double load, final long lengthUs) {
    return evening(
        id ->
            SimulatedDestination.plain(id)
                .withService(SimulatedDestination.Service.exponential(100_000))
                .withLimit(limit.get())
                .withFault(fault),
        PARTNERS * CAPACITY * load,
        lengthUs,
        false);
  }
}

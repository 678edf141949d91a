package thistleturn.lab.model;

import java.util.random.RandomGenerator;

/**
 * An outside destination: how long it serves, what it takes, what goes wrong there.
 *
 * @param id its number
 * @param endpoints how many it has, two zones in turn
 * @param service how long it serves
 * @param limit what it takes; may be shared with other partners
 * @param fault trouble whatever the load is
 * @param outage null: none
 * @param share its part of the messages, relative to others'
 */
public record SimulatedDestination(
    long id,
    int endpoints,
    Service service,
    Limit limit,
    Fault fault,
    SlowStartModel outage,
    double share) {

  /** How long a call takes that is served at once. */
  @FunctionalInterface
  public interface Service {
    /** In us. */
    long drawUs(int kind, RandomGenerator random);

    /**
     * Half in 2 ms, half evenly up to 250 ms: replicas behind one address, warm and cold caches.
     */
    Service MIXED =
        (kind, random) -> random.nextBoolean() ? 2_000 : (long) (250_000 * random.nextDouble());

    /** Always the same. */
    static Service fixed(final long us) {
      return (kind, random) -> us;
    }

    /** Exponential about a mean. */
    static Service exponential(final long meanUs) {
      return (kind, random) -> (long) (random.nextExponential() * meanUs);
    }
  }

  /** One with two endpoints that serves any number at once, and of which nothing is wrong. */
  public static SimulatedDestination plain(final long id) {
    return new SimulatedDestination(id, 2, Service.MIXED, Limit.none(), Fault.NONE, null, 1);
  }

  /** The same with another limit. */
  public SimulatedDestination limited(final Limit other) {
    return new SimulatedDestination(id, endpoints, service, other, fault, outage, share);
  }

  /** The same with trouble. */
  public SimulatedDestination faulty(final Fault other) {
    return new SimulatedDestination(id, endpoints, service, limit, other, outage, share);
  }

  /** The same with another time of service. */
  public SimulatedDestination serving(final Service other) {
    return new SimulatedDestination(id, endpoints, other, limit, fault, outage, share);
  }

  /** The same with an outage. */
  public SimulatedDestination returning(final SlowStartModel other) {
    return new SimulatedDestination(id, endpoints, service, limit, fault, other, share);
  }

  /** What becomes of a call that comes now, before its limit is asked. */
  public CallFault fate(
      final long nowUs, final int endpoint, final int kind, final RandomGenerator random) {
    final CallFault cold = outage == null ? CallFault.SERVE : outage.arrives(nowUs);
    return cold == CallFault.SERVE ? fault.of(nowUs, endpoint, kind, random) : cold;
  }
}

package thistleturn.lab.model;

import java.util.random.RandomGenerator;

/**
 * A simulated destination: its service time, limit, faults and outage.
 *
 * @param id number of the destination
 * @param endpoints number of endpoints, alternating between two zones
 * @param service distribution of the service time
 * @param limit limit on its calls; may be shared with other destinations
 * @param fault faults that do not depend on load
 * @param outage outage with a cold return; null for none
 * @param share its share of the messages, relative to other destinations
 */
public record SimulatedDestination(
    long id,
    int endpoints,
    Service service,
    Limit limit,
    Fault fault,
    SlowStartModel outage,
    double share) {

  /** Service time of a call that does not queue. */
  @FunctionalInterface
  public interface Service {
    /** Draws a service time, us. */
    long drawUs(int kind, RandomGenerator random);

    /**
     * Half of the calls in 2 ms, half uniformly distributed up to 250 ms: replicas behind one
     * address, with warm and cold caches.
     */
    Service MIXED =
        (kind, random) -> random.nextBoolean() ? 2_000 : (long) (250_000 * random.nextDouble());

    /** A constant service time. */
    static Service fixed(final long us) {
      return (kind, random) -> us;
    }

    /** An exponentially distributed service time. */
    static Service exponential(final long meanUs) {
      return (kind, random) -> (long) (random.nextExponential() * meanUs);
    }
  }

  /** A destination with two endpoints, no limit and no faults. */
  public static SimulatedDestination plain(final long id) {
    return new SimulatedDestination(id, 2, Service.MIXED, Limit.none(), Fault.NONE, null, 1);
  }

  /** A copy with another limit. */
  public SimulatedDestination withLimit(final Limit other) {
    return new SimulatedDestination(id, endpoints, service, other, fault, outage, share);
  }

  /** A copy with another fault. */
  public SimulatedDestination withFault(final Fault other) {
    return new SimulatedDestination(id, endpoints, service, limit, other, outage, share);
  }

  /** A copy with another service time. */
  public SimulatedDestination withService(final Service other) {
    return new SimulatedDestination(id, endpoints, other, limit, fault, outage, share);
  }

  /** A copy with an outage. */
  public SimulatedDestination withOutage(final SlowStartModel other) {
    return new SimulatedDestination(id, endpoints, service, limit, fault, other, share);
  }

  /** Decides what happens to a call that arrives now, before its limit is checked. */
  public CallFault faultAt(
      final long nowUs, final int endpoint, final int kind, final RandomGenerator random) {
    final CallFault cold = outage == null ? CallFault.SERVE : outage.arrives(nowUs);
    return cold == CallFault.SERVE ? fault.of(nowUs, endpoint, kind, random) : cold;
  }
}

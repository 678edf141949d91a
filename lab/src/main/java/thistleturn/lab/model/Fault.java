package thistleturn.lab.model;

import java.util.random.RandomGenerator;

/** A fault that does not depend on load. */
@FunctionalInterface
public interface Fault {
  /** No fault. */
  Fault NONE = (nowUs, endpoint, kind, random) -> CallFault.SERVE;

  /**
   * Decides what happens to a call of a message class that arrives at an endpoint of its
   * destination (0, 1, ...).
   */
  CallFault of(long nowUs, int endpoint, int kind, RandomGenerator random);

  /** Affects each call independently, with these probabilities. */
  static Fault shares(
      final double refused, final double reset, final double error, final double silent) {
    return (nowUs, endpoint, kind, random) -> {
      final double draw = random.nextDouble();
      return draw < refused
          ? CallFault.REFUSE
          : draw < refused + reset
              ? CallFault.RESET
              : draw < refused + reset + error
                  ? CallFault.ERROR
                  : draw < refused + reset + error + silent
                      ? CallFault.UNRESPONSIVE
                      : CallFault.SERVE;
    };
  }

  /** This fault from {@code fromUs} until {@code toUs}, and {@code otherwise} before and after. */
  default Fault between(final long fromUs, final long toUs, final Fault otherwise) {
    return (nowUs, endpoint, kind, random) ->
        (nowUs >= fromUs && nowUs < toUs ? this : otherwise).of(nowUs, endpoint, kind, random);
  }

  /** This fault at one endpoint only. */
  default Fault atEndpoint(final int only) {
    return (nowUs, endpoint, kind, random) ->
        endpoint == only ? of(nowUs, endpoint, kind, random) : CallFault.SERVE;
  }

  /** This fault for one message class only. */
  default Fault forClass(final int only) {
    return (nowUs, endpoint, kind, random) ->
        kind == only ? of(nowUs, endpoint, kind, random) : CallFault.SERVE;
  }
}

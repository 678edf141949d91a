package thistleturn.lab.model;

import java.util.random.RandomGenerator;

/** Trouble that does not answer to load. */
@FunctionalInterface
public interface Fault {
  /** Nothing is wrong. */
  Fault NONE = (nowUs, endpoint, kind, random) -> CallFault.SERVE;

  /**
   * What becomes of a call of a class that comes to an endpoint of its partner (0, 1, ...) at a
   * moment.
   */
  CallFault of(long nowUs, int endpoint, int kind, RandomGenerator random);

  /** Each call by itself, with these shares. */
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
                  : draw < refused + reset + error + silent ? CallFault.SILENT : CallFault.SERVE;
    };
  }

  /** This one between two moments, and another before and after. */
  default Fault between(final long fromUs, final long toUs, final Fault otherwise) {
    return (nowUs, endpoint, kind, random) ->
        (nowUs >= fromUs && nowUs < toUs ? this : otherwise).of(nowUs, endpoint, kind, random);
  }

  /** This one at one endpoint alone. */
  default Fault atEndpoint(final int only) {
    return (nowUs, endpoint, kind, random) ->
        endpoint == only ? of(nowUs, endpoint, kind, random) : CallFault.SERVE;
  }

  /** This one for one class alone. */
  default Fault forClass(final int only) {
    return (nowUs, endpoint, kind, random) ->
        kind == only ? of(nowUs, endpoint, kind, random) : CallFault.SERVE;
  }
}

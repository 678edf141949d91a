package thistleturn.decisions;

/** Opens to other packages of tests what only tests need. */
public final class ControlAccess {
  private ControlAccess() {}

  /** One that looks at all lanes whenever time has passed, as the frozen module does. */
  public static Courier lookingAtAll(
      final Courier.Settings settings, final long seed, final Courier.Actions actions) {
    return new Control(settings, seed, actions, 0, true, true, true);
  }

  /** The same, which takes refusals, failures and first seconds as they come. */
  public static Courier withoutReading(
      final Courier.Settings settings, final long seed, final Courier.Actions actions) {
    return new Control(settings, seed, actions, 0, false, true, true);
  }
}

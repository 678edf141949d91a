package thistleturn.decisions;

import java.util.List;

/**
 * What a courier's decisions are told and what they may ask for. A host (a courier process, or the
 * bench's adapter) calls the inbound events in the order in which they happened, then {@link
 * #decide} once, and carries out the {@link Actions} it was given meanwhile. All times are
 * microseconds on one clock that only advances.
 */
public interface Courier {

  /**
   * What a repeat of a message does: nothing new, nothing new while the key is remembered, or harm.
   */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** How worth falls between the aim and the deadline. */
  enum Fade {
    LINEAR,
    HALVING
  }

  /** What an endpoint's weight tells of its destination's limit. */
  enum Weights {
    NONE,
    NOMINAL,
    ROUGH
  }

  /**
   * How an attempt ended. {@code STALE}: reset, over a kept connection that was dead before; it may
   * have run all the same.
   */
  enum Result {
    DELIVERED,
    ERROR,
    REFUSED,
    TIMED_OUT,
    NO_CONNECTION,
    RESET,
    CANCELLED,
    NOT_SENT,
    STALE;

    /** True if the message certainly had no effect, so that another attempt is harmless. */
    public boolean neverRan() {
      return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
    }

    /** True if the destination answered, so that the attempt no longer runs. */
    public boolean ended() {
      return this == DELIVERED || this == ERROR;
    }
  }

  /** An endpoint's state in the list; the list knows nothing of health. */
  enum Condition {
    LISTED,
    DRAINING,
    GONE
  }

  /**
   * What an update holds: changed entries, all, the last list known, or no news at all; {@code
   * ASIDE}: changes that another source than the list told, which say nothing of the list's own
   * state.
   */
  enum Update {
    CHANGES,
    WHOLE,
    RESTORED,
    LOST,
    ASIDE
  }

  /**
   * A class of message. {@code zoneKeyed}: only endpoints of one zone drop each other's repeats.
   */
  record MessageClass(
      String name,
      Effect effect,
      boolean zoneKeyed,
      boolean inTurn,
      double worth,
      double lateWorth,
      long aimUs,
      long deadlineUs,
      long keyWindowUs) {
    /** Share of a key's window that is not used: clocks, and bytes on their way. */
    private static final double KEY_MARGIN = 0.05;

    /** How long after the first attempt that may have run its key surely holds, us. */
    public long keyHoldsUs() {
      return (long) ((1 - KEY_MARGIN) * keyWindowUs);
    }

    /**
     * Until when a message may go again that may have run first at that moment, us: while its key
     * surely holds.
     */
    public long keyEndUs(final boolean mayHaveRun, final long firstRunUs) {
      return mayHaveRun && effect == Effect.KEYED ? firstRunUs + keyHoldsUs() : Long.MAX_VALUE;
    }
  }

  /** A tenant and the messages a second, over all couriers, that are worth their full worth. */
  record Tenant(String name, double quotaPerSecond) {}

  /** A kind of destination. */
  record Kind(String name, boolean routesApart, int messagesPerCall) {}

  /** The figures of the rules. */
  record Guarantees(
      long mustAskUs, double coldFrom, long coldUs, double tipMultiple, long orderSettleUs) {
    /**
     * What tips a destination so far on its way to being warm, as a share of its whole capacity.
     */
    double tippingShare(final long warmingUs) {
      final double warm = (double) warmingUs / Math.max(1, coldUs);
      return tipMultiple * (coldFrom + (1 - coldFrom) * Worth.clamp(warm, 0, 1));
    }
  }

  /** What this courier may use. */
  record Limits(
      int slots,
      int maxOpen,
      int mostAttempts,
      boolean mayCancel,
      long idleCloseUs,
      int multiplex,
      long maxRetryAfterUs) {}

  /** Everything a courier is handed at its start. */
  record Settings(
      int couriers,
      String zone,
      boolean listOnRequest,
      Weights weights,
      Fade fade,
      List<MessageClass> classes,
      List<Tenant> tenants,
      List<Kind> kinds,
      Guarantees guarantees,
      Limits limits) {
    /** Refuses settings that contradict themselves, so that a host learns of it at its start. */
    public Settings {
      require(couriers >= 1, "a fleet has at least one courier, not " + couriers);
      require(limits.slots() >= 1, "a courier needs at least one slot, not " + limits.slots());
      require(limits.maxOpen() >= 1, "a store holds at least one message, not " + limits.maxOpen());
      require(
          limits.mostAttempts() >= 1,
          "a message needs at least one attempt, not " + limits.mostAttempts());
      require(
          guarantees.tipMultiple() > 0,
          "a tipping multiple is above 0, not " + guarantees.tipMultiple());
      for (final MessageClass kind : classes) {
        require(
            kind.aimUs() <= kind.deadlineUs(),
            kind.name() + ": its aim is later than its deadline");
      }
    }

    private static void require(final boolean kept, final String problem) {
      if (!kept) {
        throw new IllegalArgumentException(problem);
      }
    }
  }

  /** An endpoint as the list names it; {@code kind} is an index into the settings, or -1. */
  record Endpoint(
      long id, Condition condition, String zone, double weight, int kind, long destination) {}

  /**
   * A message taken; {@code messageClass} and {@code tenant} index the settings, tenant -1 if none.
   */
  record Message(
      String id, int messageClass, int tenant, String key, long validUntilUs, long destination) {}

  /**
   * What became of a message before this process held it. {@code mayHaveRun}: an attempt may have
   * had its effect, the first one at {@code firstRunUs} (on the clock of the events, perhaps before
   * its start), in {@code runZone}.
   */
  record Past(int attempts, boolean mayHaveRun, long firstRunUs, String runZone) {}

  /** What a destination told of its limit: the share left, and calls a second (0: no limit). */
  record Allowance(double shareLeft, double callsPerSecond) {}

  /**
   * The outcome of an attempt. {@code over}: the message has its final answer. {@code waitUs}: the
   * wait told with the answer, or 0. {@code allowance}: null if nothing was told. {@code
   * durationUs} below 0: not measured, since the courier itself did not run all the while.
   */
  record Outcome(
      String messageId,
      Result result,
      boolean over,
      long endpoint,
      long durationUs,
      long waitUs,
      Allowance allowance) {}

  /** What a courier may ask of its host. */
  interface Actions {
    /** Calls an endpoint with a message. */
    void send(String messageId, long endpoint, long timeoutUs);

    /** Ends a message undelivered; its client may safely hand it in again. */
    void refuse(String messageId, long retryAfterUs);

    /** Ends a message as failed; nothing is promised. */
    void fail(String messageId);

    /** Stops waiting for an attempt. */
    void cancel(String messageId, int attempt);

    /** Closes this courier's idle connections to an endpoint, before the actions that follow. */
    void closeIdle(long endpoint);

    /** Asks for changes of the list from now on. */
    void follow();

    /**
     * Asks for {@link Courier#decide} to be called again after a delay, if nothing calls it
     * earlier.
     */
    void wake(long delayUs);
  }

  /** The list changed, or could not be had. */
  void onList(long nowUs, Update update, List<Endpoint> entries);

  /** A message was taken. */
  void onMessage(long nowUs, Message message);

  /** A message that an earlier process of this courier took is held again; in the order taken. */
  void onResumed(long nowUs, Message message, Past past);

  /** This process ends at {@code stopUs}: what it still holds then goes on in the next one. */
  void onStopping(long nowUs, long stopUs);

  /**
   * What this courier may use has changed; it gets no further calls out while it has more than
   * that.
   */
  void onRoom(long nowUs, int slots, int maxOpen);

  /** An attempt ended. */
  void onOutcome(long nowUs, Outcome outcome);

  /** Nobody wants this message any more; it is owed no answer. */
  void onExpired(long nowUs, String messageId);

  /** All that happened by now has been told, or a wake-up fell due: act on it. */
  void decide(long nowUs);
}

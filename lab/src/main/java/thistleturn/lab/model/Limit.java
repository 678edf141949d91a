package thistleturn.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a partner takes: calls in spans, tokens, calls at once, or a queue before so many servers.
 * Refused ones may count.
 */
public interface Limit {
  /** A second, us. */
  long SECOND_US = 1_000_000;

  /** True if a call that comes now is taken; each that is taken ends once by {@link #ended}. */
  boolean takes(long nowUs);

  /** A call that was taken is over. */
  default void ended(final long nowUs) {}

  /**
   * How long a call taken now waits until it is served, us, given that serving it takes so long.
   */
  default long queueUs(final long nowUs, final long serviceUs) {
    return 0;
  }

  /** The wait told with a refusal now, us; 0: none. */
  default long waitUs(final long nowUs) {
    return 0;
  }

  /** Any number of calls. */
  static Limit none() {
    return nowUs -> true;
  }

  /** So many calls in each span; a refusal tells the span's end, or nothing. */
  static Limit spans(final int calls, final long spanUs, final boolean tellsWait) {
    return new Spans(calls, spanUs, tellsWait);
  }

  /**
   * So many calls in any span, those it refused included: one that is called at just its rate
   * refuses for as long as that goes on. A refusal tells a wait, us, or (0) nothing.
   */
  static Limit sliding(final double calls, final long spanUs, final long waitUs) {
    return new Sliding(calls, spanUs, waitUs);
  }

  /** So many calls a second, and so many at once after a rest. */
  static Limit tokens(final double perSecond, final double burst) {
    return new Tokens(perSecond, burst);
  }

  /** So many calls at once. */
  static Limit concurrency(final int calls) {
    return new Queue(calls, 0);
  }

  /** So many servers, and so many calls that wait for one. */
  static Limit queue(final int servers, final int places) {
    return new Queue(servers, places);
  }

  /** One limit up to a moment, another from then on. */
  default Limit until(final long untilUs, final Limit next) {
    final Limit first = this;
    return new Limit() {
      @Override
      public boolean takes(final long nowUs) {
        return (nowUs < untilUs ? first : next).takes(nowUs);
      }

      @Override
      public long waitUs(final long nowUs) {
        return (nowUs < untilUs ? first : next).waitUs(nowUs);
      }
    };
  }

  /** Calls counted in fixed spans of the clock. */
  final class Spans implements Limit {
    private final int most;
    private final long spanUs;
    private final boolean tellsWait;
    private long span = Long.MIN_VALUE;
    private int taken;

    Spans(final int most, final long spanUs, final boolean tellsWait) {
      this.most = most;
      this.spanUs = spanUs;
      this.tellsWait = tellsWait;
    }

    @Override
    public boolean takes(final long nowUs) {
      if (nowUs / spanUs != span) {
        span = nowUs / spanUs;
        taken = 0;
      }
      return taken++ < most;
    }

    @Override
    public long waitUs(final long nowUs) {
      return tellsWait ? spanUs - nowUs % spanUs : 0;
    }
  }

  /** Calls counted in the span that ends now, refused ones too. */
  final class Sliding implements Limit {
    private final double most;
    private final long spanUs;
    private final long waitUs;
    private final Deque<Long> came = new ArrayDeque<>();

    Sliding(final double most, final long spanUs, final long waitUs) {
      this.most = most;
      this.spanUs = spanUs;
      this.waitUs = waitUs;
    }

    @Override
    public boolean takes(final long nowUs) {
      while (!came.isEmpty() && came.peekFirst() <= nowUs - spanUs) {
        came.removeFirst();
      }
      came.addLast(nowUs);
      return came.size() <= most;
    }

    @Override
    public long waitUs(final long nowUs) {
      return waitUs;
    }
  }

  /** A token bucket. */
  final class Tokens implements Limit {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long atUs;

    Tokens(final double perSecond, final double burst) {
      this.perSecond = perSecond;
      this.burst = burst;
      this.tokens = burst;
    }

    @Override
    public boolean takes(final long nowUs) {
      tokens = Math.min(burst, tokens + (nowUs - atUs) * perSecond / SECOND_US);
      atUs = nowUs;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }

  /** Servers, and places before them; first come, first served. */
  final class Queue implements Limit {
    private final int servers;
    private final int places;
    private final long[] freeUs;
    private int inside;

    Queue(final int servers, final int places) {
      this.servers = servers;
      this.places = places;
      this.freeUs = new long[servers];
    }

    @Override
    public boolean takes(final long nowUs) {
      if (inside >= servers + places) {
        return false;
      }
      inside++;
      return true;
    }

    @Override
    public void ended(final long nowUs) {
      inside--;
    }

    @Override
    public long queueUs(final long nowUs, final long serviceUs) {
      int first = 0;
      for (int server = 1; server < servers; server++) {
        first = freeUs[server] < freeUs[first] ? server : first;
      }
      final long fromUs = Math.max(nowUs, freeUs[first]);
      freeUs[first] = fromUs + serviceUs;
      return fromUs - nowUs;
    }
  }
}

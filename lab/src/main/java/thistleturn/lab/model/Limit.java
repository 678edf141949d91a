package thistleturn.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The limit of a destination: calls per window, a token bucket, concurrent calls, or a queue before
 * a number of servers. Rejected calls may count towards it.
 */
public interface Limit {
  /** One second, us. */
  long SECOND_US = 1_000_000;

  /**
   * True if a call that arrives now is accepted; {@link #ended} follows once for each accepted
   * call.
   */
  boolean takes(long nowUs);

  /** Reports the end of an accepted call. */
  default void ended(final long nowUs) {}

  /**
   * Time that a call accepted now waits before it is served, us; serving it then takes {@code
   * serviceUs}.
   */
  default long queueUs(final long nowUs, final long serviceUs) {
    return 0;
  }

  /** Retry-After of a rejection now, us; 0 for none. */
  default long waitUs(final long nowUs) {
    return 0;
  }

  /** No limit. */
  static Limit none() {
    return nowUs -> true;
  }

  /**
   * A number of calls in each fixed window; with {@code tellsWait}, a rejection carries the time
   * until the window's end as Retry-After.
   */
  static Limit fixedWindow(final int calls, final long spanUs, final boolean tellsWait) {
    return new FixedWindow(calls, spanUs, tellsWait);
  }

  /**
   * A number of calls in any window, rejected ones included: a sender that keeps calling above the
   * rate is rejected for as long as it does so. {@code waitUs} is the Retry-After of a rejection, 0
   * for none.
   */
  static Limit slidingWindow(final double calls, final long spanUs, final long waitUs) {
    return new SlidingWindow(calls, spanUs, waitUs);
  }

  /** A token bucket with a rate per second and a burst size. */
  static Limit tokenBucket(final double perSecond, final double burst) {
    return new TokenBucket(perSecond, burst);
  }

  /** A number of concurrent calls. */
  static Limit concurrency(final int calls) {
    return new Queue(calls, 0);
  }

  /** A number of servers, and a queue of limited length before them. */
  static Limit queue(final int servers, final int places) {
    return new Queue(servers, places);
  }

  /** This limit until {@code untilUs}, and {@code next} from then on. */
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

  /** Counts calls in fixed windows of the clock. */
  final class FixedWindow implements Limit {
    private final int most;
    private final long spanUs;
    private final boolean tellsWait;
    private long span = Long.MIN_VALUE;
    private int taken;

    FixedWindow(final int most, final long spanUs, final boolean tellsWait) {
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

  /** Counts calls, rejected ones included, in the window that ends now. */
  final class SlidingWindow implements Limit {
    private final double most;
    private final long spanUs;
    private final long waitUs;
    private final Deque<Long> came = new ArrayDeque<>();

    SlidingWindow(final double most, final long spanUs, final long waitUs) {
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
  final class TokenBucket implements Limit {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long atUs;

    TokenBucket(final double perSecond, final double burst) {
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

  /** Servers with a first-come, first-served queue. */
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

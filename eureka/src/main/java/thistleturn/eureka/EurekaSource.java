package thistleturn.eureka;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.membership.RegistryPollSchedule;
import thistleturn.decisions.membership.RegistryPollSchedule.Scope;
import thistleturn.decisions.membership.SourceReport;

/**
 * Asks one registry for its instances: all of them first, then changes, and all again where the
 * changes do not lead to what the registry has (its hash tells). It decides nothing: when and where
 * to ask is {@link RegistryPollSchedule}'s, and what to make of the answers the membership's. Runs
 * on the event loop.
 */
public final class EurekaSource {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final RegistrySettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final DoubleSupplier random;
  private final Listener listener;
  private final EurekaMapping mapping = new EurekaMapping();
  private final RegistryPollSchedule poll;
  private final Counts counts = new Counts();
  private final EurekaAnswer.Memory memory = new EurekaAnswer.Memory();
  private Future<?> due;
  private EurekaCall call;
  private boolean closed;

  /** Who is told what a registry says. */
  public interface Listener {
    /**
     * Everything that it has; {@code deleted} are instances that it has and that are of no use any
     * more.
     */
    void whole(Collection<SourceReport> reports, Collection<String> deleted);

    /**
     * Some of what it has: instances with their state, and ids that it deleted. Nothing means: all
     * as before.
     */
    void changes(Collection<SourceReport> reports, Collection<String> deleted);

    /** It cannot be heard. */
    void lost(String reason);
  }

  /** What operators are told of a registry. */
  private static final class Counts {
    private long whole;
    private long deltas;
    private long mismatches;
    private long failures;
    private long bytes;
    private long readAnew;
    private String lastFailure = "";

    private Map<String, Object> asMap() {
      final Map<String, Object> map = new TreeMap<>();
      map.put("whole", whole);
      map.put("deltas", deltas);
      map.put("mismatches", mismatches);
      map.put("failures", failures);
      map.put("bytes", bytes);
      map.put("read_anew", readAnew);
      map.put("last_failure", lastFailure);
      return map;
    }
  }

  /** Does not ask before {@link #start}; {@code random} gives numbers drawn evenly from [0, 1). */
  public EurekaSource(
      final RegistrySettings settings,
      final EventLoop loop,
      final Clock clock,
      final DoubleSupplier random,
      final Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.listener = listener;
    this.poll =
        new RegistryPollSchedule(
            clock.nowUs(),
            settings.addresses().size(),
            settings.periodUs(),
            settings.mostBackOffUs(),
            settings.deltas() && settings.scope().isEmpty());
  }

  /** What it is asked by. */
  public RegistrySettings settings() {
    return settings;
  }

  /** Figures for operators. */
  public Map<String, Object> status() {
    final Map<String, Object> map = counts.asMap();
    map.put("instances", memory.count());
    map.put("unusable", mapping.unusable());
    map.put("address", settings.addresses().get(poll.next().address()).at().toString());
    return map;
  }

  /** Begins to ask. */
  public void start() {
    later();
  }

  /** Asks no more; an answer that is still coming counts for nothing. */
  public void close() {
    closed = true;
    if (due != null) {
      due.cancel(false);
    }
    if (call != null) {
      call.abandon();
    }
  }

  private void later() {
    if (!closed) {
      due =
          loop.schedule(
              this::ask, Math.max(0, poll.next().atUs() - clock.nowUs()), TimeUnit.MICROSECONDS);
    }
  }

  private void ask() {
    final RegistryPollSchedule.ScheduledPoll next = poll.next();
    final List<String> paths =
        next.scope() == Scope.DELTA
            ? List.of("/apps/delta")
            : settings.scope().isEmpty()
                ? List.of("/apps")
                : settings.scope().stream().map(scope -> "/" + scope).toList();
    new Round(next, paths).call();
  }

  /** One question, for which several calls may be needed. */
  private final class Round implements EurekaCall.Listener {
    private final RegistryPollSchedule.ScheduledPoll next;
    private final List<String> paths;
    private final long endsUs = clock.nowUs() + settings.answerUs();
    private final List<SourceReport> reports = new ArrayList<>();
    private final Set<String> deleted = new LinkedHashSet<>();
    private EurekaAnswer answer;
    private int asked;
    private long bytesLeft = settings.mostBytes();

    Round(final RegistryPollSchedule.ScheduledPoll next, final List<String> paths) {
      this.next = next;
      this.paths = paths;
    }

    private void call() {
      try {
        // Of several answers that are one together, none is remembered: each would displace the one
        // before.
        answer =
            new EurekaAnswer(
                settings.metadata(),
                mapping,
                settings.scope().isEmpty() ? memory : new EurekaAnswer.Memory(),
                next.scope() == Scope.DELTA);
      } catch (final IOException e) {
        throw new IllegalStateException("a parser without input failed", e);
      }
      call =
          EurekaCall.begin(
              loop,
              HttpMethod.GET,
              settings.addresses().get(next.address()),
              paths.get(asked),
              null,
              Math.max(1, endsUs - clock.nowUs()),
              bytesLeft,
              this);
    }

    @Override
    public void body(final int status, final ByteBuf bytes) throws IOException {
      counts.bytes += bytes.readableBytes();
      bytesLeft -= bytes.readableBytes();
      if (status == OK) {
        answer.feed(bytes);
      }
    }

    @Override
    public void answered(final int status) throws IOException {
      call = null;
      if (status == OK) {
        answer.end();
        reports.addAll(answer.reports());
        deleted.addAll(answer.deleted());
      } else if (next.scope() == Scope.DELTA) {
        // It tells no changes, or not now; all can still be asked for.
        poll.onMismatch(clock.nowUs());
        later();
        return;
      } else if (status != NOT_FOUND || !paths.get(asked).startsWith("/apps/")) {
        failed("it answers " + status);
        return;
      }
      asked++;
      if (asked < paths.size()) {
        call();
      } else {
        complete();
      }
    }

    private void complete() {
      final boolean fits = !settings.scope().isEmpty() || answer.remember(memory);
      counts.readAnew += answer.readAnew();
      final boolean delta = next.scope() == Scope.DELTA;
      counts.mismatches += fits ? 0 : 1;
      counts.deltas += fits && delta ? 1 : 0;
      counts.whole += fits && !delta ? 1 : 0;
      if (fits && !delta) {
        listener.whole(reports, deleted);
      } else {
        // Where it does not fit, what it says of single instances counts all the same.
        listener.changes(reports, deleted);
      }
      if (delta && !fits) {
        poll.onMismatch(clock.nowUs());
      } else {
        poll.onSuccess(clock.nowUs(), random.getAsDouble());
      }
      later();
    }

    @Override
    public void failed(final String reason) {
      call = null;
      counts.failures++;
      counts.lastFailure = reason;
      if (poll.onFailure(clock.nowUs(), random.getAsDouble())) {
        listener.lost(reason);
      }
      later();
    }
  }
}

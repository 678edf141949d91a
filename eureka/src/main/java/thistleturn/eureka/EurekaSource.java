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
 * Polls one registry for its instances: all of them first, then deltas, and all of them again if
 * the registry's hash does not match the instances after a delta. When and at which address to poll
 * is decided by {@link RegistryPollSchedule}, and what the instances mean for the pool by {@link
 * thistleturn.decisions.membership.Membership}. Runs on the event loop.
 */
public final class EurekaSource {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;

  private final RegistrySettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final DoubleSupplier random;
  private final Listener listener;
  private final EurekaMapping mapping = new EurekaMapping();
  private final RegistryPollSchedule schedule;
  private final Counts counts = new Counts();
  private final EurekaAnswer.Memory memory = new EurekaAnswer.Memory();
  private Future<?> scheduledPoll;
  private EurekaCall callInFlight;
  private boolean closed;

  /** Receives the instances of the registry. */
  public interface Listener {
    /** All usable instances of the registry, and the keys of its unusable ones. */
    void onSnapshot(Collection<SourceReport> reports, Collection<String> deleted);

    /**
     * The instances that changed, and the keys of those that were deleted or became unusable. Both
     * are empty if the registry confirmed that nothing changed.
     */
    void onChanges(Collection<SourceReport> reports, Collection<String> deleted);

    /** The registry is unreachable at all of its addresses. */
    void onUnreachable(String reason);
  }

  /** The counts that operators see. */
  private static final class Counts {
    private long snapshots;
    private long deltas;
    private long mismatches;
    private long failures;
    private long bytes;
    private long parsedInstances;
    private String lastFailure = "";

    private Map<String, Object> asMap() {
      final Map<String, Object> map = new TreeMap<>();
      map.put("whole", snapshots);
      map.put("deltas", deltas);
      map.put("mismatches", mismatches);
      map.put("failures", failures);
      map.put("bytes", bytes);
      map.put("read_anew", parsedInstances);
      map.put("last_failure", lastFailure);
      return map;
    }
  }

  /** Does not poll before {@link #start}; {@code random} returns uniform numbers in [0, 1). */
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
    this.schedule =
        new RegistryPollSchedule(
            clock.nowUs(),
            settings.addresses().size(),
            settings.pollIntervalUs(),
            settings.maxBackoffUs(),
            settings.deltas() && settings.scope().isEmpty());
  }

  /** The settings of the registry. */
  public RegistrySettings settings() {
    return settings;
  }

  /** The counts and the current address, for operators. */
  public Map<String, Object> status() {
    final Map<String, Object> map = counts.asMap();
    map.put("instances", memory.count());
    map.put("unusable", mapping.unusable());
    map.put(
        "address", settings.addresses().get(schedule.next().address()).socketAddress().toString());
    return map;
  }

  /** Starts to poll. */
  public void start() {
    scheduleNextPoll();
  }

  /** Stops polling; a response that is still being received is discarded. */
  public void close() {
    closed = true;
    if (scheduledPoll != null) {
      scheduledPoll.cancel(false);
    }
    if (callInFlight != null) {
      callInFlight.cancel();
    }
  }

  private void scheduleNextPoll() {
    if (!closed) {
      scheduledPoll =
          loop.schedule(
              this::poll,
              Math.max(0, schedule.next().atUs() - clock.nowUs()),
              TimeUnit.MICROSECONDS);
    }
  }

  private void poll() {
    final RegistryPollSchedule.ScheduledPoll next = schedule.next();
    new Poll(next, paths(next.scope())).requestNextPath();
  }

  private List<String> paths(final Scope scope) {
    if (scope == Scope.DELTA) {
      return List.of("/apps/delta");
    }
    if (settings.scope().isEmpty()) {
      return List.of("/apps");
    }
    return settings.scope().stream().map(path -> "/" + path).toList();
  }

  /** One poll, which takes one call for each path of the scope. */
  private final class Poll implements EurekaCall.Listener {
    private final RegistryPollSchedule.ScheduledPoll scheduled;
    private final boolean isDelta;
    private final List<String> paths;
    private final long deadlineUs = clock.nowUs() + settings.responseTimeoutUs();
    private final List<SourceReport> reports = new ArrayList<>();
    private final Set<String> deleted = new LinkedHashSet<>();
    private EurekaAnswer response;
    private int pathIndex;
    private long remainingBytes = settings.maxResponseBytes();

    Poll(final RegistryPollSchedule.ScheduledPoll scheduled, final List<String> paths) {
      this.scheduled = scheduled;
      this.isDelta = scheduled.scope() == Scope.DELTA;
      this.paths = paths;
    }

    private void requestNextPath() {
      try {
        // The responses to several paths make up one snapshot, and remembering one of them would
        // replace the instances of the one before, so each starts from an empty memory.
        response =
            new EurekaAnswer(
                settings.metadata(),
                mapping,
                settings.scope().isEmpty() ? memory : new EurekaAnswer.Memory(),
                isDelta);
      } catch (final IOException e) {
        throw new IllegalStateException("a parser without input failed", e);
      }
      final EurekaCall.Request request =
          new EurekaCall.Request(
              HttpMethod.GET,
              settings.addresses().get(scheduled.address()),
              paths.get(pathIndex),
              null,
              Math.max(1, deadlineUs - clock.nowUs()),
              remainingBytes);
      callInFlight = EurekaCall.start(loop, request, this);
    }

    @Override
    public void onBody(final int status, final ByteBuf piece) throws IOException {
      counts.bytes += piece.readableBytes();
      remainingBytes -= piece.readableBytes();
      if (status == STATUS_OK) {
        response.feed(piece);
      }
    }

    @Override
    public void onCompleted(final int status) throws IOException {
      callInFlight = null;
      if (status == STATUS_OK) {
        response.end();
        reports.addAll(response.reports());
        deleted.addAll(response.deleted());
      } else if (isDelta) {
        // A registry that does not serve deltas, now or ever, can still be polled in full.
        schedule.onMismatch(clock.nowUs());
        scheduleNextPoll();
        return;
      } else if (status != STATUS_NOT_FOUND || !paths.get(pathIndex).startsWith("/apps/")) {
        onFailed("unexpected status " + status);
        return;
      }
      pathIndex++;
      if (pathIndex < paths.size()) {
        requestNextPath();
      } else {
        complete();
      }
    }

    private void complete() {
      final boolean hashMatches = !settings.scope().isEmpty() || response.remember(memory);
      counts.parsedInstances += response.parsedInstances();
      counts.mismatches += hashMatches ? 0 : 1;
      counts.deltas += hashMatches && isDelta ? 1 : 0;
      counts.snapshots += hashMatches && !isDelta ? 1 : 0;
      if (hashMatches && !isDelta) {
        listener.onSnapshot(reports, deleted);
      } else {
        // Despite a mismatch, the reports of single instances are valid.
        listener.onChanges(reports, deleted);
      }
      if (isDelta && !hashMatches) {
        schedule.onMismatch(clock.nowUs());
      } else {
        schedule.onSuccess(clock.nowUs(), random.getAsDouble());
      }
      scheduleNextPoll();
    }

    @Override
    public void onFailed(final String reason) {
      callInFlight = null;
      counts.failures++;
      counts.lastFailure = reason;
      if (schedule.onFailure(clock.nowUs(), random.getAsDouble())) {
        listener.onUnreachable(reason);
      }
      scheduleNextPoll();
    }
  }
}

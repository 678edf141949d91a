package thistleturn.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.membership.Membership;
import thistleturn.decisions.membership.MergedEndpoint;
import thistleturn.decisions.membership.ReportedStatus;
import thistleturn.decisions.membership.SourceReport;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.eureka.EurekaSource;
import thistleturn.eureka.RegistrySettings;

/**
 * Merges the platform's endpoint list and any number of registries into one directory. It passes
 * the sources' reports to {@link Membership}, which decides, and passes its decisions to the
 * courier. Runs on the event loop.
 */
final class MergedDirectory implements EndpointDirectory {
  /** The name of the platform's own list among the sources. */
  static final String PLATFORM_SOURCE = "discovery";

  private static final long REACHABILITY_CHECK_MS = 1000;

  private final EndpointDirectory platformDirectory;
  private final EventLoop loop;
  private final Clock clock;
  private final Membership membership;
  private final Random random;
  private final Map<String, EurekaSource> registries = new LinkedHashMap<>();
  private Listener listener;
  private Future<?> scheduledMerge;
  private boolean platformUnreachable = true;

  /** The rank of the next registry that is added; the platform's list has rank 0. */
  private int nextRank = 1;

  MergedDirectory(
      final EndpointDirectory platformDirectory,
      final ExtensionContext context,
      final MembershipSettings settings) {
    this.platformDirectory = platformDirectory;
    this.loop = context.eventLoop();
    this.clock = context.clock();
    this.membership = new Membership(settings.merge());
    this.random = new Random(context.config().seed());
    membership.addSource(clock.nowUs(), PLATFORM_SOURCE, 0, true);
    setRegistries(settings.registries());
  }

  /** Replaces the registries that are polled; those whose settings are equal are kept. */
  void setRegistries(final List<RegistrySettings> wanted) {
    removeRegistriesExcept(wanted);
    for (final RegistrySettings registry : wanted) {
      if (!registries.containsKey(registry.name())) {
        addRegistry(registry);
      }
    }
    if (listener != null) {
      publishChanges();
    }
  }

  private void removeRegistriesExcept(final List<RegistrySettings> wanted) {
    final Map<String, RegistrySettings> wantedByName = new LinkedHashMap<>();
    wanted.forEach(registry -> wantedByName.put(registry.name(), registry));
    for (final EurekaSource source : List.copyOf(registries.values())) {
      final String name = source.settings().name();
      if (!source.settings().equals(wantedByName.get(name))) {
        source.close();
        registries.remove(name);
        if (!wantedByName.containsKey(name)) {
          Log.info("registry " + name + " is no longer polled");
          membership.removeSource(name);
        }
      }
    }
  }

  private void addRegistry(final RegistrySettings registry) {
    final String name = registry.name();
    // A registry whose settings changed is still a source, and keeps its rank.
    if (membership.sourceStatuses().stream().noneMatch(source -> source.name().equals(name))) {
      membership.addSource(clock.nowUs(), name, nextRank++, false);
    }
    final EurekaSource source =
        new EurekaSource(registry, loop, clock, random::nextDouble, new RegistryListener(name));
    registries.put(name, source);
    if (listener != null) {
      Log.info("registry " + name + " is polled from now on");
      source.start();
    }
  }

  @Override
  public void start(final Listener updateListener) {
    listener = updateListener;
    platformDirectory.start(this::onPlatformUpdate);
    registries.values().forEach(EurekaSource::start);
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard("registries", this::refreshPlatformReachability),
        REACHABILITY_CHECK_MS,
        REACHABILITY_CHECK_MS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void requestUpdates() {
    platformDirectory.requestUpdates();
  }

  @Override
  public boolean isCurrent() {
    // A registry may list what the platform does not: only if all sources are reachable is it
    // certain that an endpoint that none of them lists does not exist.
    return platformDirectory.isCurrent()
        && membership.sourceStatuses().stream().allMatch(source -> source.unreachableSinceUs() < 0);
  }

  @Override
  public void reload(final CourierConfig config) {
    platformDirectory.reload(config);
  }

  /** Refreshes the platform's reachability: its watch sends no events while nothing changes. */
  private void refreshPlatformReachability() {
    if (!platformUnreachable && platformDirectory.isCurrent()) {
      membership.markSourceReachable(clock.nowUs(), PLATFORM_SOURCE);
      publishChanges();
    }
  }

  private void onPlatformUpdate(final EndpointUpdate update, final List<Entry> entries) {
    applyPlatformUpdate(update, entries);
    final List<Entry> changed = merge();
    if (update == EndpointUpdate.UNAVAILABLE) {
      listener.onUpdate(EndpointUpdate.UNAVAILABLE, List.of());
      if (!changed.isEmpty()) {
        listener.onUpdate(EndpointUpdate.SUPPLEMENT, changed);
      }
    } else {
      // Whatever kind of update the platform sent, the merged directory reports its own changes.
      listener.onUpdate(EndpointUpdate.CHANGES, changed);
    }
  }

  private void applyPlatformUpdate(final EndpointUpdate update, final List<Entry> entries) {
    final long nowUs = clock.nowUs();
    final List<SourceReport> reports = new ArrayList<>();
    final List<String> deleted = new ArrayList<>();
    for (final Entry entry : entries) {
      if (entry.state() == EndpointState.GONE) {
        deleted.add(entry.name());
      } else {
        reports.add(report(entry));
      }
    }
    platformUnreachable =
        update == EndpointUpdate.UNAVAILABLE || update == EndpointUpdate.RESTORED_SNAPSHOT;
    switch (update) {
      case COMPLETE_SNAPSHOT -> membership.applySnapshot(nowUs, PLATFORM_SOURCE, reports);
      case RESTORED_SNAPSHOT -> membership.applyRestored(nowUs, PLATFORM_SOURCE, reports);
      case UNAVAILABLE -> membership.markSourceUnreachable(nowUs, PLATFORM_SOURCE);
      default -> membership.applyChanges(nowUs, PLATFORM_SOURCE, reports, deleted);
    }
  }

  private static SourceReport report(final Entry entry) {
    return new SourceReport(
        entry.name(),
        entry.address().getHostString() + ":" + entry.address().getPort(),
        entry.destination(),
        entry.zone(),
        entry.kind(),
        entry.weight(),
        entry.state() == EndpointState.LISTED ? ReportedStatus.UP : ReportedStatus.DRAIN,
        0);
  }

  /** Passes the reports of one registry to the merge. */
  private final class RegistryListener implements EurekaSource.Listener {
    private final String name;
    private boolean unreachable;

    RegistryListener(final String name) {
      this.name = name;
    }

    @Override
    public void onSnapshot(
        final Collection<SourceReport> reports, final Collection<String> deleted) {
      markReachable();
      if (!deleted.isEmpty()) {
        membership.applyChanges(clock.nowUs(), name, List.of(), deleted);
      }
      membership.applySnapshot(clock.nowUs(), name, reports);
      publishChanges();
    }

    @Override
    public void onChanges(
        final Collection<SourceReport> reports, final Collection<String> deleted) {
      markReachable();
      membership.applyChanges(clock.nowUs(), name, reports, deleted);
      publishChanges();
    }

    @Override
    public void onUnreachable(final String reason) {
      if (!unreachable) {
        unreachable = true;
        Log.info("registry " + name + " cannot be heard: " + reason);
      }
      membership.markSourceUnreachable(clock.nowUs(), name);
      publishChanges();
    }

    private void markReachable() {
      if (unreachable) {
        unreachable = false;
        Log.info("registry " + name + " is heard again");
      }
    }
  }

  /** Merges and reports what changed, outside an update of the platform's list. */
  private void publishChanges() {
    final List<Entry> changed = merge();
    if (!changed.isEmpty()) {
      listener.onUpdate(EndpointUpdate.SUPPLEMENT, changed);
    }
  }

  /** Returns the entries that changed, and schedules a merge for the next timed state change. */
  private List<Entry> merge() {
    final List<Entry> changed =
        membership.collectChanges(clock.nowUs()).stream().map(MergedDirectory::entry).toList();
    if (scheduledMerge != null) {
      scheduledMerge.cancel(false);
      scheduledMerge = null;
    }
    if (membership.nextChangeUs() != Long.MAX_VALUE) {
      scheduledMerge =
          loop.schedule(
              this::publishChanges,
              Math.max(1, membership.nextChangeUs() - clock.nowUs()),
              TimeUnit.MICROSECONDS);
    }
    return changed;
  }

  private static Entry entry(final MergedEndpoint endpoint) {
    final EndpointState state =
        switch (endpoint.state()) {
          case UP -> EndpointState.LISTED;
          case DRAINING -> EndpointState.DRAINING;
          case GONE -> EndpointState.GONE;
        };
    return new Entry(
        endpoint.name(),
        state,
        CourierConfig.parseAddress("address", endpoint.address()),
        endpoint.zone(),
        endpoint.ratePerSecond(),
        endpoint.kind(),
        endpoint.destination());
  }

  /** The sources and the merged endpoints, for operators. */
  ObjectNode status() {
    return new MembersPage(clock.nowUs()).write(membership, registries);
  }
}

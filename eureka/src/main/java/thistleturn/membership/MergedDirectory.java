package thistleturn.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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
import thistleturn.decisions.membership.SourceStatus;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.eureka.EurekaSource;
import thistleturn.eureka.RegistrySettings;

/**
 * The platform's list and any number of registries as one directory. It carries reports to {@link
 * Membership} and what that decides to the courier; it decides nothing itself. Runs on the event
 * loop.
 */
final class MergedDirectory implements EndpointDirectory {
  /** The platform's own list among the sources. */
  static final String OWN = "discovery";

  static final ObjectMapper JSON = new ObjectMapper();
  private static final long HEARD_MS = 1000;
  private static final long US_PER_MS = 1000;

  private final EndpointDirectory own;
  private final EventLoop loop;
  private final Clock clock;
  private final Membership membership;
  private final Random random;
  private final Map<String, EurekaSource> registries = new LinkedHashMap<>();
  private Listener listener;
  private Future<?> due;
  private boolean ownLost = true;
  private int nextRank = 1;

  MergedDirectory(
      final EndpointDirectory own,
      final ExtensionContext surroundings,
      final MembershipSettings settings) {
    this.own = own;
    this.loop = surroundings.eventLoop();
    this.clock = surroundings.clock();
    this.membership = new Membership(settings.rules());
    this.random = new Random(surroundings.config().seed());
    membership.addSource(clock.nowUs(), OWN, 0, true);
    registries(settings.registries());
  }

  /** From now on these registries are asked, and no others. */
  void registries(final List<RegistrySettings> wanted) {
    final Map<String, RegistrySettings> byName = new LinkedHashMap<>();
    wanted.forEach(registry -> byName.put(registry.name(), registry));
    for (final EurekaSource source : List.copyOf(registries.values())) {
      final String name = source.settings().name();
      if (!source.settings().equals(byName.get(name))) {
        source.close();
        registries.remove(name);
        if (!byName.containsKey(name)) {
          Log.info("registry " + name + " is asked no more");
          membership.removeSource(name);
        }
      }
    }
    for (final RegistrySettings registry : wanted) {
      if (!registries.containsKey(registry.name())) {
        if (membership.sourceStatuses().stream()
            .noneMatch(source -> source.name().equals(registry.name()))) {
          membership.addSource(clock.nowUs(), registry.name(), nextRank++, false);
        }
        final EurekaSource source =
            new EurekaSource(
                registry, loop, clock, random::nextDouble, new Registry(registry.name()));
        registries.put(registry.name(), source);
        if (listener != null) {
          Log.info("registry " + registry.name() + " is asked from now on");
          source.start();
        }
      }
    }
    if (listener != null) {
      tellAside();
    }
  }

  @Override
  public void start(final Listener told) {
    listener = told;
    own.start(this::ownTold);
    registries.values().forEach(EurekaSource::start);
    loop.scheduleWithFixedDelay(
        GuardedTasks.guard("registries", this::hear), HEARD_MS, HEARD_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void requestUpdates() {
    own.requestUpdates();
  }

  @Override
  public boolean isCurrent() {
    // A registry may have what the list lacks: what no source names does not exist only if all are
    // heard.
    return own.isCurrent()
        && membership.sourceStatuses().stream().allMatch(source -> source.unreachableSinceUs() < 0);
  }

  @Override
  public void reload(final CourierConfig fresh) {
    own.reload(fresh);
  }

  /** The watch tells nothing while nothing changes, but it is heard all the same. */
  private void hear() {
    if (!ownLost && own.isCurrent()) {
      membership.markSourceReachable(clock.nowUs(), OWN);
      tellAside();
    }
  }

  // ---------------------------------------------------------------- the platform's own list

  private void ownTold(final EndpointUpdate update, final List<Entry> listings) {
    final long nowUs = clock.nowUs();
    final List<SourceReport> reports = new ArrayList<>();
    final List<String> deleted = new ArrayList<>();
    for (final Entry listing : listings) {
      if (listing.state() == EndpointState.GONE) {
        deleted.add(listing.name());
      } else {
        reports.add(report(listing));
      }
    }
    ownLost = update == EndpointUpdate.UNAVAILABLE || update == EndpointUpdate.RESTORED_SNAPSHOT;
    switch (update) {
      case COMPLETE_SNAPSHOT -> membership.applySnapshot(nowUs, OWN, reports);
      case RESTORED_SNAPSHOT -> membership.applyRestored(nowUs, OWN, reports);
      case UNAVAILABLE -> membership.markSourceUnreachable(nowUs, OWN);
      default -> membership.applyChanges(nowUs, OWN, reports, deleted);
    }
    final List<Entry> changed = decide();
    if (update == EndpointUpdate.UNAVAILABLE) {
      listener.onUpdate(EndpointUpdate.UNAVAILABLE, List.of());
      if (!changed.isEmpty()) {
        listener.onUpdate(EndpointUpdate.SUPPLEMENT, changed);
      }
    } else {
      // The merged view tells what changed in it, whatever the list told: all, or the last known,
      // or changes.
      listener.onUpdate(EndpointUpdate.CHANGES, changed);
    }
  }

  private static SourceReport report(final Entry listing) {
    return new SourceReport(
        listing.name(),
        listing.address().getHostString() + ":" + listing.address().getPort(),
        listing.destination(),
        listing.zone(),
        listing.kind(),
        listing.weight(),
        listing.state() == EndpointState.LISTED ? ReportedStatus.UP : ReportedStatus.DRAIN,
        0);
  }

  // ---------------------------------------------------------------- registries

  private final class Registry implements EurekaSource.Listener {
    private final String name;
    private boolean lost;

    Registry(final String name) {
      this.name = name;
    }

    private void heard() {
      if (lost) {
        lost = false;
        Log.info("registry " + name + " is heard again");
      }
    }

    @Override
    public void whole(final Collection<SourceReport> reports, final Collection<String> deleted) {
      heard();
      if (!deleted.isEmpty()) {
        membership.applyChanges(clock.nowUs(), name, List.of(), deleted);
      }
      membership.applySnapshot(clock.nowUs(), name, reports);
      tellAside();
    }

    @Override
    public void changes(final Collection<SourceReport> reports, final Collection<String> deleted) {
      heard();
      membership.applyChanges(clock.nowUs(), name, reports, deleted);
      tellAside();
    }

    @Override
    public void lost(final String reason) {
      if (!lost) {
        lost = true;
        Log.info("registry " + name + " cannot be heard: " + reason);
      }
      membership.markSourceUnreachable(clock.nowUs(), name);
      tellAside();
    }
  }

  // ---------------------------------------------------------------- what was decided

  private void tellAside() {
    final List<Entry> changed = decide();
    if (!changed.isEmpty()) {
      listener.onUpdate(EndpointUpdate.SUPPLEMENT, changed);
    }
  }

  private List<Entry> decide() {
    final List<Entry> changed =
        membership.collectChanges(clock.nowUs()).stream().map(MergedDirectory::listing).toList();
    if (due != null) {
      due.cancel(false);
      due = null;
    }
    if (membership.nextChangeUs() != Long.MAX_VALUE) {
      due =
          loop.schedule(
              this::tellAside,
              Math.max(1, membership.nextChangeUs() - clock.nowUs()),
              TimeUnit.MICROSECONDS);
    }
    return changed;
  }

  private static Entry listing(final MergedEndpoint member) {
    final EndpointState condition =
        switch (member.state()) {
          case UP -> EndpointState.LISTED;
          case DRAINING -> EndpointState.DRAINING;
          case GONE -> EndpointState.GONE;
        };
    return new Entry(
        member.name(),
        condition,
        CourierConfig.parseAddress("address", member.address()),
        member.zone(),
        member.ratePerSecond(),
        member.kind(),
        member.destination());
  }

  // ---------------------------------------------------------------- what operators see

  /** All members and sources, as JSON; ages in milliseconds, -1 for never. */
  JsonNode status() {
    final long nowUs = clock.nowUs();
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    final Map<String, SourceStatus> byName = new LinkedHashMap<>();
    final ArrayNode sources = root.putArray("sources");
    for (final SourceStatus source : membership.sourceStatuses()) {
      byName.put(source.name(), source);
      final ObjectNode node =
          sources
              .addObject()
              .put("name", source.name())
              .put("rank", source.rank())
              .put(
                  "state",
                  source.unreachableSinceUs() >= 0
                      ? "lost"
                      : source.implausibleSinceUs() >= 0 ? "doubted" : "heard")
              .put("heard_ms_ago", ageMs(nowUs, source.lastResponseUs()))
              .put("entries", source.entries())
              .put("doubted", source.missingEntries())
              .put("dropped", source.droppedEntries())
              .put("implausible", source.implausibleSnapshots());
      final EurekaSource registry = registries.get(source.name());
      if (registry != null) {
        node.set("registry", JSON.valueToTree(registry.status()));
      }
    }
    final ArrayNode members = root.putArray("members");
    for (final MergedEndpoint member : membership.endpoints()) {
      final SourceStatus by = byName.get(member.decidedBy());
      members
          .addObject()
          .put("destination", member.destination())
          .put("address", member.address())
          .put("zone", member.zone())
          .put("kind", member.kind())
          .put("rate", member.ratePerSecond())
          .put("state", member.state().name().toLowerCase(Locale.ROOT))
          .put("because", member.reason().name().toLowerCase(Locale.ROOT))
          .put("by", member.decidedBy())
          .put("since_ms_ago", ageMs(nowUs, member.stateSinceUs()))
          .put("heard_ms_ago", by == null ? -1 : ageMs(nowUs, by.lastResponseUs()));
    }
    return root;
  }

  private static long ageMs(final long nowUs, final long us) {
    return us == 0 ? -1 : (nowUs - us) / US_PER_MS;
  }
}

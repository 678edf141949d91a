package thistleturn.replicas;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.MergedValue;
import thistleturn.decisions.replicas.ReplicationActions;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.ReplicationProtocol;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.peers.PeersExtension;
import thistleturn.peers.PiggybackChannel;

/**
 * The replicated state of a fleet as a subsystem of a courier. It shares what this courier learns
 * (disabled endpoints, waits, outages, rate limits) with the other couriers, and applies the merged
 * values of all couriers to the local overload controllers as directives. It runs on the courier's
 * first event loop, sends its messages through {@code peers}, and is not involved in the delivery
 * of any message.
 */
public final class ReplicasExtension
    implements PiggybackChannel, StateObserver, ReplicationActions {
  private static final double US_PER_S = 1_000_000;

  /** Ticks between two updates of the addresses of reachable peers. */
  private static final int PEER_REFRESH_TICKS = 4;

  /** Maximum number of entries on the status page. */
  private static final int MAX_ENTRIES_SHOWN = 5000;

  /** Precedes the name of the writing courier in the source of a directive. */
  private static final String SOURCE_PREFIX = "fleet: ";

  /** Identifies a merged value: the type of its entries and what they are about. */
  private record Subject(EntryType type, String name) {}

  private final ReplicasSettings settings;
  private final PeersExtension peers;
  private final ReplicaCodec codec = new ReplicaCodec();
  private final Set<Subject> changedSubjects = new LinkedHashSet<>();

  /**
   * Subjects of all types but MAINTENANCE that have a merged value. They are applied again whenever
   * the endpoint list was received, since it may name a destination for the first time.
   */
  private final Set<Subject> directedSubjects = new LinkedHashSet<>();

  private final Set<String> conflicts = new LinkedHashSet<>();
  private ExtensionContext context;
  private ReplicaStorage storage;
  private ReplicationProtocol replicas;
  private boolean applyScheduled;
  private boolean stopped;
  private boolean saveDue;
  private long malformedCount;
  private int ticks;

  /** Creates the subsystem, which exchanges its messages through these peers. */
  public ReplicasExtension(final ReplicasSettings settings, final PeersExtension peers) {
    this.settings = settings;
    this.peers = peers;
    peers.attach(this);
  }

  /** Sets the courier that this subsystem belongs to; must be called before the peers start. */
  public void setContext(final ExtensionContext newContext) {
    context = newContext;
    storage = new ReplicaStorage(newContext.config().stateFolder(), newContext.clock());
  }

  @Override
  public void onStarted() {
    final SnapshotFile.StoredSnapshot loaded;
    try {
      loaded = storage.load();
    } catch (final IOException e) {
      Log.info("replicas: off: the state folder cannot be written: " + e.getMessage());
      return;
    }
    final String name = context.config().name();
    replicas =
        new ReplicationProtocol(
            settings.replicationSettings(),
            new WriterId(name, loaded.epoch()),
            name.hashCode() * 31L + loaded.epoch(),
            nowUs(),
            this);
    replicas.restore(loaded.deltas(), loaded.lastInSyncUs(), nowUs());
    Log.info("replicas: " + replicas.self() + " starts with " + replicas.entryCount() + " entries");
    context.directives().observe(this);
    for (final String endpoint : context.directives().disabledEndpoints()) {
      if (settings.sharesDisabledEndpoints()
          && replicas.entries(EntryType.MAINTENANCE, endpoint).isEmpty()) {
        replicas.setEndpointDisabled(endpoint, true, operator(), nowUs());
      }
    }
    tick();
  }

  private long nowUs() {
    return context.clock().nowUs();
  }

  private String operator() {
    return "operator at " + context.config().name();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    context
        .eventLoop()
        .schedule(
            this::tick, settings.replicationSettings().tickIntervalUs(), TimeUnit.MICROSECONDS);
    if (ticks++ % PEER_REFRESH_TICKS == 0) {
      replicas.setReachablePeers(peers.alivePeerAddresses().values());
    }
    replicas.tick(nowUs());
    if (saveDue) {
      saveDisabledEndpoints();
    }
    storage.tick(replicas);
  }

  private void saveDisabledEndpoints() {
    try {
      storage.saveDisabledEndpoints(replicas);
      saveDue = false;
    } catch (final IOException e) {
      Log.info("replicas: words by hand are not put down: " + e.getMessage());
    }
  }

  /** Stops writing, exchanging and applying entries, as the process is about to end. */
  public void stop() {
    stopped = true;
  }

  // ---------------------------------------------------------------- messages

  @Override
  public void onReceived(final String from, final byte[] payload) {
    if (replicas == null || stopped) {
      return;
    }
    try {
      final ReplicationMessage message = codec.read(payload, nowUs());
      if (message != null) {
        replicas.onMessage(from, message, nowUs());
      }
    } catch (final IOException | IllegalArgumentException e) {
      malformedCount++;
    }
  }

  @Override
  public void send(final String to, final ReplicationMessage message) {
    peers.send(to, codec.write(message, nowUs()));
  }

  @Override
  public void sendOverConnection(final String to, final ReplicationMessage message) {
    peers.sendOverConnection(to, codec.write(message, nowUs()));
  }

  @Override
  public void onEvent(final String message) {
    Log.info("replicas: " + message);
  }

  // ---------------------------------------------------------------- local observations

  @Override
  public void onEndpointsListed() {
    directedSubjects.forEach(this::markChanged);
  }

  @Override
  public void onRetryAfter(final long destination, final long untilUs) {
    if (settings.sharesRetryAfter() && !stopped) {
      replicas.recordWait(Long.toString(destination), untilUs, nowUs());
    }
  }

  @Override
  public void onRateLimit(final long destination, final double perSecond) {
    if (settings.sharesRateLimits() && !stopped) {
      replicas.recordRateLimit(Long.toString(destination), perSecond, nowUs());
    }
  }

  @Override
  public void onOutageChanged(final long destination, final boolean isOut) {
    if (settings.sharesOutages() && !stopped) {
      replicas.recordOutage(Long.toString(destination), isOut, nowUs());
    }
  }

  @Override
  public void onEndpointDisabled(final String endpoint, final boolean disabled) throws IOException {
    if (settings.sharesDisabledEndpoints() && !stopped) {
      replicas.setEndpointDisabled(endpoint, disabled, operator(), nowUs());
      storage.saveDisabledEndpoints(replicas);
    }
  }

  // ---------------------------------------------------------------- applying merged values

  @Override
  public void onSubjectChanged(final EntryType type, final String subject) {
    markChanged(new Subject(type, subject));
  }

  private void markChanged(final Subject subject) {
    changedSubjects.add(subject);
    if (!applyScheduled) {
      applyScheduled = true;
      context.eventLoop().execute(this::apply);
    }
  }

  /** Applies the merged values that changed, once for all changes in one iteration of the loop. */
  private void apply() {
    applyScheduled = false;
    final List<Subject> due = List.copyOf(changedSubjects);
    changedSubjects.clear();
    for (final Subject subject : due) {
      final MergedValue merged = replicas.mergedValue(subject.type, subject.name);
      if (merged.isPresent() && subject.type != EntryType.MAINTENANCE) {
        directedSubjects.add(subject);
      } else {
        directedSubjects.remove(subject);
      }
      apply(merged);
    }
  }

  private void apply(final MergedValue merged) {
    switch (merged.type()) {
      case MAINTENANCE -> applyMaintenance(merged);
      case WAIT -> issueDirective(settings.sharesRetryAfter(), merged, Directive.Kind.WAIT, 0);
      case OUTAGE ->
          issueDirective(
              settings.sharesOutages(),
              merged,
              merged.state().equals("out") ? Directive.Kind.OUTAGE : Directive.Kind.RETURN,
              (double) Math.max(0, merged.sinceUs()));
      case LIMIT ->
          issueDirective(settings.sharesRateLimits(), merged, Directive.Kind.LIMIT, merged.value());
      // These are only shown to operators.
      case LEARNT, LIST -> {}
    }
  }

  /** Applies a directive, unless its value includes what this courier wrote itself. */
  private void issueDirective(
      final boolean shared,
      final MergedValue merged,
      final Directive.Kind kind,
      final double value) {
    if (shared && merged.isPresent() && !merged.writers().contains(replicas.self())) {
      context
          .directives()
          .applyDirective(
              Long.parseLong(merged.subject()),
              new Directive(
                  kind, value, SOURCE_PREFIX + merged.writers().get(0).name(), merged.untilUs()));
    }
  }

  private void applyMaintenance(final MergedValue merged) {
    saveDue = true;
    if (!settings.sharesDisabledEndpoints() || !merged.isPresent()) {
      return;
    }
    final boolean disabled = merged.state().equals("left out");
    if (disabled != context.directives().disabledEndpoints().contains(merged.subject())) {
      Log.info(
          "replicas: "
              + merged.subject()
              + (disabled ? " is left out" : " may serve again")
              + ", as decided at "
              + merged.writers().get(0).name());
      context.directives().setDisabled(merged.subject(), disabled);
    }
    if (!merged.conflict()) {
      conflicts.remove(merged.subject());
    } else if (conflicts.add(merged.subject())) {
      Log.info(
          "replicas: "
              + merged.subject()
              + " was left out by "
              + merged.writers().get(0).name()
              + " and let serve elsewhere, neither knowing of the other: it stays left out; say again what is meant");
    }
  }

  // ---------------------------------------------------------------- operators

  /**
   * Returns the stored entries, their writers and ages, and the merged values, as JSON for
   * operators. Must be called on the event loop.
   */
  public JsonNode status() {
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    if (replicas == null) {
      return root.put("writer", "waits");
    }
    final long nowUs = nowUs();
    root.put("writer", replicas.self().toString())
        .put("entries", replicas.entryCount())
        .put("sum", Long.toHexString(replicas.checksum()))
        .put("caught_up", replicas.isCaughtUp())
        .put(
            "together_s",
            replicas.lastSyncedUs() == 0 ? -1 : (nowUs - replicas.lastSyncedUs()) / US_PER_S)
        .put("turned_down", replicas.rejectedInputs())
        .put("malformed", malformedCount)
        .put("sent_bytes", replicas.sentBytes());
    final ObjectNode known = root.putObject("known");
    for (final Map.Entry<WriterId, Long> entry : replicas.knownVersions().entrySet()) {
      known.put(entry.getKey().toString(), entry.getValue());
    }
    final ArrayNode subjects = root.putArray("subjects");
    int shown = 0;
    for (final EntryType type : EntryType.values()) {
      for (final String name : replicas.subjects(type)) {
        if (shown > MAX_ENTRIES_SHOWN) {
          root.put("cut_off", true);
          return root;
        }
        shown += writeSubject(subjects.addObject(), type, name, nowUs);
      }
    }
    return root;
  }

  /** Writes the merged value and the entries on a subject. Returns how many entries there are. */
  private int writeSubject(
      final ObjectNode to, final EntryType type, final String name, final long nowUs) {
    final MergedValue merged = replicas.mergedValue(type, name);
    to.put("kind", type.name().toLowerCase(Locale.ROOT))
        .put("subject", name)
        .put("state", merged.state())
        .put("value", merged.value())
        .put("for_s", (nowUs - merged.sinceUs()) / US_PER_S)
        .put("conflict", merged.conflict())
        .put("rule", merged.reason());
    if (merged.untilUs() != Long.MAX_VALUE) {
      to.put("left_s", (merged.untilUs() - nowUs) / US_PER_S);
    }
    final ArrayNode by = to.putArray("by");
    merged.writers().forEach(writer -> by.add(writer.toString()));
    final ArrayNode entries = to.putArray("words");
    for (final Entry entry : replicas.entries(type, name)) {
      final ObjectNode node =
          entries
              .addObject()
              .put("writer", entry.writer().toString())
              .put("version", entry.version())
              .put("age_s", (nowUs - entry.createdUs()) / US_PER_S);
      final ArrayNode fields = node.putArray("fields");
      entry.fields().forEach(field -> fields.addPOJO(field));
    }
    return entries.size();
  }
}

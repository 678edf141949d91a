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
 * Replicas as a subsystem of a courier: it tells the others what this courier is told and finds
 * out, and says to its decisions what counts of what others tell. It lives on the courier's first
 * event loop, travels with {@code peers}, and is on no message's path.
 */
public final class ReplicasExtension
    implements PiggybackChannel, StateObserver, ReplicationActions {
  private static final double US_PER_S = 1_000_000;

  /** Ticks after which it is looked who the others are. */
  private static final int PEER_REFRESH_TICKS = 4;

  /** Words that operators are shown at most. */
  private static final int MAX_ENTRIES_SHOWN = 5000;

  /** How a word of the fleet's is signed. */
  private static final String SOURCE_PREFIX = "fleet: ";

  /** A subject on which something is to be read anew, or stands. */
  private record Subject(EntryType kind, String name) {}

  private final ReplicasSettings settings;
  private final PeersExtension peers;
  private final ReplicaCodec codec = new ReplicaCodec();
  private final Set<Subject> changedSubjects = new LinkedHashSet<>();

  /** What was said to the decisions, and is said again whenever the list names something new. */
  private final Set<Subject> directedSubjects = new LinkedHashSet<>();

  private final Set<String> conflicts = new LinkedHashSet<>();
  private ExtensionContext surroundings;
  private ReplicaStorage storage;
  private ReplicationProtocol replicas;
  private boolean applyScheduled;
  private boolean stopped;
  private boolean saveDue;
  private long malformedCount;
  private int ticks;

  /** One that travels with these peers. */
  public ReplicasExtension(final ReplicasSettings settings, final PeersExtension peers) {
    this.settings = settings;
    this.peers = peers;
    peers.attach(this);
  }

  /** What the courier is; to be told before the peers begin. */
  public void setSurroundings(final ExtensionContext given) {
    surroundings = given;
    storage = new ReplicaStorage(given.config().stateFolder(), given.clock());
  }

  @Override
  public void onStarted() {
    final SnapshotFile.StoredSnapshot found;
    try {
      found = storage.load();
    } catch (final IOException e) {
      Log.info("replicas: off: the folder cannot be written: " + e.getMessage());
      return;
    }
    final String name = surroundings.config().name();
    replicas =
        new ReplicationProtocol(
            settings.exchangeSettings(),
            new WriterId(name, found.epoch()),
            name.hashCode() * 31L + found.epoch(),
            nowUs(),
            this);
    replicas.restore(found.deltas(), found.lastInSyncUs(), nowUs());
    Log.info("replicas: " + replicas.self() + " begins with " + replicas.entryCount() + " entries");
    surroundings.directives().observe(this);
    for (final String endpoint : surroundings.directives().disabledEndpoints()) {
      if (settings.sharesDisabledEndpoints()
          && replicas.entries(EntryType.MAINTENANCE, endpoint).isEmpty()) {
        replicas.setEndpointDisabled(endpoint, true, operator(), nowUs());
      }
    }
    tick();
  }

  private long nowUs() {
    return surroundings.clock().nowUs();
  }

  private String operator() {
    return "operator at " + surroundings.config().name();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    surroundings
        .eventLoop()
        .schedule(this::tick, settings.exchangeSettings().tickIntervalUs(), TimeUnit.MICROSECONDS);
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

  /** The process ends soon. */
  public void leave() {
    stopped = true;
  }

  // ---------------------------------------------------------------- the wire

  @Override
  public void onReceived(final String from, final byte[] text) {
    if (replicas == null || stopped) {
      return;
    }
    try {
      final ReplicationMessage message = codec.read(text, nowUs());
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
  public void onEvent(final String text) {
    Log.info("replicas: " + text);
  }

  // ---------------------------------------------------------------- what this courier is told and
  // finds out

  @Override
  public void onEndpointsListed() {
    directedSubjects.forEach(this::changed);
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
  public void onEndpointDisabled(final String endpoint, final boolean leaveOut) throws IOException {
    if (settings.sharesDisabledEndpoints() && !stopped) {
      replicas.setEndpointDisabled(endpoint, leaveOut, operator(), nowUs());
      storage.saveDisabledEndpoints(replicas);
    }
  }

  // ---------------------------------------------------------------- what counts

  @Override
  public void onSubjectChanged(final EntryType kind, final String subject) {
    changed(new Subject(kind, subject));
  }

  private void changed(final Subject subject) {
    changedSubjects.add(subject);
    if (!applyScheduled) {
      applyScheduled = true;
      surroundings.eventLoop().execute(this::apply);
    }
  }

  /** Says to the decisions what counts now, once for all that a turn of the loop has brought. */
  private void apply() {
    applyScheduled = false;
    final List<Subject> due = List.copyOf(changedSubjects);
    changedSubjects.clear();
    for (final Subject subject : due) {
      final MergedValue verdict = replicas.mergedValue(subject.kind, subject.name);
      if (verdict.isPresent() && subject.kind != EntryType.MAINTENANCE) {
        directedSubjects.add(subject);
      } else {
        directedSubjects.remove(subject);
      }
      apply(verdict);
    }
  }

  private void apply(final MergedValue verdict) {
    switch (verdict.type()) {
      case MAINTENANCE -> applyMaintenance(verdict);
      case WAIT -> issueDirective(settings.sharesRetryAfter(), verdict, Directive.Kind.WAIT, 0);
      case OUTAGE ->
          issueDirective(
              settings.sharesOutages(),
              verdict,
              verdict.state().equals("out") ? Directive.Kind.OUTAGE : Directive.Kind.RETURN,
              (double) Math.max(0, verdict.sinceUs()));
      case LIMIT ->
          issueDirective(
              settings.sharesRateLimits(), verdict, Directive.Kind.LIMIT, verdict.value());
      // Of these nothing is said: they are there to be looked at.
      case LEARNT, LIST -> {}
    }
  }

  /** What this courier said itself its decisions know already. */
  private void issueDirective(
      final boolean wanted,
      final MergedValue verdict,
      final Directive.Kind kind,
      final double value) {
    if (wanted && verdict.isPresent() && !verdict.writers().contains(replicas.self())) {
      surroundings
          .directives()
          .applyDirective(
              Long.parseLong(verdict.subject()),
              new Directive(
                  kind, value, SOURCE_PREFIX + verdict.writers().get(0).name(), verdict.untilUs()));
    }
  }

  private void applyMaintenance(final MergedValue verdict) {
    saveDue = true;
    if (!settings.sharesDisabledEndpoints() || !verdict.isPresent()) {
      return;
    }
    final boolean out = verdict.state().equals("left out");
    if (out != surroundings.directives().disabledEndpoints().contains(verdict.subject())) {
      Log.info(
          "replicas: "
              + verdict.subject()
              + (out ? " is left out" : " may serve again")
              + " by the word of "
              + verdict.writers().get(0).name());
      surroundings.directives().setDisabled(verdict.subject(), out);
    }
    if (!verdict.conflict()) {
      conflicts.remove(verdict.subject());
    } else if (conflicts.add(verdict.subject())) {
      Log.info(
          "replicas: "
              + verdict.subject()
              + " was left out by "
              + verdict.writers().get(0).name()
              + " and let serve elsewhere, neither knowing of the other: it stays left out; say again what is meant");
    }
  }

  // ---------------------------------------------------------------- operators

  /** What is held, from whom, how old, and what counts of it. Called on the event loop. */
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
    for (final Map.Entry<WriterId, Long> one : replicas.knownVersions().entrySet()) {
      known.put(one.getKey().toString(), one.getValue());
    }
    final ArrayNode subjects = root.putArray("subjects");
    int shown = 0;
    for (final EntryType kind : EntryType.values()) {
      for (final String name : replicas.subjects(kind)) {
        if (shown > MAX_ENTRIES_SHOWN) {
          root.put("cut_off", true);
          return root;
        }
        shown += subject(subjects.addObject(), kind, name, nowUs);
      }
    }
    return root;
  }

  private int subject(
      final ObjectNode to, final EntryType kind, final String name, final long nowUs) {
    final MergedValue verdict = replicas.mergedValue(kind, name);
    to.put("kind", kind.name().toLowerCase(Locale.ROOT))
        .put("subject", name)
        .put("state", verdict.state())
        .put("value", verdict.value())
        .put("for_s", (nowUs - verdict.sinceUs()) / US_PER_S)
        .put("conflict", verdict.conflict())
        .put("rule", verdict.reason());
    if (verdict.untilUs() != Long.MAX_VALUE) {
      to.put("left_s", (verdict.untilUs() - nowUs) / US_PER_S);
    }
    final ArrayNode by = to.putArray("by");
    verdict.writers().forEach(writer -> by.add(writer.toString()));
    final ArrayNode words = to.putArray("words");
    for (final Entry word : replicas.entries(kind, name)) {
      final ObjectNode one =
          words
              .addObject()
              .put("writer", word.writer().toString())
              .put("version", word.version())
              .put("age_s", (nowUs - word.createdUs()) / US_PER_S);
      final ArrayNode fields = one.putArray("fields");
      word.fields().forEach(field -> fields.addPOJO(field));
    }
    return words.size();
  }
}

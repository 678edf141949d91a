package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One courier's part in holding the fleet's state. It is told of the others, of what they say, of
 * words of its own, and of time by ticks; it says what to send and on which subjects something
 * changed. Times are microseconds on a clock that goes on while the process stands still.
 *
 * <p>News go to everybody at once (in large fleets to some, who pass them on); what is lost of them
 * is made up for by comparing sums with one other now and then, and by asking for what is lacking,
 * writer by writer, in bounded pieces.
 */
public final class ReplicationProtocol {
  /** Bytes of a datagram's text at most. */
  public static final int MAX_DATAGRAM_BYTES = 900;

  /** Bytes of a piece at most. */
  public static final int MAX_BATCH_BYTES = 32_000;

  private static final long SECOND_US = 1_000_000;

  /**
   * News of one's own go out so often to each, a tick apart; those of others are passed on to so
   * many, once.
   */
  private static final int DIRECT_ROUNDS = 2;

  private static final int FORWARD_FANOUT = 2;
  private static final int GOSSIP_FANOUT = 4;
  private static final int GOSSIP_ROUNDS = 3;

  /** Those who are asked at the same time for what is lacking. */
  private static final int MAX_PARALLEL_REQUESTS = 3;

  private static final int MEMBERS_PER_CHECKSUM_INTERVAL = 10;

  /** Writers in a page at most, so that it is one datagram. */
  private static final int WRITERS_PER_DIGEST = 12;

  /** A question is not asked again sooner, us, unless a piece has come. */
  private static final long REQUEST_INTERVAL_US = 200_000;

  private static final long COMPACTION_INTERVAL_US = 60 * SECOND_US;

  /** Fresh entries of a kind at most; what is beyond that is found by comparing. */
  private static final int MAX_PENDING_PER_TYPE = 2048;

  private final ReplicationSettings settings;
  private final SplittableRandom random;
  private final ReplicationActions actions;
  private final EntryStore store;

  /**
   * What is still to go out, by the number of its kind: a word by hand never waits behind what is
   * merely good to know.
   */
  private final Map<Integer, Map<Entry, PendingBroadcast>> pendingBroadcasts = new TreeMap<>();

  private List<String> reachablePeers = List.of();
  private WriterId self;
  private long version;
  private double messageAllowance;
  private double batchAllowance;
  private long allowanceUpdatedUs;
  private long nextChecksumUs;
  private long nextCompactionUs;
  private long lastRequestUs = Long.MIN_VALUE / 2;

  /** When it last compared itself with another; 0: never. */
  private long lastSyncedUs;

  private boolean caughtUp;
  private long sentBytes;
  private long malformedInputs;

  /** How often a fresh entry still goes out, and to how many; below 0: to all others. */
  private static final class PendingBroadcast {
    private int remainingRounds;
    private final int fanout;

    private PendingBroadcast(final int times, final int targets) {
      this.remainingRounds = times;
      this.fanout = targets;
    }
  }

  /**
   * Begins.
   *
   * @param self whose words are written here: a life of this courier, no other store of which wrote
   *     anything
   * @param seed of all chance here
   */
  public ReplicationProtocol(
      final ReplicationSettings rules,
      final WriterId self,
      final long seed,
      final long nowUs,
      final ReplicationActions out) {
    this.settings = rules;
    this.self = self;
    this.random = new SplittableRandom(seed);
    this.actions = out;
    this.store = new EntryStore(rules);
    this.allowanceUpdatedUs = nowUs;
    this.nextChecksumUs = nowUs;
    this.nextCompactionUs = nowUs + COMPACTION_INTERVAL_US;
    this.messageAllowance = rules.messageBytesPerSecond();
    this.batchAllowance = rules.batchBytesPerSecond();
  }

  // ---------------------------------------------------------------- own words

  /**
   * What an earlier life of this courier held; to be told before anything else.
   *
   * @param lastTogetherUs when it was last found equal with another, us on the present clock,
   *     perhaps before its start
   */
  public void restore(final Collection<Delta> deltas, final long lastTogetherUs, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    deltas.forEach(delta -> store.merge(delta, nowUs, changed));
    lastSyncedUs = lastTogetherUs;
    notifyChanged(changed);
  }

  /**
   * An operator's word here on an endpoint: it takes the place of all words on it that are known
   * here.
   */
  public void setEndpointDisabled(
      final String endpoint, final boolean leaveOut, final String operator, final long nowUs) {
    final DisableEntry ban =
        DisableEntry.superseding(
            store.entries(EntryType.MAINTENANCE, endpoint), self, leaveOut, operator);
    write(EntryType.MAINTENANCE, endpoint, 0, ban.toFields(), nowUs);
  }

  /** A destination told this courier to wait until then. */
  public void recordWait(final String destination, final long untilUs, final long nowUs) {
    final long lifeUs = Math.min(EntryType.WAIT.maxTtlUs(), untilUs - nowUs);
    final Entry before = store.find(EntryType.WAIT, destination, self);
    if (lifeUs > 0 && (before == null || before.expiresUs() < nowUs + lifeUs)) {
      write(EntryType.WAIT, destination, lifeUs, List.of(), nowUs);
    }
  }

  /** This courier found a destination out, or serving again after it was out. */
  public void recordOutage(final String destination, final boolean isOut, final long nowUs) {
    write(EntryType.OUTAGE, destination, EntryType.OUTAGE.maxTtlUs(), List.of(isOut), nowUs);
  }

  /**
   * A destination told how many calls a second it takes from all couriers; told again, it is spread
   * again when half of its life is over.
   */
  public void recordRateLimit(final String destination, final double perSecond, final long nowUs) {
    recordRate(EntryType.LIMIT, destination, perSecond, nowUs);
  }

  /** This courier was refused there, and keeps to so many calls a second since. */
  public void recordLearnedRate(
      final String destination, final double perSecond, final long nowUs) {
    recordRate(EntryType.LEARNT, destination, perSecond, nowUs);
  }

  private void recordRate(
      final EntryType kind, final String destination, final double perSecond, final long nowUs) {
    final Entry before = store.find(kind, destination, self);
    if (before == null
        || before.doubleField(0) != perSecond
        || nowUs - before.createdUs() > kind.maxTtlUs() / 2) {
      write(kind, destination, kind.maxTtlUs(), List.of(perSecond), nowUs);
    }
  }

  /** The version of the platform's list that this courier holds. */
  public void recordListVersion(final String source, final long seq, final long nowUs) {
    final Entry before = store.find(EntryType.LIST, source, self);
    if (before == null
        || before.longField(0) != seq
        || nowUs - before.createdUs() > EntryType.LIST.maxTtlUs() / 2) {
      write(EntryType.LIST, source, EntryType.LIST.maxTtlUs(), List.of(seq), nowUs);
    }
  }

  private void write(
      final EntryType kind,
      final String subject,
      final long lifeUs,
      final List<Object> fields,
      final long nowUs) {
    final Entry entry = new Entry(kind.code(), subject, self, version + 1, lifeUs, nowUs, fields);
    if (!entry.isValid(nowUs)) {
      malformedInputs++;
      return;
    }
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    store.merge(new Delta(self, version, version + 1, List.of(entry)), nowUs, changed);
    version++;
    enqueueBroadcast(
        entry,
        reachablePeers.size() <= settings.maxDirectPeers()
            ? new PendingBroadcast(DIRECT_ROUNDS, -1)
            : new PendingBroadcast(GOSSIP_ROUNDS, GOSSIP_FANOUT));
    notifyChanged(changed);
  }

  private void enqueueBroadcast(final Entry entry, final PendingBroadcast how) {
    final Map<Entry, PendingBroadcast> alike =
        pendingBroadcasts.computeIfAbsent(entry.typeCode(), unused -> new LinkedHashMap<>());
    if (alike.size() < MAX_PENDING_PER_TYPE) {
      alike.put(entry, how);
    }
  }

  private void notifyChanged(final Set<SubjectChanged> changed) {
    for (final SubjectChanged one : changed) {
      final EntryType kind = EntryType.fromCode(one.typeCode());
      if (kind != null) {
        actions.onSubjectChanged(kind, one.subject());
      }
    }
  }

  // ---------------------------------------------------------------- time

  /**
   * Who can be reached now, by the addresses that {@link ReplicationActions} takes; this courier is
   * not among them.
   */
  public void setReachablePeers(final Collection<String> reachable) {
    final List<String> next = List.copyOf(reachable);
    if (!next.equals(reachablePeers)) {
      // Whoever is new may lack everything, and have everything.
      nextChecksumUs = reachablePeers.containsAll(next) ? nextChecksumUs : Long.MIN_VALUE;
      reachablePeers = next;
    }
  }

  /** To be called every {@link ReplicationSettings#tickIntervalUs}. */
  public void tick(final long nowUs) {
    final double passedS =
        Math.max(0, Math.min(SECOND_US, nowUs - allowanceUpdatedUs)) / (double) SECOND_US;
    allowanceUpdatedUs = nowUs;
    messageAllowance =
        Math.min(
            settings.messageBytesPerSecond(),
            messageAllowance + passedS * settings.messageBytesPerSecond());
    batchAllowance =
        Math.min(
            settings.batchBytesPerSecond(),
            batchAllowance + passedS * settings.batchBytesPerSecond());
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    store.expire(nowUs, changed);
    notifyChanged(changed);
    if (nowUs >= nextCompactionUs) {
      nextCompactionUs = nowUs + COMPACTION_INTERVAL_US;
      store.compact(nowUs);
    }
    if (reachablePeers.isEmpty()) {
      return;
    }
    sendBroadcasts(nowUs);
    if (nowUs >= nextChecksumUs) {
      final long gapUs =
          settings.checksumIntervalUs()
              * Math.max(1, reachablePeers.size() / MEMBERS_PER_CHECKSUM_INTERVAL);
      nextChecksumUs = nowUs + gapUs / 2 + random.nextLong(gapUs);
      send(
          reachablePeers.get(random.nextInt(reachablePeers.size())),
          new ReplicationMessage.Checksum(store.checksum(), store.size()));
    }
  }

  /**
   * Fresh entries, as many as the allowance bears, in datagrams; each goes to all others, or to
   * some by lot.
   */
  private void sendBroadcasts(final long nowUs) {
    final Map<Integer, List<Entry>> byTargets = new TreeMap<>();
    double budget = messageAllowance;
    for (final Map<Entry, PendingBroadcast> alike : pendingBroadcasts.values()) {
      for (final Iterator<Map.Entry<Entry, PendingBroadcast>> left = alike.entrySet().iterator();
          left.hasNext() && budget > 0; ) {
        final Map.Entry<Entry, PendingBroadcast> one = left.next();
        final PendingBroadcast how = one.getValue();
        if (one.getKey().expiresUs() > nowUs) {
          budget -=
              (how.fanout < 0 ? reachablePeers.size() : Math.min(how.fanout, reachablePeers.size()))
                  * (double) one.getKey().estimatedBytes();
          byTargets.computeIfAbsent(how.fanout, unused -> new ArrayList<>()).add(one.getKey());
        }
        if (--how.remainingRounds == 0) {
          left.remove();
        }
      }
    }
    byTargets.forEach(
        (targets, entries) -> {
          final List<String> to = targets < 0 ? reachablePeers : pickRandomPeers(targets);
          for (final ReplicationMessage.EntryBroadcast news : packIntoDatagrams(entries)) {
            to.forEach(one -> send(one, news));
          }
        });
  }

  private List<ReplicationMessage.EntryBroadcast> packIntoDatagrams(final List<Entry> entries) {
    final List<ReplicationMessage.EntryBroadcast> packed = new ArrayList<>();
    List<Delta> deltas = new ArrayList<>();
    int bytes = 0;
    for (final Entry entry : entries) {
      // The version before it may be lacking there: that is found out by comparing.
      final Delta delta =
          new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
      if (bytes + delta.estimatedBytes() > MAX_DATAGRAM_BYTES && !deltas.isEmpty()) {
        packed.add(new ReplicationMessage.EntryBroadcast(deltas));
        deltas = new ArrayList<>();
        bytes = 0;
      }
      deltas.add(delta);
      bytes += delta.estimatedBytes();
    }
    if (!deltas.isEmpty()) {
      packed.add(new ReplicationMessage.EntryBroadcast(deltas));
    }
    return packed;
  }

  private List<String> pickRandomPeers(final int count) {
    final List<String> left = new ArrayList<>(reachablePeers);
    final List<String> drawn = new ArrayList<>();
    while (drawn.size() < count && !left.isEmpty()) {
      drawn.add(left.remove(random.nextInt(left.size())));
    }
    return drawn;
  }

  private void send(final String to, final ReplicationMessage message) {
    messageAllowance -= message.estimatedBytes();
    sentBytes += message.estimatedBytes();
    actions.send(to, message);
  }

  // ---------------------------------------------------------------- what comes

  /** Something came from another, who can be answered at that address. */
  public void onMessage(final String from, final ReplicationMessage message, final long nowUs) {
    if (lastSyncedUs != 0 && nowUs - lastSyncedUs > settings.maxSeparationUs()) {
      rejoinAfterSeparation(nowUs);
    }
    if (message instanceof ReplicationMessage.EntryBroadcast news) {
      final List<Entry> learnt = merge(news.deltas(), nowUs);
      for (final Entry entry : learnt) {
        enqueueBroadcast(
            entry,
            reachablePeers.size() <= settings.maxDirectPeers()
                ? new PendingBroadcast(1, FORWARD_FANOUT)
                : new PendingBroadcast(GOSSIP_ROUNDS, GOSSIP_FANOUT));
      }
    } else if (message instanceof ReplicationMessage.Checksum mark) {
      if (mark.value() != store.checksum()) {
        final boolean farBehind = mark.entryCount() > 2L * store.size() + WRITERS_PER_DIGEST;
        requestMissing(from, farBehind ? MAX_PARALLEL_REQUESTS : 1, nowUs);
      } else {
        markSynced(nowUs);
      }
    } else if (message instanceof ReplicationMessage.Digest page) {
      onDigest(from, page, nowUs);
    } else if (message instanceof ReplicationMessage.DeltaBatch piece) {
      merge(piece.deltas(), nowUs);
      if (piece.hasMore()) {
        // The next piece from somebody else: serving is shared.
        final String next =
            reachablePeers.isEmpty()
                ? from
                : reachablePeers.get(random.nextInt(reachablePeers.size()));
        send(
            next,
            new ReplicationMessage.Digest(
                piece.partition(), piece.partitionCount(), versionsCoveredBy(piece), false));
      } else {
        markSynced(nowUs);
      }
    }
  }

  /**
   * It was apart from all others for so long that they may have forgotten why something was taken
   * back: what they hold counts, and of what is held here only the words that operators gave here
   * meanwhile.
   */
  private void rejoinAfterSeparation(final long nowUs) {
    final List<Entry> own =
        store.all().stream()
            .filter(
                entry ->
                    entry.typeCode() == EntryType.MAINTENANCE.code()
                        && entry.writer().equals(self)
                        && entry.createdUs() > lastSyncedUs)
            .toList();
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    store
        .all()
        .forEach(entry -> changed.add(new SubjectChanged(entry.typeCode(), entry.subject())));
    actions.onEvent(
        "apart from all others for "
            + (nowUs - lastSyncedUs) / SECOND_US
            + " s: what they hold counts");
    store.clear();
    pendingBroadcasts.clear();
    lastSyncedUs = nowUs;
    startNewStore();
    own.forEach(
        entry ->
            setEndpointDisabled(entry.subject(), entry.booleanField(0), entry.textField(1), nowUs));
    notifyChanged(changed);
  }

  private void startNewStore() {
    self = new WriterId(self.name(), self.epoch() + 1);
    version = 0;
  }

  private void markSynced(final long nowUs) {
    lastSyncedUs = nowUs;
    caughtUp = true;
  }

  /**
   * Where a piece left off: what is known by now, and for whom it told something, up to there. What
   * lies behind a gap that nobody can fill any more would else be begun with again and again.
   */
  private Map<WriterId, Long> versionsCoveredBy(final ReplicationMessage.DeltaBatch piece) {
    final Map<WriterId, Long> upTo = store.knownVersions(piece.partition(), piece.partitionCount());
    for (final Delta delta : piece.deltas()) {
      final List<Entry> entries = delta.entries();
      upTo.merge(
          delta.writer(),
          entries.isEmpty()
              ? delta.upToVersion()
              : Math.max(delta.upToVersion(), entries.get(entries.size() - 1).version()),
          Math::max);
    }
    return upTo;
  }

  /** Says what is known here, and asks for the rest: one other, or several for a part each. */
  private void requestMissing(final String first, final int count, final long nowUs) {
    if (nowUs - lastRequestUs < REQUEST_INTERVAL_US) {
      return;
    }
    lastRequestUs = nowUs;
    final int writers = store.knownVersions(0, 1).size();
    final int parts =
        Math.max(Math.min(count, reachablePeers.size()), 1 + writers / WRITERS_PER_DIGEST);
    final List<String> asked = new ArrayList<>(List.of(first));
    pickRandomPeers(count).stream()
        .filter(one -> !one.equals(first) && asked.size() < count)
        .forEach(asked::add);
    for (int part = 0; part < parts; part++) {
      send(
          asked.get(part % asked.size()),
          new ReplicationMessage.Digest(part, parts, store.knownVersions(part, parts), true));
    }
  }

  private void onDigest(final String from, final ReplicationMessage.Digest page, final long nowUs) {
    if (page.partitionCount() < 1
        || page.partitionCount() > 1 << 12
        || page.partition() < 0
        || page.partition() >= page.partitionCount()) {
      malformedInputs++;
      return;
    }
    detectForeignWrites(page.knownVersions().getOrDefault(self, 0L));
    if (batchAllowance > 0) {
      final List<Delta> deltas = new ArrayList<>();
      final boolean more =
          store.collectMissing(
              page.knownVersions(),
              page.partition(),
              page.partitionCount(),
              (int) Math.min(MAX_BATCH_BYTES, batchAllowance),
              nowUs,
              deltas);
      final ReplicationMessage.DeltaBatch piece =
          new ReplicationMessage.DeltaBatch(page.partition(), page.partitionCount(), deltas, more);
      final int bytes = piece.estimatedBytes();
      batchAllowance -= bytes;
      if (bytes <= MAX_DATAGRAM_BYTES) {
        send(from, piece);
      } else {
        sentBytes += bytes;
        actions.sendOverConnection(from, piece);
      }
    }
    final Map<WriterId, Long> known = store.knownVersions(page.partition(), page.partitionCount());
    final boolean lacks =
        page.knownVersions().entrySet().stream()
            .anyMatch(one -> one.getValue() > known.getOrDefault(one.getKey(), 0L));
    if (page.replyRequested() && lacks) {
      send(
          from,
          new ReplicationMessage.Digest(page.partition(), page.partitionCount(), known, false));
    }
  }

  /**
   * Others hold more of this writer's than it wrote: somebody else wrote under its name, and that
   * is not to be mixed up.
   */
  private void detectForeignWrites(final long theirs) {
    if (theirs > version) {
      actions.onEvent(
          "others hold entry "
              + theirs
              + " of "
              + self
              + ", which wrote "
              + version
              + ": it begins anew");
      startNewStore();
    }
  }

  /** Takes over; tells what was new. */
  private List<Entry> merge(final List<Delta> deltas, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    final List<Entry> learnt = new ArrayList<>();
    for (final Delta delta : deltas) {
      if (delta.writer().equals(self)) {
        detectForeignWrites(delta.upToVersion());
        continue;
      }
      final int before = changed.size();
      store.merge(delta, nowUs, changed);
      if (changed.size() > before) {
        learnt.addAll(delta.entries());
      }
    }
    notifyChanged(changed);
    return learnt;
  }

  // ---------------------------------------------------------------- what is known

  /** What counts on a subject. */
  public MergedValue mergedValue(final EntryType kind, final String subject) {
    return MergeRule.merge(kind, subject, store.entries(kind, subject));
  }

  /** All words on a subject. */
  public List<Entry> entries(final EntryType kind, final String subject) {
    return store.entries(kind, subject);
  }

  /** All subjects of a kind. */
  public Set<String> subjects(final EntryType kind) {
    return store.subjects(kind);
  }

  /** Up to where each writer's entries are known, without a gap. */
  public Map<WriterId, Long> knownVersions() {
    return store.knownVersions(0, 1);
  }

  /**
   * Some of the entries that are held, in the order of writers and versions; what comes or goes
   * between two slices is in one of them or in none.
   *
   * @param after the last one of the slice before; null: from the first on
   * @return empty when there are no more
   */
  public List<Entry> entriesAfter(final Entry after, final int most) {
    return store.entriesAfter(after, most);
  }

  /** All entries that are held, with their writers' marks; to be put down, or compared. */
  public List<Delta> allDeltas() {
    final Map<WriterId, List<Entry>> byWriter = new TreeMap<>();
    store
        .all()
        .forEach(
            entry ->
                byWriter.computeIfAbsent(entry.writer(), unused -> new ArrayList<>()).add(entry));
    final List<Delta> all = new ArrayList<>();
    store
        .knownVersions(0, 1)
        .forEach(
            (writer, known) -> {
              all.add(new Delta(writer, 0, known, byWriter.getOrDefault(writer, List.of())));
              byWriter.remove(writer);
            });
    byWriter.forEach((writer, entries) -> all.add(new Delta(writer, 0, 0, entries)));
    return all;
  }

  /** Whose words are written here. */
  public WriterId self() {
    return self;
  }

  /** Entries held. */
  public int entryCount() {
    return store.size();
  }

  /** Equal for copies that hold the same. */
  public long checksum() {
    return store.checksum();
  }

  /** True once it was found equal with another, or was told all that it lacked, since it began. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** When it was last found equal with another, or caught up; 0: never. */
  public long lastSyncedUs() {
    return lastSyncedUs;
  }

  /** Bytes sent so far, about. */
  public long sentBytes() {
    return sentBytes;
  }

  /** What was told and could not be meant, or for which there was no room. */
  public long rejectedInputs() {
    return store.rejected() + malformedInputs;
  }
}

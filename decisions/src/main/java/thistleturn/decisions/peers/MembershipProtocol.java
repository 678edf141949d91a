package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A courier's part in knowing who is in its fleet. It is told of datagrams, of what becomes of
 * connections, and of time by ticks; it says what to send, whom to connect to, and what happened.
 * Design and promises: docs/design/peers.md. Times are microseconds on a clock that goes on while
 * the process stands still.
 */
public final class MembershipProtocol {
  /** A tick later than its time by so much, us: the process did not run meanwhile. */
  private static final long PAUSE_THRESHOLD_US = 250_000;

  private static final int GOSSIP_FANOUT = 3;

  /** A piece goes out so often for each doubling of the fleet. */
  private static final int SENDS_PER_DOUBLING = 3;

  /**
   * How often the full state goes to somebody: no sooner, and no more bytes a second where there is
   * more to tell.
   */
  private static final long FULL_STATE_INTERVAL_US = 10_000_000;

  private static final int PEERS_PER_FULL_STATE_INTERVAL = 100;

  /** How often the same one is sent what it lacks, and asked for what this courier lacks, us. */
  private static final long PUSH_INTERVAL_US = 300_000;

  private static final long FULL_STATE_REQUEST_INTERVAL_US = 500_000;

  /**
   * Signs of life of those in doubt, or yet to be let in, are passed on so often, us, and so many
   * in a datagram.
   */
  private static final long HEARTBEAT_FORWARD_INTERVAL_US = 400_000;

  private static final int MAX_FORWARDED_HEARTBEATS = 8;
  private static final long PRUNE_INTERVAL_US = 10_000_000;
  private static final long STATUS_CHANGE_INTERVAL_US = 1_000_000;
  private static final long RIVAL_PROBE_INTERVAL_US = 5_000_000;
  private static final long JOIN_PROBE_INTERVAL_US = 500_000;
  private static final long SEED_PROBE_INTERVAL_US = 3_000_000;

  /** How many are told of a farewell by its own datagrams. */
  private static final int MAX_FAREWELL_TARGETS = 32;

  private final GossipSettings settings;
  private final String address;
  private final List<String> seeds;
  private final SplittableRandom random;
  private final PeerActions actions;
  private final MembershipTable table;
  private final FailureDetector failureDetector;
  private final ViewManager views;
  private final GossipQueue gossip;

  /**
   * Signs of life to be passed on at the next tick, to others by lot: answers alone would reach the
   * same ones again and again.
   */
  private final Map<String, GossipItem> heartbeatsToForward = new LinkedHashMap<>();

  private PeerId self;
  private long sequence;
  private long heartbeat;
  private long statusVersion;
  private PeerStatus ownStatus = PeerStatus.UNREPORTED;
  private long statusChangedUs = Peer.NEVER;
  private long nextTickDueUs;

  /** When it last ran. */
  private long lastRunUs;

  private long nextSeedProbeUs;
  private long lastFullStateRequestUs;
  private long nextFullStateUs;
  private long nextPruneUs;
  private long nextRivalProbeUs;
  private long pauseMs;
  private boolean leaving;

  /** Where the other process of this name listens; null: there is none. */
  private String rivalAddress;

  /** True once it was in a view: then a later life under its name is not its own past. */
  private boolean hasBeenMember;

  private long rejectedPackets;

  /**
   * Begins.
   *
   * @param address where this courier listens
   * @param seeds where others may listen
   * @param seed of all chance here
   */
  public MembershipProtocol(
      final GossipSettings rules,
      final PeerId self,
      final String address,
      final List<String> seeds,
      final long seed,
      final long nowUs,
      final PeerActions out) {
    this.settings = rules;
    this.self = self;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.random = new SplittableRandom(seed);
    this.actions = out;
    this.table = new MembershipTable(rules, self.incarnation(), nowUs);
    this.failureDetector = new FailureDetector(rules, table, self, out, this::applyOwnReport);
    final int place = seeds.indexOf(address);
    this.views =
        new ViewManager(
            rules,
            table,
            failureDetector,
            self,
            address,
            place >= 0 ? place : seeds.size(),
            nowUs,
            new Port());
    this.gossip = new GossipQueue(nowUs);
    this.nextTickDueUs = nowUs;
    this.lastRunUs = nowUs;
    this.nextFullStateUs = nowUs + FULL_STATE_INTERVAL_US;
  }

  private final class Port implements ViewManager.Context {
    @Override
    public void sendPaxosMessage(final ViewMember to, final GossipItem.PaxosMessage vote) {
      final List<GossipItem> items = new ArrayList<>(List.of(vote));
      actions.send(to.address(), newPacket(Packet.Type.GOSSIP, 0, items));
    }

    @Override
    public void spread(final GossipItem item) {
      MembershipProtocol.this.spread(item);
    }

    @Override
    public PeerId startNextIncarnation() {
      MembershipProtocol.this.startIncarnation(self.incarnation() + 1);
      return self;
    }

    @Override
    public long randomBelow(final long bound) {
      return random.nextLong(bound);
    }

    @Override
    public void publishEvent(final PeerEvent.Type kind, final String who, final String text) {
      actions.onEvent(new PeerEvent(kind, who, text));
    }
  }

  // ---------------------------------------------------------------- what is said

  private Packet newPacket(final Packet.Type kind, final long echo, final List<GossipItem> items) {
    int used = 0;
    for (final GossipItem item : items) {
      used += item.maxBytes();
    }
    gossip.drainInto(items, used, lastRunUs);
    return new Packet(
        self,
        address,
        ++sequence,
        heartbeat,
        views.viewId(),
        statusVersion,
        ownStatus,
        kind,
        echo,
        List.copyOf(items));
  }

  private void spread(final GossipItem item) {
    gossip.enqueue(
        item,
        SENDS_PER_DOUBLING * (Long.SIZE - Long.numberOfLeadingZeros(table.alive().size() + 1L)));
  }

  private void forward(final GossipItem item, final boolean news) {
    if (news) {
      spread(item);
    } else {
      gossip.recordReceived(item);
    }
  }

  private void applyOwnReport(final GossipItem.ReachabilityReport report) {
    if (table.applyReport(report, lastRunUs)) {
      spread(report);
    }
  }

  private void startIncarnation(final long incarnation) {
    self = new PeerId(self.name(), incarnation);
    failureDetector.startIncarnation(self);
    views.startIncarnation(self);
    for (final Peer peer : table.all()) {
      if (peer.unreachableReports.remove(self.name()) != null
          && peer.unreachableReports.isEmpty()) {
        peer.unreachableSinceUs = Peer.NEVER;
      }
    }
    spread(new GossipItem.MemberUpdate(self, address, GossipItem.Liveness.ALIVE));
    actions.onEvent(
        new PeerEvent(
            PeerEvent.Type.PEER_STATE, self.name(), "begins another life here: " + incarnation));
  }

  // ---------------------------------------------------------------- time

  /** This process runs; whatever it finds late by then is its own lateness. */
  private void advanceClock(final long nowUs) {
    lastRunUs = nowUs;
    final long awayUs = nowUs - nextTickDueUs;
    if (awayUs > PAUSE_THRESHOLD_US) {
      nextTickDueUs = nowUs;
      table.shiftTimestamps(awayUs);
      failureDetector.onProcessPaused(nowUs);
      pauseMs = awayUs / 1000;
      if (awayUs >= settings.silenceTimeoutUs()) {
        actions.onEvent(
            new PeerEvent(PeerEvent.Type.PROCESS_PAUSED, "", "did not run for " + pauseMs + " ms"));
      }
    }
  }

  /** To be called every {@link GossipSettings#tickIntervalUs}. */
  public void tick(final long nowUs) {
    advanceClock(nowUs);
    nextTickDueUs = nowUs + settings.tickIntervalUs();
    if (leaving) {
      return;
    }
    if (rivalAddress != null) {
      probeRival(nowUs);
      return;
    }
    heartbeat++;
    probeSeeds(nowUs);
    for (final Peer peer : failureDetector.tick(nowUs)) {
      peer.pingSequence = sequence + 1;
      peer.pingSentUs = nowUs;
      actions.send(peer.address, newPacket(Packet.Type.PING, 0, new ArrayList<>()));
    }
    views.tick(nowUs);
    hasBeenMember |= views.isMember(self);
    sendGossip();
    sendFullStateIfDue(nowUs);
    publishStateChanges(nowUs);
    if (nowUs >= nextPruneUs) {
      nextPruneUs = nowUs + PRUNE_INTERVAL_US;
      table.prune(nowUs);
    }
  }

  /**
   * Asks at those of the seeds' addresses at which it knows nobody: often while it has not come
   * together with others, now and then for good, since those who begin there know of nobody else.
   */
  private void probeSeeds(final long nowUs) {
    if (nowUs < nextSeedProbeUs) {
      return;
    }
    final boolean together =
        views.status() == MembershipStatus.MAJORITY && !table.alive().isEmpty();
    nextSeedProbeUs = nowUs + (together ? SEED_PROBE_INTERVAL_US : JOIN_PROBE_INTERVAL_US);
    final Set<String> known = new HashSet<>();
    known.add(address);
    table.alive().forEach(peer -> known.add(peer.address));
    for (final String to : seeds) {
      if (!known.contains(to)) {
        actions.send(to, newPacket(Packet.Type.PING, 0, new ArrayList<>()));
      }
    }
  }

  private void sendGossip() {
    final List<Peer> living = table.alive();
    final List<GossipItem> passed =
        heartbeatsToForward.values().stream().limit(MAX_FORWARDED_HEARTBEATS).toList();
    for (int target = 0; target < Math.min(GOSSIP_FANOUT, living.size()); target++) {
      if (passed.isEmpty() && gossip.isIdle(lastRunUs)) {
        break;
      }
      actions.send(
          living.get(random.nextInt(living.size())).address,
          newPacket(Packet.Type.GOSSIP, 0, new ArrayList<>(passed)));
    }
    heartbeatsToForward.clear();
  }

  /** The full state to one of the others, now and then. */
  private void sendFullStateIfDue(final long nowUs) {
    final List<Peer> living = table.alive();
    if (nowUs < nextFullStateUs || living.isEmpty()) {
      return;
    }
    nextFullStateUs =
        nowUs
            + FULL_STATE_INTERVAL_US * Math.max(1, living.size() / PEERS_PER_FULL_STATE_INTERVAL)
            + random.nextLong(FULL_STATE_INTERVAL_US / 4);
    actions.sendFullState(living.get(random.nextInt(living.size())).address, fullState(nowUs));
  }

  private FullStateMessage fullState(final long nowUs) {
    final List<GossipItem> items = new ArrayList<>();
    for (final Peer peer : table.all()) {
      items.add(new GossipItem.MemberUpdate(peer.id, peer.address, peer.liveness));
      if (peer.statusVersion > 0) {
        items.add(new GossipItem.StatusUpdate(peer.id, peer.statusVersion, peer.status));
      }
      for (final Peer.UnreachableReport doubt : peer.unreachableReports.values()) {
        final Peer.ReportVersion row = peer.reportVersions.get(doubt.observer().name());
        if (row != null) {
          items.add(
              new GossipItem.ReachabilityReport(
                  doubt.observer(),
                  peer.id,
                  row.version(),
                  doubt.reachability(),
                  nowUs - doubt.sinceUs()));
        }
      }
    }
    return new FullStateMessage(self, address, views.view(), items);
  }

  /** Tells operators what has changed. */
  private void publishStateChanges(final long nowUs) {
    for (final Peer peer : table.all()) {
      final PeerState state = table.stateOf(peer, views.isMember(peer.id), nowUs);
      if (state != peer.publishedState) {
        peer.publishedState = state;
        peer.publishedStateSinceUs = nowUs;
        actions.onEvent(
            new PeerEvent(PeerEvent.Type.PEER_STATE, peer.id.name(), describe(peer, state)));
      }
    }
  }

  private static String describe(final Peer peer, final PeerState state) {
    return switch (state) {
      case JOINING -> "joins, at " + peer.address;
      case ALIVE -> "is alive";
      case PARTLY ->
          "is heard by some, not by "
              + String.join(", ", new TreeSet<>(peer.unreachableReports.keySet()));
      case SUSPECT ->
          "is suspect: not heard by "
              + String.join(", ", new TreeSet<>(peer.unreachableReports.keySet()));
      case DEAD -> "is dead by agreement";
      case LEFT -> "has left";
    };
  }

  // ---------------------------------------------------------------- what comes

  /** A datagram that was sealed by one of this fleet. */
  public void onPacket(final Packet packet, final long nowUs) {
    advanceClock(nowUs);
    if (leaving) {
      return;
    }
    if (packet.sender() == null) {
      onAnonymousProbe(packet);
      return;
    }
    if (packet.sender().name().equals(self.name())) {
      onOwnNameReceived(packet.sender(), packet.address(), GossipItem.Liveness.ALIVE, nowUs);
      return;
    }
    if (!table.isPlausible(packet.sender(), nowUs)) {
      rejectedPackets++;
      return;
    }
    if (rivalAddress != null) {
      packet.items().forEach(item -> onItem(item, packet, nowUs));
      return;
    }
    final GossipItem.MemberUpdate fact =
        new GossipItem.MemberUpdate(packet.sender(), packet.address(), GossipItem.Liveness.ALIVE);
    if (table.applyUpdate(fact, nowUs)) {
      spread(fact);
    }
    final Peer peer = table.find(packet.sender().name());
    if (peer == null) {
      rejectedPackets++;
      return;
    }
    if (!peer.id.equals(packet.sender()) || !peer.isAlive()) {
      onPacketFromEndedIncarnation(peer, packet);
      return;
    }
    if (packet.sequence() > peer.lastSequence) {
      peer.lastSequence = packet.sequence();
      failureDetector.recordReceived(peer, nowUs);
      onHeartbeat(peer, packet.heartbeat(), nowUs);
      onStatus(peer, packet.statusVersion(), packet.status());
    } else {
      rejectedPackets++;
    }
    packet.items().forEach(item -> onItem(item, packet, nowUs));
    if (packet.type() == Packet.Type.PONG
        && packet.echoedSequence() == peer.pingSequence
        && peer.pingSequence > 0) {
      final long rttUs = nowUs - peer.pingSentUs;
      peer.roundTripUs = peer.roundTripUs == 0 ? rttUs : (7 * peer.roundTripUs + rttUs) / 8;
      peer.pingSequence = 0;
    }
    onViewId(peer, packet.viewId(), nowUs);
    if (packet.type() == Packet.Type.PING) {
      actions.send(peer.address, newPacket(Packet.Type.PONG, packet.sequence(), new ArrayList<>()));
    }
  }

  /**
   * From a life that is over by what is known here: if it still lives, it learns so and begins
   * again.
   */
  private void onPacketFromEndedIncarnation(final Peer peer, final Packet packet) {
    if (packet.type() == Packet.Type.PING) {
      actions.send(
          packet.address(),
          newPacket(
              Packet.Type.PONG,
              packet.sequence(),
              new ArrayList<>(
                  List.of(new GossipItem.MemberUpdate(peer.id, peer.address, peer.liveness)))));
    }
  }

  private void onHeartbeat(final Peer peer, final long count, final long nowUs) {
    final long beforeUs = peer.heartbeatForwardedUs;
    if (table.recordHeartbeat(peer, count, nowUs)
        && (peer.unreachableSinceUs != Peer.NEVER || !views.isMember(peer.id))
        && nowUs - beforeUs >= HEARTBEAT_FORWARD_INTERVAL_US) {
      peer.heartbeatForwardedUs = nowUs;
      heartbeatsToForward.put(peer.id.name(), new GossipItem.Heartbeat(peer.id, count));
    }
  }

  private void onStatus(final Peer peer, final long count, final PeerStatus what) {
    if (count > peer.statusVersion) {
      peer.statusVersion = count;
      peer.status = what;
      gossip.enqueue(new GossipItem.StatusUpdate(peer.id, count, what), 2);
    }
  }

  private void onViewId(final Peer peer, final ViewId mark, final long nowUs) {
    if (views.wantsFullState(mark, nowUs)) {
      if (nowUs - lastFullStateRequestUs >= FULL_STATE_REQUEST_INTERVAL_US) {
        lastFullStateRequestUs = nowUs;
        actions.send(
            peer.address,
            newPacket(
                Packet.Type.GOSSIP,
                0,
                new ArrayList<>(List.of(new GossipItem.FullStateRequest()))));
      }
    } else if (mark.isPresent()
        && mark.isSameLineage(views.viewId())
        && mark.number() < views.viewId().number()
        && nowUs - peer.decisionsSentUs >= PUSH_INTERVAL_US) {
      peer.decisionsSentUs = nowUs;
      final List<GossipItem> changes = views.decisionsSince(mark);
      if (changes.isEmpty()) {
        actions.sendFullState(peer.address, fullState(nowUs));
      } else {
        actions.send(peer.address, newPacket(Packet.Type.GOSSIP, 0, changes));
      }
    }
  }

  private void onItem(final GossipItem item, final Packet packet, final long nowUs) {
    if (item instanceof GossipItem.MemberUpdate fact) {
      if (fact.id().name().equals(self.name())) {
        onOwnNameReceived(fact.id(), fact.address(), fact.liveness(), nowUs);
      } else if (rivalAddress == null && table.isPlausible(fact.id(), nowUs)) {
        forward(fact, table.applyUpdate(fact, nowUs));
      }
    } else if (rivalAddress != null) {
      return;
    } else if (item instanceof GossipItem.ReachabilityReport report) {
      if (!report.observer().name().equals(self.name())) {
        final boolean news = table.applyReport(report, nowUs);
        forward(report, news);
        final Peer doubted = table.find(report.subject().name());
        if (news && report.reachability() == Reachability.SILENT && doubted.heartbeat > 0) {
          // Whoever doubts it may have been cut off from what is known of it here.
          heartbeatsToForward.put(
              doubted.id.name(), new GossipItem.Heartbeat(doubted.id, doubted.heartbeat));
        }
      }
    } else if (item instanceof GossipItem.Heartbeat beatOf) {
      final Peer peer = table.find(beatOf.id().name());
      if (peer != null && peer.id.equals(beatOf.id()) && peer.isAlive()) {
        onHeartbeat(peer, beatOf.count(), nowUs);
      }
    } else if (item instanceof GossipItem.StatusUpdate saidOf) {
      final Peer peer = table.find(saidOf.id().name());
      if (peer != null && peer.id.equals(saidOf.id())) {
        onStatus(peer, saidOf.version(), saidOf.status());
      }
    } else if (item instanceof GossipItem.FullStateRequest) {
      final Peer peer = table.find(packet.sender().name());
      if (peer != null && nowUs - peer.fullStateSentUs >= PUSH_INTERVAL_US) {
        peer.fullStateSentUs = nowUs;
        actions.sendFullState(packet.address(), fullState(nowUs));
      }
    } else if (item instanceof GossipItem.ViewDecision decided) {
      if (!views.onDecision(decided, nowUs)) {
        gossip.recordReceived(decided);
      }
    } else if (item instanceof GossipItem.PaxosMessage vote) {
      final GossipItem.PaxosMessage answer = views.onPaxosMessage(packet.sender(), vote, nowUs);
      if (answer != null) {
        actions.send(
            packet.address(), newPacket(Packet.Type.GOSSIP, 0, new ArrayList<>(List.of(answer))));
      }
    }
  }

  /** All that another one knows. */
  public void onFullState(final FullStateMessage full, final long nowUs) {
    advanceClock(nowUs);
    if (leaving || full.sender().name().equals(self.name())) {
      return;
    }
    final Packet from =
        new Packet(
            full.sender(),
            full.address(),
            0,
            0,
            ViewId.NONE,
            0,
            PeerStatus.UNREPORTED,
            Packet.Type.GOSSIP,
            0,
            List.of());
    full.items()
        .forEach(
            item -> {
              if (item instanceof GossipItem.MemberUpdate
                  || item instanceof GossipItem.ReachabilityReport
                  || item instanceof GossipItem.StatusUpdate) {
                onItem(item, from, nowUs);
              }
            });
    if (rivalAddress == null) {
      views.onFullView(full.view(), nowUs);
    }
  }

  // ---------------------------------------------------------------- its own name

  /** Somebody says how a life of this name stands. */
  private void onOwnNameReceived(
      final PeerId id, final String at, final GossipItem.Liveness life, final long nowUs) {
    if (id.incarnation() < self.incarnation() || !table.isPlausible(id, nowUs)) {
      return;
    }
    if (id.incarnation() == self.incarnation()) {
      if (life != GossipItem.Liveness.ALIVE || !at.equals(address)) {
        startIncarnation(id.incarnation() + 1);
      }
    } else if (!hasBeenMember || life != GossipItem.Liveness.ALIVE || at.equals(address)) {
      // Its own past, remembered under a clock that ran ahead of today's, or a rival that is over.
      rivalAddress = null;
      startIncarnation(id.incarnation() + 1);
    } else if (rivalAddress == null) {
      rivalAddress = at;
      failureDetector.monitored().forEach(peer -> actions.disconnect(peer.address));
      actions.onEvent(
          new PeerEvent(
              PeerEvent.Type.NAME_CONFLICT,
              self.name(),
              "another process of this name, begun later, listens at "
                  + at
                  + ": this one keeps out of the fleet"));
    }
  }

  /** In conflict: asks now and then how the other life stands, without a name. */
  private void probeRival(final long nowUs) {
    if (nowUs < nextRivalProbeUs) {
      return;
    }
    nextRivalProbeUs = nowUs + RIVAL_PROBE_INTERVAL_US;
    final List<String> targets = new ArrayList<>(seeds);
    table.alive().stream().limit(GOSSIP_FANOUT).forEach(peer -> targets.add(peer.address));
    final List<GossipItem> about =
        List.of(new GossipItem.MemberUpdate(self, address, GossipItem.Liveness.ALIVE));
    for (final String to : targets) {
      actions.send(
          to,
          new Packet(
              null,
              address,
              ++sequence,
              0,
              ViewId.NONE,
              0,
              PeerStatus.UNREPORTED,
              Packet.Type.PING,
              0,
              about));
    }
  }

  private void onAnonymousProbe(final Packet packet) {
    for (final GossipItem item : packet.items()) {
      if (item instanceof GossipItem.MemberUpdate fact) {
        final Peer peer = table.find(fact.id().name());
        if (peer != null) {
          actions.send(
              packet.address(),
              newPacket(
                  Packet.Type.GOSSIP,
                  0,
                  new ArrayList<>(
                      List.of(new GossipItem.MemberUpdate(peer.id, peer.address, peer.liveness)))));
        }
        return;
      }
    }
  }

  // ---------------------------------------------------------------- connections

  private Peer findByConnection(final String to) {
    for (final Peer peer : failureDetector.monitored()) {
      if (to.equals(peer.connectionAddress)) {
        return peer;
      }
    }
    return null;
  }

  /** The connection there was greeted by a life. */
  public void onConnectionGreeted(final String to, final PeerId by, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = findByConnection(to);
    if (peer == null || leaving || rivalAddress != null || !table.isPlausible(by, nowUs)) {
      return;
    }
    if (by.name().equals(peer.id.name()) && !by.equals(peer.id)) {
      final GossipItem.MemberUpdate fact =
          new GossipItem.MemberUpdate(by, peer.address, GossipItem.Liveness.ALIVE);
      if (table.applyUpdate(fact, nowUs)) {
        spread(fact);
      }
    }
    failureDetector.onConnectionGreeted(peer, by, nowUs);
  }

  /** The connection there ended, or was refused. */
  public void onConnectionClosed(final String to, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = findByConnection(to);
    if (peer != null && !leaving && rivalAddress == null) {
      failureDetector.onConnectionClosed(peer, nowUs);
    }
  }

  /** Nobody answered there, in one way or the other. */
  public void onConnectionUnanswered(final String to, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = findByConnection(to);
    if (peer != null && !leaving && rivalAddress == null) {
      failureDetector.onConnectionUnanswered(peer, nowUs);
    }
  }

  // ---------------------------------------------------------------- its own part

  /** What is to be said of this courier. */
  public void updateOwnStatus(final PeerStatus what, final long nowUs) {
    final PeerStatus next =
        new PeerStatus(
            what.health(),
            Math.max(what.pauseMs(), (int) Math.min(pauseMs, Integer.MAX_VALUE)),
            what.pendingMessages(),
            what.deliveryStalled());
    final boolean matters =
        next.health() != ownStatus.health()
            || next.deliveryStalled() != ownStatus.deliveryStalled()
            || next.pauseMs() != ownStatus.pauseMs();
    if (matters && nowUs - statusChangedUs >= STATUS_CHANGE_INTERVAL_US) {
      statusVersion++;
      statusChangedUs = nowUs;
    }
    ownStatus = next;
    pauseMs = 0;
  }

  /** Says farewell; nothing more is said after it. */
  public void leave(final long nowUs) {
    if (leaving) {
      return;
    }
    final List<Peer> living = new ArrayList<>(table.alive());
    final GossipItem.MemberUpdate farewell =
        new GossipItem.MemberUpdate(self, address, GossipItem.Liveness.LEFT);
    for (int turn = living.size() - 1; turn > 0; turn--) {
      Collections.swap(living, turn, random.nextInt(turn + 1));
    }
    for (final Peer peer : living.subList(0, Math.min(MAX_FAREWELL_TARGETS, living.size()))) {
      final Packet packet =
          new Packet(
              self,
              address,
              ++sequence,
              heartbeat,
              views.viewId(),
              statusVersion,
              ownStatus,
              Packet.Type.GOSSIP,
              0,
              List.of(farewell));
      actions.send(peer.address, packet);
      actions.send(peer.address, packet);
    }
    leaving = true;
  }

  /** This life of this courier. */
  public PeerId self() {
    return self;
  }

  /** The agreed view that it holds; null: none. */
  public View view() {
    return views.view();
  }

  /** Where it stands. */
  public MembershipStatus status() {
    return rivalAddress != null ? MembershipStatus.CONFLICT : views.status();
  }

  /** How many members of its view it hears of, itself among them. */
  public int reachableMembers() {
    return views.reachableMembers();
  }

  /** Datagrams that told nothing: of lives that cannot be, old or doubled ones. */
  public long rejectedPackets() {
    return rejectedPackets;
  }

  /** True for a life that is known and not known to be over. */
  public boolean isAlive(final PeerId id) {
    final Peer peer = table.find(id.name());
    return peer != null && peer.id.equals(id) && peer.isAlive();
  }

  /** Where the others listen that are not known to be over, by name. */
  public Map<String, String> addressesByName() {
    final Map<String, String> addresses = new TreeMap<>();
    table.alive().forEach(peer -> addresses.put(peer.id.name(), peer.address));
    return addresses;
  }

  /** All that it knows of all others, by name. */
  public List<PeerSnapshot> snapshots(final long nowUs) {
    final List<PeerSnapshot> all = new ArrayList<>();
    for (final Peer peer : table.all()) {
      final PeerState state = table.stateOf(peer, views.isMember(peer.id), nowUs);
      final List<PeerSnapshot.UnreachableReport> doubts = new ArrayList<>();
      peer.unreachableReports
          .values()
          .forEach(
              doubt ->
                  doubts.add(
                      new PeerSnapshot.UnreachableReport(
                          doubt.observer().name(), doubt.reachability(), nowUs - doubt.sinceUs())));
      Collections.sort(doubts);
      final Peer.UnreachableReport own = peer.unreachableReports.get(self.name());
      all.add(
          new PeerSnapshot(
              peer.id,
              peer.address,
              state,
              nowUs - peer.publishedStateSinceUs,
              doubts,
              own != null
                  ? own.reachability()
                  : peer.monitored && peer.lastReceivedUs != Peer.NEVER ? Reachability.HEARD : null,
              peer.roundTripUs,
              peer.status));
    }
    return all;
  }
}

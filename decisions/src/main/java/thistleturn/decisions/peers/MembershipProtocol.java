package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The membership protocol of a fleet, as one courier runs it. The inputs are packets, the outcomes
 * of connections, and ticks; sends, connections and events are output through {@link PeerActions}.
 * Design and guarantees: docs/design/peers.md.
 *
 * <p>Timestamps are microseconds of a clock that continues while the process is paused. Not
 * thread-safe.
 */
public final class MembershipProtocol {
  /** A tick that is late by more than this shows that the process was paused. */
  private static final long PAUSE_THRESHOLD_US = 250_000;

  private static final long MICROS_PER_MILLI = 1000;
  private static final long PRUNE_INTERVAL_US = 10_000_000;

  /** How many peers are notified directly when this courier leaves. */
  private static final int MAX_LEAVE_TARGETS = 32;

  private final GossipSettings settings;
  private final SplittableRandom random;
  private final PeerActions actions;
  private final LocalPeer local;
  private final MembershipTable table;
  private final PacketSender sender;
  private final FailureDetector failureDetector;
  private final ViewManager views;
  private final FullStateExchange fullStates;
  private final HeartbeatForwarder heartbeats;
  private final NameConflictGuard nameConflicts;
  private final GossipReceiver receiver;
  private final SeedProber seedProber;
  private final PeerStateReporter stateReporter;
  private long nextTickDueUs;
  private long lastRunUs;
  private long nextPruneUs;
  private boolean leaving;
  private long rejectedPackets;

  /**
   * Starts the protocol.
   *
   * @param address the address on which this courier listens
   * @param seeds addresses on which other couriers may listen
   * @param seed seed of all random choices
   */
  public MembershipProtocol(
      final GossipSettings settings,
      final PeerId self,
      final String address,
      final List<String> seeds,
      final long seed,
      final long nowUs,
      final PeerActions actions) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.actions = actions;
    this.local = new LocalPeer(self, address);
    this.table = new MembershipTable(settings, self.incarnation(), nowUs);
    this.sender = new PacketSender(local, table, this::viewId, random, actions, nowUs);
    this.failureDetector =
        new FailureDetector(settings, table, self, actions, this::applyOwnReport);
    final int ownIndex = seeds.indexOf(address);
    final int seedIndex = ownIndex >= 0 ? ownIndex : seeds.size();
    this.views =
        new ViewManager(
            settings, table, failureDetector, self, address, seedIndex, nowUs, new ViewContext());
    this.fullStates = new FullStateExchange(local, table, views, sender, random, actions, nowUs);
    this.heartbeats = new HeartbeatForwarder(views);
    final List<String> seedAddresses = List.copyOf(seeds);
    this.nameConflicts =
        new NameConflictGuard(
            local, seedAddresses, table, failureDetector, sender, actions, this::startIncarnation);
    this.receiver =
        new GossipReceiver(local, table, views, sender, heartbeats, fullStates, nameConflicts);
    this.seedProber = new SeedProber(seedAddresses, local, table, sender);
    this.stateReporter = new PeerStateReporter(local, table, views, actions);
    this.nextTickDueUs = nowUs;
    this.lastRunUs = nowUs;
  }

  /** Gives the view manager access to the other components of the protocol. */
  private final class ViewContext implements ViewManager.Context {
    @Override
    public void sendPaxosMessage(final ViewMember to, final GossipItem.PaxosMessage message) {
      sender.sendItems(to.address(), List.of(message));
    }

    @Override
    public void spread(final GossipItem item) {
      sender.spread(item);
    }

    @Override
    public void startNextIncarnation() {
      startIncarnation(local.id().incarnation() + 1);
    }

    @Override
    public long randomBelow(final long bound) {
      return random.nextLong(bound);
    }

    @Override
    public void publishEvent(
        final PeerEvent.Type type, final String peerName, final String message) {
      actions.onEvent(new PeerEvent(type, peerName, message));
    }
  }

  private ViewId viewId() {
    return views.viewId();
  }

  private void applyOwnReport(final GossipItem.ReachabilityReport report) {
    if (table.applyReport(report, lastRunUs)) {
      sender.spread(report);
    }
  }

  /**
   * Continues under another incarnation; the reports and promises of the previous one become
   * invalid.
   */
  private void startIncarnation(final long incarnation) {
    local.startIncarnation(incarnation);
    failureDetector.startIncarnation(local.id());
    views.startIncarnation(local.id());
    table.dropAllReportsBy(local.name());
    sender.spread(local.toUpdate(GossipItem.Liveness.ALIVE));
    actions.onEvent(
        new PeerEvent(
            PeerEvent.Type.PEER_STATE, local.name(), "starts another incarnation: " + incarnation));
  }

  // ---------------------------------------------------------------- periodic work

  /**
   * Records that this process is running at this time. If it was paused, the delay is not
   * attributed to peers.
   */
  private void advanceClock(final long nowUs) {
    lastRunUs = nowUs;
    sender.advanceClock(nowUs);
    final long lateUs = nowUs - nextTickDueUs;
    if (lateUs > PAUSE_THRESHOLD_US) {
      nextTickDueUs = nowUs;
      onPause(lateUs, nowUs);
    }
  }

  private void onPause(final long pauseUs, final long nowUs) {
    table.shiftTimestamps(pauseUs);
    failureDetector.onProcessPaused(nowUs);
    final long pauseMs = pauseUs / MICROS_PER_MILLI;
    local.recordPause(pauseMs);
    if (pauseUs >= settings.silenceTimeoutUs()) {
      actions.onEvent(
          new PeerEvent(PeerEvent.Type.PROCESS_PAUSED, "", "did not run for " + pauseMs + " ms"));
    }
  }

  /** Performs periodic work; to be called every {@link GossipSettings#tickIntervalUs}. */
  public void tick(final long nowUs) {
    advanceClock(nowUs);
    nextTickDueUs = nowUs + settings.tickIntervalUs();
    if (leaving) {
      return;
    }
    if (nameConflicts.hasRival()) {
      nameConflicts.probeRival(nowUs);
      return;
    }
    local.advanceHeartbeat();
    seedProber.tick(views.status(), nowUs);
    for (final Peer peer : failureDetector.tick(nowUs)) {
      peer.monitor().recordPing(sender.sendPing(peer.address()), nowUs);
    }
    views.tick(nowUs);
    nameConflicts.recordMembership(views.isMember(local.id()));
    sender.sendGossip(heartbeats.drain());
    fullStates.tick(nowUs);
    stateReporter.publishChanges(nowUs);
    if (nowUs >= nextPruneUs) {
      nextPruneUs = nowUs + PRUNE_INTERVAL_US;
      table.prune(nowUs);
    }
  }

  // ---------------------------------------------------------------- packets

  /** Handles a packet that was authenticated with the fleet's key. */
  public void onPacket(final Packet packet, final long nowUs) {
    advanceClock(nowUs);
    if (leaving) {
      return;
    }
    if (packet.sender() == null) {
      nameConflicts.onAnonymousProbe(packet);
      return;
    }
    final GossipItem.MemberUpdate senderUpdate =
        new GossipItem.MemberUpdate(packet.sender(), packet.address(), GossipItem.Liveness.ALIVE);
    if (packet.sender().name().equals(local.name())) {
      nameConflicts.onOwnName(senderUpdate, nowUs);
    } else if (!table.isPlausible(packet.sender(), nowUs)) {
      rejectedPackets++;
    } else if (nameConflicts.hasRival()) {
      applyItems(packet, nowUs);
    } else {
      applyDirectUpdate(senderUpdate, nowUs);
      onPeerPacket(packet, nowUs);
    }
  }

  private void applyDirectUpdate(final GossipItem.MemberUpdate update, final long nowUs) {
    if (table.applyUpdate(update, nowUs)) {
      sender.spread(update);
    }
  }

  private void onPeerPacket(final Packet packet, final long nowUs) {
    final Peer peer = table.find(packet.sender().name());
    if (peer == null) {
      rejectedPackets++;
      return;
    }
    if (!peer.isAliveAs(packet.sender())) {
      onPacketFromEndedIncarnation(peer, packet);
      return;
    }
    if (peer.exchange().advanceSequence(packet.sequence())) {
      failureDetector.recordReceived(peer, nowUs);
      heartbeats.onHeartbeat(peer, packet.heartbeat(), nowUs);
      receiver.onStatus(peer, packet.statusVersion(), packet.status());
    } else {
      rejectedPackets++;
    }
    applyItems(packet, nowUs);
    if (packet.type() == Packet.Type.PONG) {
      peer.monitor().recordPong(packet.echoedSequence(), nowUs);
    }
    fullStates.onViewId(peer, packet.viewId(), nowUs);
    if (packet.type() == Packet.Type.PING) {
      sender.sendPong(peer.address(), packet.sequence(), List.of());
    }
  }

  private void applyItems(final Packet packet, final long nowUs) {
    final GossipReceiver.Origin origin =
        new GossipReceiver.Origin(packet.sender(), packet.address());
    packet.items().forEach(item -> receiver.onItem(item, origin, nowUs));
  }

  /**
   * Answers a ping of an incarnation that is recorded as ended here. The answer carries that
   * record, on which the sender, which still runs, starts its next incarnation.
   */
  private void onPacketFromEndedIncarnation(final Peer peer, final Packet packet) {
    if (packet.type() == Packet.Type.PING) {
      sender.sendPong(packet.address(), packet.sequence(), List.of(peer.toUpdate()));
    }
  }

  /** Handles another courier's full state. */
  public void onFullState(final FullStateMessage message, final long nowUs) {
    advanceClock(nowUs);
    if (leaving || message.sender().name().equals(local.name())) {
      return;
    }
    final GossipReceiver.Origin origin =
        new GossipReceiver.Origin(message.sender(), message.address());
    message.items().forEach(item -> receiver.onFullStateItem(item, origin, nowUs));
    if (!nameConflicts.hasRival()) {
      views.onFullView(message.view(), nowUs);
    }
  }

  // ---------------------------------------------------------------- connections

  /** Handles the greeting of an incarnation on the connection to an address. */
  public void onConnectionGreeted(final String address, final PeerId greeter, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = failureDetector.findByConnection(address);
    if (peer == null || !isParticipating() || !table.isPlausible(greeter, nowUs)) {
      return;
    }
    if (greeter.name().equals(peer.name()) && !greeter.equals(peer.id())) {
      applyDirectUpdate(
          new GossipItem.MemberUpdate(greeter, peer.address(), GossipItem.Liveness.ALIVE), nowUs);
    }
    failureDetector.onConnectionGreeted(peer, greeter, nowUs);
  }

  /** Handles a connection to an address that was closed or refused. */
  public void onConnectionClosed(final String address, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = failureDetector.findByConnection(address);
    if (peer != null && isParticipating()) {
      failureDetector.onConnectionClosed(peer, nowUs);
    }
  }

  /** Handles a connection to an address that was neither accepted nor refused. */
  public void onConnectionUnanswered(final String address, final long nowUs) {
    advanceClock(nowUs);
    final Peer peer = failureDetector.findByConnection(address);
    if (peer != null && isParticipating()) {
      failureDetector.onConnectionUnanswered(peer, nowUs);
    }
  }

  private boolean isParticipating() {
    return !leaving && !nameConflicts.hasRival();
  }

  // ---------------------------------------------------------------- this courier

  /** Replaces the status that this courier reports about itself. */
  public void updateOwnStatus(final PeerStatus status, final long nowUs) {
    local.updateStatus(status, nowUs);
  }

  /** Notifies peers that this courier is leaving; nothing is sent after that. */
  public void leave(final long nowUs) {
    if (leaving) {
      return;
    }
    final List<Peer> targets = new ArrayList<>(table.alive());
    for (int index = targets.size() - 1; index > 0; index--) {
      Collections.swap(targets, index, random.nextInt(index + 1));
    }
    targets.stream().limit(MAX_LEAVE_TARGETS).forEach(peer -> sender.sendLeave(peer.address()));
    leaving = true;
  }

  /** Returns the current incarnation of this courier. */
  public PeerId self() {
    return local.id();
  }

  /** Returns the installed view, or null if there is none. */
  public View view() {
    return views.view();
  }

  /** Returns this courier's status in its fleet. */
  public MembershipStatus status() {
    return nameConflicts.hasRival() ? MembershipStatus.CONFLICT : views.status();
  }

  /** Returns how many members of the view are reachable, including this courier. */
  public int reachableMembers() {
    return views.reachableMembers();
  }

  /**
   * Returns how many packets were rejected as stale, duplicated or from an implausible incarnation.
   */
  public long rejectedPackets() {
    return rejectedPackets;
  }

  // ---------------------------------------------------------------- peers

  /** Returns true for a known incarnation that is not known to have ended. */
  public boolean isAlive(final PeerId id) {
    final Peer peer = table.find(id.name());
    return peer != null && peer.isAliveAs(id);
  }

  /** Returns the addresses of the peers that are not known to have ended, by name. */
  public Map<String, String> addressesByName() {
    final Map<String, String> addresses = new TreeMap<>();
    table.alive().forEach(peer -> addresses.put(peer.name(), peer.address()));
    return addresses;
  }

  /** Returns what is known of each peer. */
  public List<PeerSnapshot> snapshots(final long nowUs) {
    return stateReporter.snapshots(nowUs);
  }
}

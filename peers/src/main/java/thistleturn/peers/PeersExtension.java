package thistleturn.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.MembershipProtocol;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerActions;
import thistleturn.decisions.peers.PeerEvent;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.PeerSnapshot;
import thistleturn.decisions.peers.PeerStatus;
import thistleturn.decisions.peers.View;

/**
 * Peers as a subsystem of a courier. It lives on the courier's first event loop, and is on no
 * message's path. A newer process that takes over waits here until the older one has let go of the
 * address.
 */
public final class PeersExtension {
  private static final long MS = 1000;
  private static final long BIND_RETRY_MS = 500;
  private static final long HEALTH_REPORT_PERIOD_US = 1_000_000;

  private final PeersSettings settings;
  private ExtensionContext surroundings;
  private IncarnationFile incarnationFile;
  private MembershipProtocol peers;
  private DatagramTransport datagrams;
  private PeerConnections connections;
  private PeerId storedSelf;
  private long nextHealthReportUs;
  private long lastEndedCount;
  private long lastProgressUs;
  private boolean bindFailureLogged;
  private final ReplayWindow replayWindow = new ReplayWindow();
  private PiggybackChannel piggybackChannel;
  private long piggybackSequence;
  private boolean stopped;

  /** With settings that hold until the next start. */
  public PeersExtension(final PeersSettings settings) {
    this.settings = settings;
  }

  /**
   * Begins to take part; a courier that takes up again after its successor takes part already.
   * Called on the event loop.
   */
  public void join(final ExtensionContext given) {
    if (surroundings != null) {
      return;
    }
    surroundings = given;
    if (given.config().name().length() > PeerId.MAX_NAME_LENGTH) {
      Log.info(
          "peers: off: the name "
              + given.config().name()
              + " has more than "
              + PeerId.MAX_NAME_LENGTH
              + " letters");
      stopped = true;
      return;
    }
    incarnationFile = new IncarnationFile(given.config().stateFolder());
    bind();
  }

  private void bind() {
    if (stopped) {
      return;
    }
    final PeerCodec codec = new PeerCodec();
    final MessageAuthenticator seal = new MessageAuthenticator(settings.fleetKey());
    final DatagramTransport nextDatagrams =
        new DatagramTransport(codec, seal, surroundings.clock(), this::onPacket, this::onPiggyback);
    final PeerConnections nextConnections =
        new PeerConnections(
            surroundings.eventLoop(),
            codec,
            seal,
            () -> peers.self(),
            this::resolve,
            new ConnectionEvents(),
            this::onFullState,
            this::onPiggyback);
    nextDatagrams
        .bind(surroundings.eventLoop(), settings.listenAddress())
        .addListener(
            first -> {
              if (!first.isSuccess()) {
                retryBind(first, nextDatagrams, nextConnections);
                return;
              }
              nextConnections
                  .bind(settings.listenAddress())
                  .addListener(
                      second -> {
                        if (!second.isSuccess() || stopped) {
                          retryBind(second, nextDatagrams, nextConnections);
                          return;
                        }
                        datagrams = nextDatagrams;
                        connections = nextConnections;
                        start();
                      });
            });
  }

  /** An older process of this courier may still listen there. */
  private void retryBind(
      final Future<?> failed,
      final DatagramTransport madeDatagrams,
      final PeerConnections madeConnections) {
    madeDatagrams.close();
    madeConnections.close();
    if (!bindFailureLogged && !stopped) {
      bindFailureLogged = true;
      Log.info(
          "peers: cannot listen at " + listenAddress() + " yet: " + failed.cause().getMessage());
    }
    surroundings.eventLoop().schedule(this::bind, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private String listenAddress() {
    return settings.listenAddress().getAddress().getHostAddress()
        + ':'
        + settings.listenAddress().getPort();
  }

  private InetSocketAddress resolve(final String address) {
    return CourierConfig.parseAddress(
        "peers", settings.addressOverrides().getOrDefault(address, address));
  }

  private void start() {
    final long nowUs = surroundings.clock().nowUs();
    final String name = surroundings.config().name();
    storedSelf = new PeerId(name, incarnationFile.next(surroundings.clock().wallClockUs()));
    peers =
        new MembershipProtocol(
            settings.gossipSettings(),
            storedSelf,
            listenAddress(),
            settings.seeds(),
            name.hashCode() * 31L + storedSelf.incarnation(),
            nowUs,
            new GossipActions());
    lastProgressUs = nowUs;
    Log.info("peers: " + storedSelf + " listens at " + listenAddress());
    tick();
    if (piggybackChannel != null) {
      piggybackChannel.onStarted();
    }
  }

  private final class GossipActions implements PeerActions {
    @Override
    public void send(final String to, final Packet packet) {
      datagrams.send(resolve(to), packet);
    }

    @Override
    public void connect(final String to) {
      connections.connect(to);
    }

    @Override
    public void disconnect(final String to) {
      connections.disconnect(to);
    }

    @Override
    public void sendFullState(final String to, final FullStateMessage full) {
      connections.sendFullState(to, full);
    }

    @Override
    public void onEvent(final PeerEvent event) {
      Log.info(
          "peers: " + (event.peerName().isEmpty() ? "" : event.peerName() + " ") + event.message());
    }
  }

  private final class ConnectionEvents implements PeerConnections.Listener {
    @Override
    public void onGreeted(final String to, final PeerId by) {
      peers.onConnectionGreeted(to, by, surroundings.clock().nowUs());
    }

    @Override
    public void onClosed(final String to) {
      peers.onConnectionClosed(to, surroundings.clock().nowUs());
    }

    @Override
    public void onUnanswered(final String to) {
      peers.onConnectionUnanswered(to, surroundings.clock().nowUs());
    }
  }

  private void onPacket(final Packet packet) {
    if (peers != null && !stopped) {
      peers.onPacket(packet, surroundings.clock().nowUs());
    }
  }

  private void onFullState(final FullStateMessage full) {
    if (peers != null && !stopped) {
      peers.onFullState(full, surroundings.clock().nowUs());
    }
  }

  /** What travels with the exchange from now on; one at most. To be told before {@link #join}. */
  public void attach(final PiggybackChannel with) {
    piggybackChannel = with;
  }

  private void onPiggyback(final PiggybackMessage cargo) {
    if (peers != null
        && !stopped
        && piggybackChannel != null
        && peers.isAlive(cargo.sender())
        && replayWindow.recordIfNew(cargo.sender(), cargo.sequence())) {
      piggybackChannel.onReceived(cargo.address(), cargo.payload());
    }
  }

  /** Sends a datagram of a passenger's, which may be lost. */
  public void send(final String to, final byte[] text) {
    if (peers != null && !stopped) {
      datagrams.send(resolve(to), piggybackMessage(text));
    }
  }

  /** Sends it over a connection; it is lost if that ends before. */
  public void sendOverConnection(final String to, final byte[] text) {
    if (peers != null && !stopped) {
      connections.sendPiggyback(to, piggybackMessage(text));
    }
  }

  private PiggybackMessage piggybackMessage(final byte[] text) {
    return new PiggybackMessage(peers.self(), listenAddress(), ++piggybackSequence, text);
  }

  /** Where the others are who live, as far as is known, by name. */
  public Map<String, String> livingPeerAddresses() {
    return peers == null ? Map.of() : peers.addressesByName();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    final long nowUs = surroundings.clock().nowUs();
    surroundings
        .eventLoop()
        .schedule(this::tick, settings.gossipSettings().tickIntervalUs(), TimeUnit.MICROSECONDS);
    if (nowUs >= nextHealthReportUs) {
      nextHealthReportUs = nowUs + HEALTH_REPORT_PERIOD_US;
      peers.updateOwnStatus(localStatus(nowUs), nowUs);
    }
    peers.tick(nowUs);
    if (!storedSelf.equals(peers.self())) {
      storedSelf = peers.self();
      incarnationFile.store(storedSelf.incarnation());
    }
  }

  /** How this courier itself is, and whether it ends any of what it holds. */
  private PeerStatus localStatus(final long nowUs) {
    final JsonNode health = surroundings.localHealth().get();
    final long ended = health.path("ended").asLong();
    final int holds = health.path("holds").asInt();
    if (ended != lastEndedCount || holds == 0) {
      lastEndedCount = ended;
      lastProgressUs = nowUs;
    }
    final double lastAwayS = health.path("last_away_s").asDouble();
    return new PeerStatus(
        LocalHealth.State.valueOf(health.path("state").asText().toUpperCase(Locale.ROOT)),
        (int) (lastAwayS * MS),
        holds,
        nowUs - lastProgressUs >= PeerStatus.DELIVERY_STALL_US);
  }

  /** Says farewell, and lets go of the address. Called on the event loop. */
  public void leave() {
    if (stopped) {
      return;
    }
    stopped = true;
    if (peers != null) {
      peers.leave(surroundings.clock().nowUs());
      connections.close();
      // Behind what was just written there.
      surroundings.eventLoop().execute(datagrams::close);
    }
  }

  /** Who is here, as operators are told. Called on the event loop. */
  public JsonNode status() {
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    if (peers == null) {
      return root.put("standing", "waits").put("address", listenAddress());
    }
    final long nowUs = surroundings.clock().nowUs();
    root.put("name", peers.self().name())
        .put("incarnation", peers.self().incarnation())
        .put("address", listenAddress())
        .put("standing", peers.status().name().toLowerCase(Locale.ROOT))
        .put("reached", peers.reachableMembers())
        .put("sent", datagrams.sentCount())
        .put("sent_bytes", datagrams.sentBytes())
        .put("read", datagrams.readCount())
        .put("malformed", datagrams.malformedCount() + connections.malformedCount())
        .put("too_large", datagrams.oversizedCount())
        .put("turned_down", peers.rejectedPackets())
        .put("connections", connections.openCount());
    final View view = peers.view();
    if (view != null) {
      final ObjectNode told =
          root.putObject("view")
              .put("generation", view.generation())
              .put("founder", view.founder())
              .put("number", view.number());
      final ArrayNode members = told.putArray("members");
      view.members()
          .forEach(
              member ->
                  members
                      .addObject()
                      .put("name", member.id().name())
                      .put("incarnation", member.id().incarnation())
                      .put("address", member.address()));
      final ArrayNode committee = told.putArray("committee");
      view.committee().forEach(id -> committee.add(id.name()));
    }
    final ArrayNode others = root.putArray("peers");
    for (final PeerSnapshot known : peers.snapshots(nowUs)) {
      final ObjectNode other =
          others
              .addObject()
              .put("name", known.id().name())
              .put("incarnation", known.id().incarnation())
              .put("address", known.address())
              .put("state", known.state().name().toLowerCase(Locale.ROOT))
              .put("for_ms", known.stateAgeUs() / MS)
              .put(
                  "here",
                  known.localReachability() == null
                      ? ""
                      : known.localReachability().name().toLowerCase(Locale.ROOT))
              .put("round_trip_ms", known.roundTripUs() / (double) MS)
              .put("health", known.status().health().name().toLowerCase(Locale.ROOT))
              .put("away_ms", known.status().pauseMs())
              .put("holds", known.status().pendingMessages())
              .put("stuck", known.status().deliveryStalled());
      final ArrayNode doubts = other.putArray("doubts");
      known
          .unreachableReports()
          .forEach(
              cell ->
                  doubts
                      .addObject()
                      .put("by", cell.observer())
                      .put("sight", cell.reachability().name().toLowerCase(Locale.ROOT))
                      .put("for_ms", cell.ageUs() / MS));
    }
    return root;
  }
}

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
import thistleturn.courier.runtime.Config;
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
  private static final long AGAIN_MS = 500;
  private static final long SAY_US = 1_000_000;

  private final PeersSettings settings;
  private ExtensionContext surroundings;
  private IncarnationFile incarnations;
  private MembershipProtocol peers;
  private Datagrams datagrams;
  private Connections connections;
  private PeerId kept;
  private long sayUs;
  private long endedBefore;
  private long endedUs;
  private boolean complained;
  private final Arrivals arrivals = new Arrivals();
  private Passenger passenger;
  private long cargoes;
  private boolean left;

  /** With settings that hold until the next start. */
  public PeersExtension(final PeersSettings settings) {
    this.settings = settings;
  }

  /**
   * Begins to take part; a courier that takes up again after its successor takes part already.
   * Called on the event loop.
   */
  public void begin(final ExtensionContext given) {
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
      left = true;
      return;
    }
    incarnations = new IncarnationFile(given.config().state());
    bind();
  }

  private void bind() {
    if (left) {
      return;
    }
    final Codec codec = new Codec();
    final Seal seal = new Seal(settings.fleetKey());
    final Datagrams nextDatagrams =
        new Datagrams(codec, seal, surroundings.clock(), this::onPacket, this::onCargo);
    final Connections nextConnections =
        new Connections(
            surroundings.eventLoop(),
            codec,
            seal,
            () -> peers.self(),
            this::way,
            new Told(),
            this::onFull,
            this::onCargo);
    nextDatagrams
        .bind(surroundings.eventLoop(), settings.listen())
        .addListener(
            first -> {
              if (!first.isSuccess()) {
                again(first, nextDatagrams, nextConnections);
                return;
              }
              nextConnections
                  .bind(settings.listen())
                  .addListener(
                      second -> {
                        if (!second.isSuccess() || left) {
                          again(second, nextDatagrams, nextConnections);
                          return;
                        }
                        datagrams = nextDatagrams;
                        connections = nextConnections;
                        start();
                      });
            });
  }

  /** An older process of this courier may still listen there. */
  private void again(
      final Future<?> failed, final Datagrams madeDatagrams, final Connections madeConnections) {
    madeDatagrams.close();
    madeConnections.close();
    if (!complained && !left) {
      complained = true;
      Log.info("peers: cannot listen at " + address() + " yet: " + failed.cause().getMessage());
    }
    surroundings.eventLoop().schedule(this::bind, AGAIN_MS, TimeUnit.MILLISECONDS);
  }

  private String address() {
    return settings.listen().getAddress().getHostAddress() + ':' + settings.listen().getPort();
  }

  private InetSocketAddress way(final String address) {
    return Config.address("peers", settings.via().getOrDefault(address, address));
  }

  private void start() {
    final long nowUs = surroundings.clock().nowUs();
    final String name = surroundings.config().name();
    kept = new PeerId(name, incarnations.next(surroundings.clock().wallUs()));
    peers =
        new MembershipProtocol(
            settings.rules(),
            kept,
            address(),
            settings.seeds(),
            name.hashCode() * 31L + kept.incarnation(),
            nowUs,
            new Out());
    endedUs = nowUs;
    Log.info("peers: " + kept + " listens at " + address());
    tick();
    if (passenger != null) {
      passenger.begin();
    }
  }

  private final class Out implements PeerActions {
    @Override
    public void send(final String to, final Packet packet) {
      datagrams.send(way(to), packet);
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
      connections.full(to, full);
    }

    @Override
    public void onEvent(final PeerEvent event) {
      Log.info(
          "peers: " + (event.peerName().isEmpty() ? "" : event.peerName() + " ") + event.message());
    }
  }

  private final class Told implements Connections.Told {
    @Override
    public void greeted(final String to, final PeerId by) {
      peers.onConnectionGreeted(to, by, surroundings.clock().nowUs());
    }

    @Override
    public void closed(final String to) {
      peers.onConnectionClosed(to, surroundings.clock().nowUs());
    }

    @Override
    public void unanswered(final String to) {
      peers.onConnectionUnanswered(to, surroundings.clock().nowUs());
    }
  }

  private void onPacket(final Packet packet) {
    if (peers != null && !left) {
      peers.onPacket(packet, surroundings.clock().nowUs());
    }
  }

  private void onFull(final FullStateMessage full) {
    if (peers != null && !left) {
      peers.onFullState(full, surroundings.clock().nowUs());
    }
  }

  /** What travels with the exchange from now on; one at most. To be told before {@link #begin}. */
  public void carry(final Passenger with) {
    passenger = with;
  }

  private void onCargo(final Cargo cargo) {
    if (peers != null
        && !left
        && passenger != null
        && peers.isAlive(cargo.sender())
        && arrivals.isNew(cargo.sender(), cargo.seq())) {
      passenger.received(cargo.address(), cargo.text());
    }
  }

  /** Sends a datagram of a passenger's, which may be lost. */
  public void send(final String to, final byte[] text) {
    if (peers != null && !left) {
      datagrams.send(way(to), cargo(text));
    }
  }

  /** Sends it over a connection; it is lost if that ends before. */
  public void sendSurely(final String to, final byte[] text) {
    if (peers != null && !left) {
      connections.cargo(to, cargo(text));
    }
  }

  private Cargo cargo(final byte[] text) {
    return new Cargo(peers.self(), address(), ++cargoes, text);
  }

  /** Where the others are who live, as far as is known, by name. */
  public Map<String, String> others() {
    return peers == null ? Map.of() : peers.addressesByName();
  }

  private void tick() {
    if (left) {
      return;
    }
    final long nowUs = surroundings.clock().nowUs();
    surroundings
        .eventLoop()
        .schedule(this::tick, settings.rules().tickIntervalUs(), TimeUnit.MICROSECONDS);
    if (nowUs >= sayUs) {
      sayUs = nowUs + SAY_US;
      peers.updateOwnStatus(word(nowUs), nowUs);
    }
    peers.tick(nowUs);
    if (!kept.equals(peers.self())) {
      kept = peers.self();
      incarnations.keep(kept.incarnation());
    }
  }

  /** How this courier itself is, and whether it ends any of what it holds. */
  private PeerStatus word(final long nowUs) {
    final JsonNode health = surroundings.localHealth().get();
    final long ended = health.path("ended").asLong();
    final int holds = health.path("holds").asInt();
    if (ended != endedBefore || holds == 0) {
      endedBefore = ended;
      endedUs = nowUs;
    }
    final double lastAwayS = health.path("last_away_s").asDouble();
    return new PeerStatus(
        LocalHealth.State.valueOf(health.path("state").asText().toUpperCase(Locale.ROOT)),
        (int) (lastAwayS * MS),
        holds,
        nowUs - endedUs >= PeerStatus.DELIVERY_STALL_US);
  }

  /** Says farewell, and lets go of the address. Called on the event loop. */
  public void leave() {
    if (left) {
      return;
    }
    left = true;
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
      return root.put("standing", "waits").put("address", address());
    }
    final long nowUs = surroundings.clock().nowUs();
    root.put("name", peers.self().name())
        .put("incarnation", peers.self().incarnation())
        .put("address", address())
        .put("standing", peers.status().name().toLowerCase(Locale.ROOT))
        .put("reached", peers.reachableMembers())
        .put("sent", datagrams.sent())
        .put("sent_bytes", datagrams.sentBytes())
        .put("read", datagrams.read())
        .put("malformed", datagrams.malformed() + connections.malformed())
        .put("too_large", datagrams.tooLarge())
        .put("turned_down", peers.rejectedPackets())
        .put("connections", connections.open());
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

package thistleturn.peers;

import com.fasterxml.jackson.databind.JsonNode;
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
import thistleturn.decisions.peers.PeerStatus;

/**
 * Runs the membership protocol as a subsystem of a courier. It is confined to the courier's first
 * event loop, and takes no part in the delivery of messages. In a takeover, the successor retries
 * to bind until the predecessor has released the address.
 */
public final class PeersExtension {
  private static final long MS_PER_S = 1000;
  private static final long BIND_RETRY_MS = 500;
  private static final long HEALTH_REPORT_PERIOD_US = 1_000_000;

  private final PeersSettings settings;
  private final ReplayWindow replayWindow = new ReplayWindow();
  private ExtensionContext context;
  private IncarnationFile incarnationFile;

  /** Null until both sockets are bound, like the next three fields. */
  private MembershipProtocol protocol;

  private DatagramTransport datagrams;
  private PeerConnections connections;

  /** The incarnation that is stored in {@link #incarnationFile}. */
  private PeerId storedSelf;

  private long nextHealthReportUs;

  /** The number of completed messages when the delivery last made progress. */
  private long lastCompletedCount;

  private long lastProgressUs;
  private boolean bindFailureLogged;
  private PiggybackChannel piggybackChannel;
  private long piggybackSequence;
  private boolean stopped;

  /** Creates an extension; its settings are fixed until the next start. */
  public PeersExtension(final PeersSettings settings) {
    this.settings = settings;
  }

  /**
   * Joins the fleet. Does nothing in a courier that resumes after its successor has ended, which
   * has joined already. Called on the event loop.
   */
  public void join(final ExtensionContext newContext) {
    if (context != null) {
      return;
    }
    context = newContext;
    if (newContext.config().name().length() > PeerId.MAX_NAME_LENGTH) {
      Log.info(
          "peers: off: the name "
              + newContext.config().name()
              + " has more than "
              + PeerId.MAX_NAME_LENGTH
              + " characters");
      stopped = true;
      return;
    }
    incarnationFile = new IncarnationFile(newContext.config().stateFolder());
    bind();
  }

  private void bind() {
    if (stopped) {
      return;
    }
    final PeerCodec codec = new PeerCodec();
    final MessageAuthenticator authenticator = new MessageAuthenticator(settings.fleetKey());
    final DatagramTransport nextDatagrams =
        new DatagramTransport(
            codec, authenticator, context.clock(), this::onPacket, this::onPiggyback);
    final PeerConnections nextConnections =
        new PeerConnections(
            context.eventLoop(),
            codec,
            authenticator,
            () -> protocol.self(),
            this::resolve,
            new ConnectionEvents(),
            this::onFullState,
            this::onPiggyback);
    nextDatagrams
        .bind(context.eventLoop(), settings.listenAddress())
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

  /** Retries later, since the predecessor process of this courier may still use the address. */
  private void retryBind(
      final Future<?> failed,
      final DatagramTransport unusedDatagrams,
      final PeerConnections unusedConnections) {
    unusedDatagrams.close();
    unusedConnections.close();
    if (!bindFailureLogged && !stopped) {
      bindFailureLogged = true;
      Log.info(
          "peers: cannot listen at " + listenAddress() + " yet: " + failed.cause().getMessage());
    }
    context.eventLoop().schedule(this::bind, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
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
    final long nowUs = context.clock().nowUs();
    final String name = context.config().name();
    storedSelf = new PeerId(name, incarnationFile.next(context.clock().wallClockUs()));
    protocol =
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
    public void sendFullState(final String to, final FullStateMessage message) {
      connections.sendFullState(to, message);
    }

    @Override
    public void onEvent(final PeerEvent event) {
      Log.info(
          "peers: " + (event.peerName().isEmpty() ? "" : event.peerName() + " ") + event.message());
    }
  }

  private final class ConnectionEvents implements PeerConnections.Listener {
    @Override
    public void onGreeted(final String address, final PeerId peer) {
      protocol.onConnectionGreeted(address, peer, context.clock().nowUs());
    }

    @Override
    public void onClosed(final String address) {
      protocol.onConnectionClosed(address, context.clock().nowUs());
    }

    @Override
    public void onUnanswered(final String address) {
      protocol.onConnectionUnanswered(address, context.clock().nowUs());
    }
  }

  private void onPacket(final Packet packet) {
    if (protocol != null && !stopped) {
      protocol.onPacket(packet, context.clock().nowUs());
    }
  }

  private void onFullState(final FullStateMessage message) {
    if (protocol != null && !stopped) {
      protocol.onFullState(message, context.clock().nowUs());
    }
  }

  /**
   * Attaches the channel whose messages are sent and received as well; there is at most one. To be
   * called before {@link #join}.
   */
  public void attach(final PiggybackChannel channel) {
    piggybackChannel = channel;
  }

  private void onPiggyback(final PiggybackMessage message) {
    if (protocol != null
        && !stopped
        && piggybackChannel != null
        && protocol.isAlive(message.sender())
        && replayWindow.recordIfNew(message.sender(), message.sequence())) {
      piggybackChannel.onReceived(message.address(), message.payload());
    }
  }

  /** Sends a message of the channel as a datagram, which may be lost. */
  public void send(final String to, final byte[] payload) {
    if (protocol != null && !stopped) {
      datagrams.send(resolve(to), piggybackMessage(payload));
    }
  }

  /**
   * Sends a message of the channel over a connection; it is lost if the connection closes first.
   */
  public void sendOverConnection(final String to, final byte[] payload) {
    if (protocol != null && !stopped) {
      connections.sendPiggyback(to, piggybackMessage(payload));
    }
  }

  private PiggybackMessage piggybackMessage(final byte[] payload) {
    piggybackSequence++;
    return new PiggybackMessage(protocol.self(), listenAddress(), piggybackSequence, payload);
  }

  /** Returns the addresses, by name, of the peers that are not known to have ended. */
  public Map<String, String> alivePeerAddresses() {
    return protocol == null ? Map.of() : protocol.addressesByName();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    final long nowUs = context.clock().nowUs();
    context
        .eventLoop()
        .schedule(this::tick, settings.gossipSettings().tickIntervalUs(), TimeUnit.MICROSECONDS);
    if (nowUs >= nextHealthReportUs) {
      nextHealthReportUs = nowUs + HEALTH_REPORT_PERIOD_US;
      protocol.updateOwnStatus(localStatus(nowUs), nowUs);
    }
    protocol.tick(nowUs);
    if (!storedSelf.equals(protocol.self())) {
      storedSelf = protocol.self();
      incarnationFile.store(storedSelf.incarnation());
    }
  }

  /** Returns this courier's health, and whether it completes any of its pending messages. */
  private PeerStatus localStatus(final long nowUs) {
    final JsonNode health = context.localHealth().get();
    final long completed = health.path("ended").asLong();
    final int pending = health.path("holds").asInt();
    if (completed != lastCompletedCount || pending == 0) {
      lastCompletedCount = completed;
      lastProgressUs = nowUs;
    }
    final double lastPauseS = health.path("last_away_s").asDouble();
    return new PeerStatus(
        LocalHealth.State.valueOf(health.path("state").asText().toUpperCase(Locale.ROOT)),
        (int) (lastPauseS * MS_PER_S),
        pending,
        nowUs - lastProgressUs >= PeerStatus.DELIVERY_STALL_US);
  }

  /** Leaves the fleet and releases the address. Called on the event loop. */
  public void leave() {
    if (stopped) {
      return;
    }
    stopped = true;
    if (protocol != null) {
      protocol.leave(context.clock().nowUs());
      connections.close();
      // Closes the socket after the leave packets that were just written.
      context.eventLoop().execute(datagrams::close);
    }
  }

  /** Returns the status of the protocol and its peers for operators. Called on the event loop. */
  public JsonNode status() {
    if (protocol == null) {
      return PeersStatusReport.waiting(listenAddress());
    }
    return PeersStatusReport.of(
        protocol, listenAddress(), datagrams, connections, context.clock().nowUs());
  }
}

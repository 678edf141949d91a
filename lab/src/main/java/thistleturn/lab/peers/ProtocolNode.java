package thistleturn.lab.peers;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.GossipItem;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.decisions.peers.MembershipProtocol;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerActions;
import thistleturn.decisions.peers.PeerEvent;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.View;

/** A node that runs the courier's own {@link MembershipProtocol}. */
public final class ProtocolNode implements MembershipNode {
  /** Upper bound of a datagram's header, authentication tag and lower-layer headers, bytes. */
  private static final int HEADER_BYTES = 120;

  private static final int MEMBER_BYTES = 40;

  private final MembershipProtocol protocol;
  private View cachedView;
  private Set<String> members = Set.of();

  /** Uses connections, whose loss reveals the end of a peer, or, if false, datagrams only. */
  public static Factory factory(
      final GossipSettings settings, final boolean connections, final Consumer<PeerEvent> events) {
    return (number, restarts, names, seed, nowUs, network) ->
        new ProtocolNode(
            settings,
            new PeerId(names.get(number), nowUs + restarts),
            names,
            seed,
            nowUs,
            network,
            connections,
            events);
  }

  private ProtocolNode(
      final GossipSettings settings,
      final PeerId id,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Network network,
      final boolean connections,
      final Consumer<PeerEvent> events) {
    this.protocol =
        new MembershipProtocol(
            settings,
            id,
            id.name(),
            names.subList(0, Math.min(3, names.size())),
            seed,
            nowUs,
            new PeerActions() {
              @Override
              public void send(final String to, final Packet packet) {
                network.send(
                    to,
                    packet,
                    HEADER_BYTES + packet.items().stream().mapToInt(GossipItem::maxBytes).sum());
              }

              @Override
              public void connect(final String to) {
                if (connections) {
                  network.connect(to);
                }
              }

              @Override
              public void disconnect(final String to) {
                network.disconnect(to);
              }

              @Override
              public void sendFullState(final String to, final FullStateMessage full) {
                network.sendOverConnection(
                    to,
                    full,
                    HEADER_BYTES
                        + full.items().stream().mapToInt(GossipItem::maxBytes).sum()
                        + (full.view() == null ? 0 : MEMBER_BYTES * full.view().members().size()));
              }

              @Override
              public void onEvent(final PeerEvent event) {
                events.accept(event);
              }
            });
  }

  /** The protocol instance. */
  public MembershipProtocol protocol() {
    return protocol;
  }

  @Override
  public void tick(final long nowUs) {
    protocol.tick(nowUs);
  }

  @Override
  public void receive(final Object message, final long nowUs) {
    if (message instanceof Packet packet) {
      protocol.onPacket(packet, nowUs);
    } else {
      protocol.onFullState((FullStateMessage) message, nowUs);
    }
  }

  @Override
  public void onConnected(final String to, final String incarnation, final long nowUs) {
    final int separator = incarnation.indexOf('#');
    protocol.onConnectionGreeted(
        to,
        new PeerId(
            incarnation.substring(0, separator),
            Long.parseLong(incarnation.substring(separator + 1))),
        nowUs);
  }

  @Override
  public void onConnectionClosed(final String to, final long nowUs) {
    protocol.onConnectionClosed(to, nowUs);
  }

  @Override
  public void onConnectTimeout(final String to, final long nowUs) {
    protocol.onConnectionUnanswered(to, nowUs);
  }

  @Override
  public void leave(final long nowUs) {
    protocol.leave(nowUs);
  }

  @Override
  public String id() {
    return protocol.self().toString();
  }

  @Override
  public String viewLineage() {
    return protocol.view() == null
        ? ""
        : protocol.view().generation() + "/" + protocol.view().founder();
  }

  @Override
  public long viewNumber() {
    return protocol.view() == null ? 0 : protocol.view().number();
  }

  @Override
  public Set<String> members() {
    if (cachedView != protocol.view()) {
      cachedView = protocol.view();
      members = new TreeSet<>();
      cachedView.members().forEach(member -> members.add(member.id().toString()));
    }
    return members;
  }
}

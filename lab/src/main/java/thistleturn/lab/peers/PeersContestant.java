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

/** The program's own decisions. */
public final class PeersContestant implements Contestant {
  /** A datagram's head, seal and the headers below it, bytes at most. */
  private static final int HEAD_BYTES = 120;

  private static final int MEMBER_BYTES = 40;

  private final MembershipProtocol peers;
  private View seen;
  private Set<String> members = Set.of();

  /** With connections that tell ends, or (false) with datagrams alone. */
  public static Maker maker(
      final GossipSettings rules, final boolean connections, final Consumer<PeerEvent> events) {
    return (number, life, names, seed, nowUs, wire) ->
        new PeersContestant(
            rules,
            new PeerId(names.get(number), nowUs + life),
            names,
            seed,
            nowUs,
            wire,
            connections,
            events);
  }

  private PeersContestant(
      final GossipSettings rules,
      final PeerId id,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Wire wire,
      final boolean connections,
      final Consumer<PeerEvent> events) {
    this.peers =
        new MembershipProtocol(
            rules,
            id,
            id.name(),
            names.subList(0, Math.min(3, names.size())),
            seed,
            nowUs,
            new PeerActions() {
              @Override
              public void send(final String to, final Packet packet) {
                wire.send(
                    to,
                    packet,
                    HEAD_BYTES + packet.items().stream().mapToInt(GossipItem::maxBytes).sum());
              }

              @Override
              public void connect(final String to) {
                if (connections) {
                  wire.connect(to);
                }
              }

              @Override
              public void disconnect(final String to) {
                wire.disconnect(to);
              }

              @Override
              public void sendFullState(final String to, final FullStateMessage full) {
                wire.pass(
                    to,
                    full,
                    HEAD_BYTES
                        + full.items().stream().mapToInt(GossipItem::maxBytes).sum()
                        + (full.view() == null ? 0 : MEMBER_BYTES * full.view().members().size()));
              }

              @Override
              public void onEvent(final PeerEvent event) {
                events.accept(event);
              }
            });
  }

  /** The decisions themselves. */
  public MembershipProtocol peers() {
    return peers;
  }

  @Override
  public void tick(final long nowUs) {
    peers.tick(nowUs);
  }

  @Override
  public void receive(final Object message, final long nowUs) {
    if (message instanceof Packet packet) {
      peers.onPacket(packet, nowUs);
    } else {
      peers.onFullState((FullStateMessage) message, nowUs);
    }
  }

  @Override
  public void greeted(final String to, final String life, final long nowUs) {
    final int mark = life.indexOf('#');
    peers.onConnectionGreeted(
        to, new PeerId(life.substring(0, mark), Long.parseLong(life.substring(mark + 1))), nowUs);
  }

  @Override
  public void closed(final String to, final long nowUs) {
    peers.onConnectionClosed(to, nowUs);
  }

  @Override
  public void unanswered(final String to, final long nowUs) {
    peers.onConnectionUnanswered(to, nowUs);
  }

  @Override
  public void leave(final long nowUs) {
    peers.leave(nowUs);
  }

  @Override
  public String life() {
    return peers.self().toString();
  }

  @Override
  public String line() {
    return peers.view() == null ? "" : peers.view().generation() + "/" + peers.view().founder();
  }

  @Override
  public long number() {
    return peers.view() == null ? 0 : peers.view().number();
  }

  @Override
  public Set<String> members() {
    if (seen != peers.view()) {
      seen = peers.view();
      members = new TreeSet<>();
      seen.members().forEach(member -> members.add(member.id().toString()));
    }
    return members;
  }
}

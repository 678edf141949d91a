package thistleturn.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import thistleturn.decisions.peers.MembershipProtocol;
import thistleturn.decisions.peers.PeerSnapshot;
import thistleturn.decisions.peers.View;

/**
 * The status of the membership protocol and its transport as JSON for operators. The keys are part
 * of the operators' interface.
 */
final class PeersStatusReport {
  private static final long US_PER_MS = 1000;

  private PeersStatusReport() {}

  /** Returns the report of a courier that has not joined yet. */
  static JsonNode waiting(final String listenAddress) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("standing", "waits")
        .put("address", listenAddress);
  }

  /** Returns the report of a courier that has joined. */
  static JsonNode of(
      final MembershipProtocol protocol,
      final String listenAddress,
      final DatagramTransport datagrams,
      final PeerConnections connections,
      final long nowUs) {
    final ObjectNode report =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", protocol.self().name())
            .put("incarnation", protocol.self().incarnation())
            .put("address", listenAddress)
            .put("standing", lowerCase(protocol.status()))
            .put("reached", protocol.reachableMembers())
            .put("sent", datagrams.sentCount())
            .put("sent_bytes", datagrams.sentBytes())
            .put("read", datagrams.readCount())
            .put("malformed", datagrams.malformedCount() + connections.malformedCount())
            .put("too_large", datagrams.oversizedCount())
            .put("turned_down", protocol.rejectedPackets())
            .put("connections", connections.openCount());
    final View view = protocol.view();
    if (view != null) {
      putView(report.putObject("view"), view);
    }
    final ArrayNode peers = report.putArray("peers");
    protocol.snapshots(nowUs).forEach(peer -> putPeer(peers.addObject(), peer));
    return report;
  }

  private static void putView(final ObjectNode to, final View view) {
    to.put("generation", view.generation())
        .put("founder", view.founder())
        .put("number", view.number());
    final ArrayNode members = to.putArray("members");
    view.members()
        .forEach(
            member ->
                members
                    .addObject()
                    .put("name", member.id().name())
                    .put("incarnation", member.id().incarnation())
                    .put("address", member.address()));
    final ArrayNode committee = to.putArray("committee");
    view.committee().forEach(id -> committee.add(id.name()));
  }

  private static void putPeer(final ObjectNode to, final PeerSnapshot peer) {
    to.put("name", peer.id().name())
        .put("incarnation", peer.id().incarnation())
        .put("address", peer.address())
        .put("state", lowerCase(peer.state()))
        .put("for_ms", peer.stateAgeUs() / US_PER_MS)
        .put("here", peer.localReachability() == null ? "" : lowerCase(peer.localReachability()))
        .put("round_trip_ms", peer.roundTripUs() / (double) US_PER_MS)
        .put("health", lowerCase(peer.status().health()))
        .put("away_ms", peer.status().pauseMs())
        .put("holds", peer.status().pendingMessages())
        .put("stuck", peer.status().deliveryStalled());
    final ArrayNode reports = to.putArray("doubts");
    peer.unreachableReports()
        .forEach(
            report ->
                reports
                    .addObject()
                    .put("by", report.observer())
                    .put("sight", lowerCase(report.reachability()))
                    .put("for_ms", report.ageUs() / US_PER_MS));
  }

  private static String lowerCase(final Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
